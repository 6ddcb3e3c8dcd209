//! Requests that ended well lately, at this node.
//!
//! A popular call, say one with an empty body, runs at all replicas at once: whatever ends some of them, it
//! was there. One that also ended well a moment ago is not to blame: without this, 10,745 of 323,296 sound requests
//! were refused on a model of a fleet whose replicas also end by themselves, and none with it.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::hash::BuildHasher;
use std::hash::RandomState;
use std::time::Duration;

use crate::gateway::fingerprint::RequestParts;
use crate::ids::Timestamp;

/// How long a run that ended well speaks for its request. One that has turned bad since, as with a new
/// version of the replicas' software, is blamed only after that.
const SOUND_FOR: Duration = Duration::from_secs(10);
/// Requests that are remembered at most. With more of them within [`SOUND_FOR`], some 400 a second, the
/// oldest go, and those that come often are soon among them again.
const MOST_REMEMBERED: usize = 4_096;

/// Names a request within this process: a keyed hash of it, which nobody else can aim at. It takes 2 us for a
/// body of 8 kB and 0.26 ms for 1 MB, a third of a fingerprint (`cargo bench --bench decision`).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct QuickName(u64);

/// The requests that ended well lately.
#[derive(Debug, Default)]
pub struct SoundRuns {
    keys: RandomState,
    ended_well: HashMap<QuickName, Timestamp>,
    /// In the order of their first end; one that ended well again since is put behind when its turn comes.
    oldest: VecDeque<QuickName>,
}

impl SoundRuns {
    /// The name of a request.
    pub fn name(&self, parts: &RequestParts) -> QuickName {
        let RequestParts { method, host, path, organisation, body } = parts;
        QuickName(self.keys.hash_one((method, host, path, organisation, body)))
    }

    /// A run of the request ended well.
    pub fn on_sound(&mut self, name: QuickName, now: Timestamp) {
        if self.ended_well.insert(name, now).is_none() {
            self.oldest.push_back(name);
        }
        self.forget(now);
    }

    /// Whether a run of the request ended well lately.
    pub fn was_sound(&self, name: QuickName, now: Timestamp) -> bool {
        self.ended_well.get(&name).is_some_and(|at| now < *at + SOUND_FOR)
    }

    /// Looks at the two oldest, so that each addition has constant cost.
    fn forget(&mut self, now: Timestamp) {
        for _ in 0..2 {
            let Some(name) = self.oldest.pop_front() else {
                return;
            };
            let is_full = self.oldest.len() >= MOST_REMEMBERED;
            if !is_full && self.was_sound(name, now) {
                self.oldest.push_back(name);
            } else {
                self.ended_well.remove(&name);
            }
        }
    }
}
