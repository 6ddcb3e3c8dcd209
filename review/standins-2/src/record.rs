//! The record of a run: what was sent, answered and run.

use std::fmt::Display;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Writes `record.txt`, and the same lines to standard output.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates `record.txt` in the folder of a case.
    pub fn create(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("the folder of the case is writable");
        Record { began: Instant::now(), file: Mutex::new(file) }
    }

    /// Adds a line with the time since the start.
    pub fn line(&self, text: impl Display) {
        self.line_at(Instant::now(), text);
    }

    /// Adds a line about something that happened at a time.
    pub fn line_at(&self, at: Instant, text: impl Display) {
        let line = format!("{:8.3} s  {text}", at.saturating_duration_since(self.began).as_secs_f64());
        let _ = writeln!(self.file.lock().expect("sound"), "{line}");
    }

    /// Adds a line that is shown on standard output too.
    pub fn say(&self, text: impl Display) {
        println!("{text}");
        self.line(text);
    }
}
