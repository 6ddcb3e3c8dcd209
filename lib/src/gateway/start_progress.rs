//! What a starting node still waits for before it serves, since when, and where it received each part.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;

use crate::ids::Timestamp;

/// Wait after which a part is reported as missing. Each further report comes after twice the wait.
const FIRST_REPORT: Duration = Duration::from_secs(1);

/// A part of the state that a node serves with.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Part {
    /// The configuration.
    #[display("config")]
    Config,
    /// The list of replicas.
    #[display("replicas")]
    Replicas,
}

/// Where a part came from.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Source {
    /// The store.
    #[display("store")]
    Store,
    /// Another node, by the address that it uses between nodes.
    #[display("{_0}")]
    Node(SocketAddr),
}

/// A part that the node has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time since the start.
    pub after: Timestamp,
    /// Its source; `None` if it is not known.
    pub from: Option<Source>,
}

#[derive(Debug)]
struct Wait {
    part: Part,
    next_report: Timestamp,
    arrival: Option<Arrival>,
}

/// The parts that a starting node waits for.
#[derive(Debug)]
pub struct StartProgress {
    waits: [Wait; 2],
}

impl Default for StartProgress {
    fn default() -> Self {
        let wait = |part| Wait { part, next_report: FIRST_REPORT, arrival: None };
        StartProgress { waits: [wait(Part::Config), wait(Part::Replicas)] }
    }
}

impl StartProgress {
    /// The node has a part, since `now` if it had not before.
    pub fn on_part(&mut self, part: Part, from: Option<Source>, now: Timestamp) {
        let waits = self.waits.iter_mut().filter(|wait| wait.part == part);
        for wait in waits {
            wait.arrival.get_or_insert(Arrival { after: now, from });
        }
    }

    /// Returns how a part arrived, if it has.
    pub fn arrival(&self, part: Part) -> Option<Arrival> {
        self.waits.iter().find(|wait| wait.part == part)?.arrival
    }

    /// Returns the missing parts that are to be reported now.
    pub fn due_reports(&mut self, now: Timestamp) -> Vec<Part> {
        let due = self.waits.iter_mut().filter(|wait| wait.arrival.is_none() && now >= wait.next_report);
        let reported = due.map(|wait| {
            wait.next_report = now * 2;
            wait.part
        });
        reported.collect()
    }
}
