//! Moves running generations from engines that fill up to engines with room, before the
//! engine preempts one of them: a move costs its caller some 20 ms, a preemption seconds.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::load::LoadBook;
use crate::gateway::replicas::Replica;
use crate::gateway::routing::EngineTraits;
use crate::gateway::run_key::RunKey;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;

/// An engine that is expected to be fuller than this gives a generation away.
const TOO_FULL: f64 = 0.95;
/// An engine takes one only up to this, so that none is passed on and on.
const TAKES_UP_TO: f64 = 0.8;
/// An engine with so many more generations than another one gives one away even if both
/// have room: each running generation makes every step of its neighbours longer.
const RUNS_APART: usize = 4;
/// Time between two looks, for each engine: a lead of a few looks at each of its ticks, one
/// of 3,000 every 2.4 s, so that its work does not grow with them.
const LOOK_PER_ENGINE: Duration = Duration::from_micros(800);
/// A generation is asked to move once within this: the time of a copy on a busy link.
const ASK_AGAIN: Duration = Duration::from_secs(2);
/// Tokens that a generation must still be expected to make for a move to pay: the time
/// that it takes to copy a large one, at the usual pace.
const LEAST_REMAINING: u32 = 100;

/// A generation that should move away from its engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Relief {
    /// The generation.
    pub key: RunKey,
    /// Its engine.
    pub from: UpstreamId,
}

/// Decides which generations move for balance.
#[derive(Debug, Default)]
pub struct Rebalancer {
    asked: HashMap<RunKey, Timestamp>,
    next: Timestamp,
}

/// An engine's load.
struct Load<'a> {
    replica: &'a Replica,
    fill: f64,
    runs: usize,
    arriving: bool,
}

impl Rebalancer {
    /// The generations that should move now, one for each pair of engines.
    pub fn reliefs<'a>(
        &mut self,
        book: &LoadBook,
        engines: impl Iterator<Item = &'a Replica>,
        traits: &EngineTraits,
        now: Timestamp,
    ) -> Vec<Relief> {
        if now < self.next {
            return Vec::new();
        }
        self.asked.retain(|_, at| *at + ASK_AGAIN > now);
        let mut loads: Vec<Load<'_>> = engines
            .map(|replica| Load {
                replica,
                fill: book.fill(&replica.record.id, traits),
                runs: book.at(&replica.record.id).count(),
                arriving: book.at(&replica.record.id).any(|(_, run)| run.copied_from.is_some()),
            })
            .collect();
        self.next = now + LOOK_PER_ENGINE * loads.len() as u32;
        loads.sort_by(|a, b| a.fill.total_cmp(&b.fill));
        let mut takers = loads.iter().filter(|load| !load.arriving && load.fill < TAKES_UP_TO);
        let mut reliefs = Vec::new();
        for giver in loads.iter().rev() {
            let Some(taker) = takers.next() else { break };
            let apart = giver.runs >= taker.runs + RUNS_APART;
            if giver.fill <= TOO_FULL && !apart {
                continue;
            }
            if self.is_giving(book, &giver.replica.record.id) {
                continue;
            }
            let room = TAKES_UP_TO - taker.fill;
            if let Some(key) = self.pick(book, &giver.replica.record.id, room, traits) {
                self.asked.insert(key.clone(), now);
                reliefs.push(Relief { key, from: giver.replica.record.id.clone() });
            }
        }
        reliefs
    }

    fn is_giving(&self, book: &LoadBook, engine: &UpstreamId) -> bool {
        book.at(engine).any(|(key, _)| self.asked.contains_key(key))
    }

    /// The generation with the longest to go that fits.
    fn pick(&self, book: &LoadBook, engine: &UpstreamId, room: f64, traits: &EngineTraits) -> Option<RunKey> {
        let memory = f64::from(traits.memory_tokens.max(1));
        let runs = book.at(engine).filter(|(key, run)| {
            run.produced > 0
                && run.copied_from.is_none()
                && !self.asked.contains_key(*key)
                && book.memory(run) / memory <= room
        });
        let remaining = runs.map(|(key, run)| (run.remaining(), key));
        let longest = remaining.max_by_key(|(remaining, _)| *remaining)?;
        (longest.0 >= LEAST_REMAINING).then(|| longest.1.clone())
    }
}
