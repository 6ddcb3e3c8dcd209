//! Parser for the logs of gateway nodes.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;

use crate::error::CliError;

/// A parsed log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// Time when the node wrote the line, in milliseconds of Unix time.
    pub at_ms: i64,
    /// Time when a log collector received the line, in milliseconds of the collector's clock, if recorded.
    pub collected_ms: Option<i64>,
    /// The node that wrote the line.
    pub node: String,
    /// Values by key.
    pub pairs: BTreeMap<String, String>,
}

impl Line {
    /// The value of a key; empty if the line lacks it.
    pub fn get(&self, key: &str) -> &str {
        self.pairs.get(key).map_or("", String::as_str)
    }

    /// The value of a key as a number; 0 if the line lacks it or it is not a number.
    pub fn number(&self, key: &str) -> f64 {
        self.get(key).parse().unwrap_or(0.0)
    }

    /// The collector's time if recorded, because the clocks of VMs differ; otherwise the node's own time.
    pub fn common_clock_ms(&self) -> i64 {
        self.collected_ms.unwrap_or(self.at_ms)
    }
}

/// The lines with the given event.
pub fn events<'a>(lines: &'a [Line], event: &'static str) -> impl Iterator<Item = &'a Line> {
    lines.iter().filter(move |line| line.get("event") == event)
}

/// Reads the lines of all files, one file per node.
pub fn read_all(files: &[PathBuf]) -> Result<Vec<Line>, CliError> {
    let mut lines = Vec::new();
    for file in files {
        for_each(file, |_| true, |line| lines.push(line))?;
    }
    Ok(lines)
}

/// Calls `on_line` for the lines of a file with wanted events, in order. Other lines are not parsed, and no
/// more than one line is held in memory at a time.
pub fn for_each(
    path: &Path,
    is_wanted: impl Fn(&str) -> bool,
    mut on_line: impl FnMut(Line),
) -> Result<(), CliError> {
    let file_error = |source| CliError::File { path: path.to_owned(), source };
    let node = path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default();
    let mut reader = BufReader::new(File::open(path).map_err(file_error)?);
    let mut buf = Vec::new();
    while reader.read_until(b'\n', &mut buf).map_err(file_error)? > 0 {
        let text = String::from_utf8_lossy(&buf);
        if is_wanted(event_name(&text))
            && let Some(line) = parse_line(text.trim_end(), &node)
        {
            on_line(line);
        }
        buf.clear();
    }
    Ok(())
}

/// The event of a line; empty if it has none.
fn event_name(line: &str) -> &str {
    let after = line.split_once(" event=").map_or("", |(_, after)| after);
    after.split_ascii_whitespace().next().unwrap_or_default()
}

/// Parses a line. The text before `ts=` is written by the collector: optionally the time in seconds of its
/// clock, then the node. Without it, the node is `file_node`.
fn parse_line(line: &str, file_node: &str) -> Option<Line> {
    let start = line.find("ts=")?;
    let pairs = parse_pairs(&line[start..]);
    let at = humantime::parse_rfc3339_weak(pairs.get("ts")?).ok()?;
    let at_ms = at.duration_since(std::time::UNIX_EPOCH).ok()?.as_millis() as i64;
    let mut prefix = line[..start].split_whitespace();
    let collected: Option<f64> = prefix.clone().next().and_then(|seconds| seconds.parse().ok());
    Some(Line {
        at_ms,
        collected_ms: collected.map(|seconds| (seconds * 1_000.0).round() as i64),
        node: prefix.next_back().unwrap_or(file_node).to_owned(),
        pairs,
    })
}

fn parse_pairs(line: &str) -> BTreeMap<String, String> {
    let mut pairs = BTreeMap::new();
    let mut rest = line.trim_start();
    while let Some((key, after)) = rest.split_once('=') {
        let (value, remaining) = parse_value(after);
        pairs.insert(key.trim().to_owned(), value);
        rest = remaining.trim_start();
    }
    pairs
}

/// Parses the bare or quoted value at the start of `text`; returns it with the remaining text.
fn parse_value(text: &str) -> (String, &str) {
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
