//! Plays the cases of the review that are scripts: `review-standins CASE BINARY TEMPORARY-FOLDER RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0` in the
//! environment it does the same without the disruption.

mod cut;
mod drain;
mod handover;
mod home;
mod http;
mod json;
mod replica;
mod store;
mod system;

use std::fmt::Display;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

/// Lines of the record, with the time since the start.
pub struct Record {
    began: Instant,
    lines: Vec<(Instant, String)>,
}

impl Record {
    pub fn new() -> Record {
        Record { began: Instant::now(), lines: Vec::new() }
    }

    pub fn add(&mut self, line: impl Display) {
        self.add_at(Instant::now(), line);
    }

    pub fn add_at(&mut self, at: Instant, line: impl Display) {
        self.lines.push((at, line.to_string()));
    }

    fn write(mut self, path: &Path) -> std::io::Result<()> {
        self.lines.sort_by_key(|(at, _)| *at);
        let text: Vec<String> = self
            .lines
            .iter()
            .map(|(at, line)| format!("{:9.3} s  {line}\n", at.saturating_duration_since(self.began).as_secs_f64()))
            .collect();
        fs::write(path, text.concat())
    }
}

/// Where a case finds and leaves things.
pub struct Place {
    pub binary: PathBuf,
    pub dir: PathBuf,
    pub trouble: bool,
}

/// Runs a case; returns whether the rule was broken.
type Case = fn(&Place, &mut Record) -> Result<bool, Box<dyn std::error::Error>>;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, binary, dir, record_path] = args.as_slice() else {
        eprintln!("usage: review-standins CASE BINARY TEMPORARY-FOLDER RECORD");
        return ExitCode::from(2);
    };
    let case: Case = match case.as_str() {
        "drain" => drain::run,
        "handover" => handover::run,
        "home" => home::run,
        other => {
            eprintln!("no such case: {other}");
            return ExitCode::from(2);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let place = Place { binary: binary.into(), dir: dir.into(), trouble };
    let mut record = Record::new();
    let outcome = case(&place, &mut record);
    let code = match &outcome {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(err) => {
            record.add(format!("the case could not run: {err}"));
            2
        }
    };
    let verdict = ["the rule held", "the rule was broken", "the case could not run"][usize::from(code)];
    record.add(format!("{verdict} (disruption: {})", if trouble { "yes" } else { "no" }));
    println!("{verdict}");
    if record.write(Path::new(record_path)).is_err() {
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
