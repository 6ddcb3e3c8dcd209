//! What became of the requests of each organisation: which were late, lost or refused.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

use serde::Serialize;

use crate::log_lines;
use crate::log_lines::Line;
use crate::table::Table;

/// Requests of an organisation by their outcome.
#[derive(Debug, Default, PartialEq, Serialize)]
pub struct OrganisationLosses {
    organisation: String,
    /// Streams that began.
    streams: usize,
    /// Streams that are complete, but whose first event or one of whose gaps was late.
    late_streams: usize,
    /// Streams that are not complete.
    lost_streams: usize,
    /// Plain calls that a replica answered.
    calls: usize,
    /// Calls that were answered late.
    late_calls: usize,
    /// Calls that a replica answered with an error.
    failed_calls: usize,
    /// Streams and calls that were ended with a code of leadstage's own.
    refused: usize,
}

/// Counts the requests of each organisation; empty if the lines name none.
pub fn count_by_organisation(lines: &[Line]) -> Vec<OrganisationLosses> {
    let mut rows = Rows::default();
    let ends: HashMap<&str, &Line> =
        log_lines::events(lines, "stream_end").map(|line| (line.get("request"), line)).collect();
    for begin in log_lines::events(lines, "stream_begins") {
        rows.add_stream(begin, ends.get(begin.get("request")).copied());
    }
    let refused: HashSet<&str> =
        log_lines::events(lines, "refused").map(|line| line.get("request")).collect();
    for line in log_lines::events(lines, "call_end").filter(|line| !refused.contains(line.get("request"))) {
        rows.add_call(line);
    }
    for line in log_lines::events(lines, "refused") {
        rows.with(line, |row| row.refused += 1);
    }
    rows.0.into_values().collect()
}

#[derive(Default)]
struct Rows<'a>(BTreeMap<&'a str, OrganisationLosses>);

impl<'a> Rows<'a> {
    /// Updates the row of the organisation that a line names, if it names one.
    fn with(&mut self, line: &'a Line, update: impl FnOnce(&mut OrganisationLosses)) {
        let organisation = line.get("organisation");
        if organisation.is_empty() {
            return;
        }
        update(self.0.entry(organisation).or_insert_with(|| OrganisationLosses {
            organisation: organisation.to_owned(),
            ..OrganisationLosses::default()
        }));
    }

    fn add_stream(&mut self, begin: &'a Line, end: Option<&Line>) {
        self.with(begin, |row| {
            row.streams += 1;
            match end {
                Some(end) if end.get("end") == "done" => row.late_streams += usize::from(is_late(begin, end)),
                Some(end) if end.get("end") == "caller left" => {}
                _ => row.lost_streams += 1,
            }
        });
    }

    fn add_call(&mut self, line: &'a Line) {
        let (status, due_ms) = (line.number("status"), line.number("due_ms"));
        self.with(line, |row| {
            row.calls += 1;
            if status >= 500.0 {
                row.failed_calls += 1;
            } else {
                row.late_calls += usize::from(due_ms > 0.0 && line.number("took_ms") > due_ms);
            }
        });
    }
}

/// Whether a complete stream was late with its first event or with a later one.
fn is_late(begin: &Line, end: &Line) -> bool {
    let exceeds = |value: &str, bound: &str| {
        let bound = begin.number(bound);
        bound > 0.0 && end.number(value) > bound
    };
    exceeds("first_ms", "due_ms") || exceeds("gap_ms", "gap_due_ms")
}

/// Formats the rows as a table.
pub fn table(rows: &[OrganisationLosses]) -> Table {
    let mut table = Table::new(&[
        "ORGANISATION",
        "STREAMS",
        "LATE",
        "LOST",
        "CALLS",
        "LATE CALLS",
        "FAILED CALLS",
        "REFUSED",
    ]);
    for row in rows {
        let counts = [
            row.streams,
            row.late_streams,
            row.lost_streams,
            row.calls,
            row.late_calls,
            row.failed_calls,
            row.refused,
        ];
        let counts = counts.map(|count| count.to_string());
        table.add_row(std::iter::once(row.organisation.clone()).chain(counts));
    }
    table
}
