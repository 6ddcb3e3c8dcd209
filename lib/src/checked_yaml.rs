//! Parses YAML settings and reports every mistake with its path in the file.

use derive_more::Display;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Maximum number of mistakes that are reported.
const MAX_PROBLEMS: usize = 100;

/// A mistake in a settings file.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{path}: {message}")]
pub struct Problem {
    /// Path of the value, for example `organisations[2].share`.
    pub path: String,
    /// What is wrong with the value and what is allowed.
    pub message: String,
}

impl Problem {
    /// Creates a problem at `path`.
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Problem { path: path.into(), message: message.into() }
    }
}

/// Parses `yaml` into `T`, whose fields must all have defaults.
///
/// Reports every unknown field and every value of a wrong type: after each mistake the offending value is
/// removed and the rest is deserialized again. Returns no value if the text is not valid YAML, if an
/// offending value cannot be removed, or after `MAX_PROBLEMS` mistakes.
pub fn read<T: DeserializeOwned>(yaml: &str) -> (Option<T>, Vec<Problem>) {
    let mut problems = Vec::new();
    let mut tree: Value = match serde_saphyr::from_str(yaml) {
        Ok(tree) => tree,
        Err(err) => {
            problems.push(Problem::new("(file)", err.to_string()));
            return (None, problems);
        }
    };
    loop {
        let err = match serde_path_to_error::deserialize::<_, T>(tree.clone()) {
            Ok(settings) => return (Some(settings), problems),
            Err(err) => err,
        };
        let path = err.path().to_string();
        let found = lookup(&tree, err.path()).map(|v| format!(" (found {v})")).unwrap_or_default();
        problems.push(Problem::new(path, format!("{}{found}", err.inner())));
        let removed = remove(&mut tree, err.path());
        if !removed || problems.len() >= MAX_PROBLEMS {
            return (None, problems);
        }
    }
}

fn lookup<'a>(tree: &'a Value, path: &serde_path_to_error::Path) -> Option<&'a Value> {
    use serde_path_to_error::Segment;
    let mut value = tree;
    for segment in path.iter() {
        value = match segment {
            Segment::Seq { index } => value.get(index)?,
            Segment::Map { key } => value.get(key)?,
            _ => value,
        };
    }
    value.is_string().then_some(value).or_else(|| value.is_number().then_some(value))
}

fn remove(tree: &mut Value, path: &serde_path_to_error::Path) -> bool {
    use serde_path_to_error::Segment;
    let segments: Vec<_> = path.iter().collect();
    let Some((last, parents)) = segments.split_last() else {
        return false;
    };
    let mut value = tree;
    for segment in parents {
        let next = match segment {
            Segment::Seq { index } => value.get_mut(index),
            Segment::Map { key } => value.get_mut(key),
            _ => Some(value),
        };
        let Some(next) = next else { return false };
        value = next;
    }
    match (last, value) {
        (Segment::Map { key }, Value::Object(map)) => map.remove(key).is_some(),
        (Segment::Seq { index }, Value::Array(list)) if *index < list.len() => {
            list.remove(*index);
            true
        }
        _ => false,
    }
}
