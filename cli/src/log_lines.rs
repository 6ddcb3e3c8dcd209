//! Reads the logs of gateway nodes.

use std::collections::BTreeMap;
use std::path::Path;
use std::path::PathBuf;

use crate::error::CliError;

/// A log line, its pairs by key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// When it was written, in milliseconds of Unix time.
    pub at_ms: i64,
    /// The node that wrote it.
    pub node: String,
    /// What it says, by key.
    pub pairs: BTreeMap<String, String>,
}

impl Line {
    /// A value; empty if the line has none.
    pub fn get(&self, key: &str) -> &str {
        self.pairs.get(key).map_or("", String::as_str)
    }

    /// A number; 0 if the line has none.
    pub fn number(&self, key: &str) -> f64 {
        self.get(key).parse().unwrap_or(0.0)
    }
}

/// The lines that tell of one kind of event.
pub fn events<'a>(lines: &'a [Line], event: &'static str) -> impl Iterator<Item = &'a Line> {
    lines.iter().filter(move |line| line.get("event") == event)
}

/// The lines of some files, one for each node.
pub fn read_all(files: &[PathBuf]) -> Result<Vec<Line>, CliError> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read(file)?);
    }
    Ok(lines)
}

fn read(path: &Path) -> Result<Vec<Line>, CliError> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|source| CliError::File { path: path.to_owned(), source })?;
    let node = path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default();
    Ok(text.lines().filter_map(|line| parse(line, &node)).collect())
}

/// Reads a line; what stands before its time is the collector's.
fn parse(line: &str, file: &str) -> Option<Line> {
    let start = line.find("ts=")?;
    let pairs = pairs(&line[start..]);
    let at = humantime::parse_rfc3339_weak(pairs.get("ts")?).ok()?;
    let at_ms = at.duration_since(std::time::UNIX_EPOCH).ok()?.as_millis() as i64;
    let before = line[..start].split_whitespace().last().unwrap_or(file);
    Some(Line { at_ms, node: before.to_owned(), pairs })
}

fn pairs(line: &str) -> BTreeMap<String, String> {
    let mut pairs = BTreeMap::new();
    let mut rest = line.trim_start();
    while let Some((key, after)) = rest.split_once('=') {
        let (value, left) = value(after);
        pairs.insert(key.trim().to_owned(), value);
        rest = left.trim_start();
    }
    pairs
}

/// The value at the start of `text`, bare or quoted, and what follows.
fn value(text: &str) -> (String, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let (value, rest) = text.split_once(' ').unwrap_or((text, ""));
        return (value.to_owned(), rest);
    };
    let mut value = String::new();
    let mut escaped = false;
    for (at, c) in quoted.char_indices() {
        match c {
            _ if escaped => {
                value.push(c);
                escaped = false;
            }
            '\\' => escaped = true,
            '"' => return (value, &quoted[at + 1..]),
            _ => value.push(c),
        }
    }
    (value, "")
}
