//! Closed halls: every connected node learns of a closed hall in time, and no node returns to an older
//! state.
//!
//! The model of a fleet: watchers receive each change from the store, or, if that response is lost, see
//! it at their next poll, whose result may be some seconds old. Nodes announce changes to each other with
//! each message, and messages may be lost, duplicated or delayed. Nodes restart without any state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use leadstage_lib::gateway::closed_halls::ClosedHalls;
use leadstage_lib::gateway::closed_halls::ClosedHallsTracker;
use leadstage_lib::gateway::closed_halls::HallChange;
use leadstage_lib::gateway::closed_halls::MAX_CLOSED_HALLS;
use leadstage_lib::gateway::rebroadcast::Rebroadcast;
use leadstage_lib::gateway::revision;
use leadstage_lib::ids::HallId;
use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const HALLS: [&str; 3] = ["a", "b", "c"];
const STEP: Duration = Duration::from_millis(20);
/// Time after a hall was closed from which no connected node uses it.
const BOUND: Duration = Duration::from_secs(5);
/// Time after its start from which a node counts as connected.
const CONNECTED_AFTER: Duration = Duration::from_secs(4);
/// Maximum time between two polls of a watcher, including the timeout of a response.
const POLL_INTERVAL: Duration = Duration::from_millis(1_540);
/// Maximum age of the result of a poll.
const MAX_POLL_AGE: Duration = Duration::from_secs(3);
const WATCHERS: usize = 3;

fn hall(name: &str) -> HallId {
    name.into()
}

/// The store: its contents at each revision, and since when.
struct Store {
    versions: Vec<(Duration, ClosedHalls)>,
}

impl Store {
    fn newest(&self) -> &ClosedHalls {
        &self.versions.last().expect("the store holds an initial state").1
    }

    fn as_of(&self, then: Duration) -> &ClosedHalls {
        let at = self.versions.partition_point(|(since, _)| *since <= then);
        &self.versions[at.saturating_sub(1)].1
    }

    /// Returns since when a hall has been closed without interruption, if it is closed.
    fn closed_since(&self, name: &str) -> Option<Duration> {
        let closed = self.versions.iter().rev().take_while(|(_, halls)| !halls.is_open(name));
        closed.last().map(|(since, _)| *since)
    }

    fn set(&mut self, name: &str, is_closed: bool, now: Duration) {
        let change = if is_closed { HallChange::Closed(hall(name)) } else { HallChange::Opened(hall(name)) };
        let newest = self.newest();
        let next = newest.after([change], newest.at + 3);
        self.versions.push((now, next));
    }
}

struct Node {
    started: Duration,
    known: ClosedHalls,
    rebroadcast: Rebroadcast<HallId>,
    next_poll: Duration,
}

struct Fleet {
    rng: SmallRng,
    store: Store,
    nodes: Vec<Node>,
    /// Messages in flight, by time of arrival.
    messages: BTreeMap<(Duration, usize), (usize, ClosedHalls)>,
    sent: usize,
    loss_rate: f64,
    now: Duration,
}

impl Fleet {
    fn new(nodes: usize, loss_rate: f64, seed: u64) -> Fleet {
        let node = |_| Node {
            started: Duration::ZERO,
            known: ClosedHalls::default(),
            rebroadcast: Rebroadcast::default(),
            next_poll: Duration::ZERO,
        };
        Fleet {
            rng: SmallRng::seed_from_u64(seed),
            store: Store { versions: vec![(Duration::ZERO, ClosedHalls { at: 1, halls: BTreeSet::new() })] },
            nodes: (0..nodes).map(node).collect(),
            messages: BTreeMap::new(),
            sent: 0,
            loss_rate,
            now: Duration::ZERO,
        }
    }

    fn change(&mut self) {
        let name = HALLS[self.rng.random_range(0..HALLS.len())];
        let is_closed = !self.store.newest().is_open(name);
        self.store.set(name, !is_closed, self.now);
        // Each watcher's watch returns, or its response is lost.
        for watcher in 0..WATCHERS {
            if self.rng.random::<f64>() >= self.loss_rate {
                let newest = self.store.newest().clone();
                self.apply(watcher, newest);
            }
        }
    }

    /// Applies an update at a node, which announces changes to some other nodes.
    fn apply(&mut self, node: usize, update: ClosedHalls) {
        let before = self.nodes[node].known.clone();
        let changes = self.nodes[node].known.take(update);
        let after = &self.nodes[node].known;
        assert!(after.at >= before.at, "the revision decreased");
        for change in &changes {
            let (HallChange::Closed(name) | HallChange::Opened(name)) = change;
            self.nodes[node].rebroadcast.on_update(name.clone());
        }
        if !changes.is_empty() {
            self.announce(node);
        }
    }

    fn announce(&mut self, from: usize) {
        (0..4).for_each(|_| self.send(from));
    }

    fn send(&mut self, from: usize) {
        let known = self.nodes[from].known.clone();
        let copies = 1 + usize::from(self.rng.random::<f64>() < 0.1);
        for _ in 0..copies {
            if self.rng.random::<f64>() < self.loss_rate {
                continue;
            }
            let to = self.rng.random_range(0..self.nodes.len());
            let delay = Duration::from_millis(self.rng.random_range(1..400));
            self.sent += 1;
            self.messages.insert((self.now + delay, self.sent), (to, known.clone()));
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (to, update) = entry.remove();
            self.apply(to, update);
        }
        for watcher in 0..WATCHERS {
            if self.nodes[watcher].next_poll <= self.now {
                self.nodes[watcher].next_poll = self.now + POLL_INTERVAL;
                let age = MAX_POLL_AGE.mul_f64(self.rng.random());
                let polled = self.store.as_of(self.now.saturating_sub(age)).clone();
                self.apply(watcher, polled);
            }
        }
        for node in 0..self.nodes.len() {
            let now = self.now;
            if !self.nodes[node].rebroadcast.take_due(now).is_empty() {
                self.announce(node);
            }
        }
        // Probes and pulses: two messages a second from each node.
        for node in 0..self.nodes.len() {
            if self.rng.random::<f64>() < 2.0 * STEP.as_secs_f64() {
                self.send(node);
            }
        }
    }

    fn restart_node(&mut self) {
        let node = self.rng.random_range(WATCHERS..self.nodes.len());
        self.nodes[node].started = self.now;
        self.nodes[node].known = ClosedHalls::default();
        self.nodes[node].rebroadcast = Rebroadcast::default();
    }

    /// Changes a hall before each pause, given in steps, and restarts a node after it. Checks that no
    /// connected node uses a closed hall after the bound.
    fn check_closed_halls(&mut self, pauses: &[usize]) -> Result<(), TestCaseError> {
        for pause in pauses {
            self.change();
            for _ in 0..*pause {
                self.step();
                let used = self.halls_used_after_bound();
                prop_assert!(used.is_empty(), "{used:?} at {:?}", self.now);
            }
            self.restart_node();
        }
        Ok(())
    }

    /// Returns the halls that connected nodes would use although the bound has passed.
    fn halls_used_after_bound(&self) -> Vec<(usize, &'static str)> {
        let is_connected = |node: &&(usize, &Node)| self.now >= node.1.started + CONNECTED_AFTER;
        let nodes: Vec<(usize, &Node)> = self.nodes.iter().enumerate().collect();
        let overdue = HALLS
            .into_iter()
            .filter(|name| self.store.closed_since(name).is_some_and(|since| self.now > since + BOUND));
        let overdue: Vec<&str> = overdue.collect();
        nodes
            .iter()
            .filter(is_connected)
            .flat_map(|(at, node)| overdue.iter().filter(|name| node.known.is_open(name)).map(|n| (*at, *n)))
            .collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, failure_persistence: None, ..ProptestConfig::default() })]

    /// For any series of closed and reopened halls, with lost, delayed and duplicated messages and
    /// restarting nodes: connected nodes use no hall after the bound, and all nodes agree in the end.
    #[test]
    fn test_connected_nodes_use_no_closed_hall(
        nodes in 4..60_usize,
        loss_rate in 0.0..0.35_f64,
        pauses in proptest::collection::vec(1..400_usize, 1..12),
        seed in any::<u64>(),
    ) {
        let mut fleet = Fleet::new(nodes, loss_rate, seed);
        fleet.check_closed_halls(&pauses)?;
        for _ in 0..500 {
            fleet.step();
        }
        for node in &fleet.nodes {
            prop_assert_eq!(&node.known, fleet.store.newest());
        }
    }

    /// A watcher's changes may start before the revision that it already has: the last change of each
    /// hall decides.
    #[test]
    fn test_partly_known_changes_give_the_same_result(
        series in proptest::collection::vec((0..3_usize, any::<bool>()), 1..20),
        known in 0..20_usize,
    ) {
        let change = |(at, is_closed): &(usize, bool)| {
            let name = hall(HALLS[*at]);
            if *is_closed { HallChange::Closed(name) } else { HallChange::Opened(name) }
        };
        let changes: Vec<HallChange> = series.iter().map(change).collect();
        let (all, known) = (changes.len() as u64, known.min(changes.len()));
        let nothing = ClosedHalls::default();
        let ahead = nothing.after(changes[..known].to_vec(), known as u64);
        prop_assert_eq!(ahead.after(changes.clone(), all), nothing.after(changes, all));
    }
}

/// Each change is announced repeatedly, so that it outlasts lost messages. With 34 in 100 messages lost and
/// a single announcement per node, neither the announcement nor a later message with the halls reached
/// one node, up for 15 s and at the previous revision, and it used a closed hall 5.02 s after it was
/// closed. This broke the bound in 13 of 2,000 runs of these changes.
#[test]
fn test_announcements_of_closed_halls_outlast_lost_messages() {
    let pauses = [139, 395, 251];
    let recorded = 13_951_568_961_271_417_719;
    let seeds = (0..400).chain([recorded]);
    let broken: Vec<String> = seeds
        .filter_map(|seed| {
            let kept = Fleet::new(27, 0.33589591680507574, seed).check_closed_halls(&pauses);
            kept.err().map(|err| format!("seed {seed}: {err}"))
        })
        .collect();
    assert_eq!(broken, Vec::<String>::new());
}

#[test]
fn test_older_updates_have_no_effect() {
    let mut known = ClosedHalls { at: 7, halls: BTreeSet::from([hall("a")]) };
    assert_eq!(known.take(ClosedHalls { at: 6, halls: BTreeSet::new() }), []);
    assert_eq!(known.take(ClosedHalls { at: 7, halls: BTreeSet::new() }), []);
    assert!(!known.is_open("a"));
    let changes = known.take(ClosedHalls { at: 8, halls: BTreeSet::from([hall("b")]) });
    assert_eq!(changes, [HallChange::Closed(hall("b")), HallChange::Opened(hall("a"))]);
}

#[test]
fn test_excess_halls_are_removed() {
    let halls = (0..MAX_CLOSED_HALLS + 5).map(|n| format!("hall-{n:03}").into()).collect();
    let mut update = ClosedHalls { at: 1, halls };
    assert_eq!((update.truncate(), update.halls.len()), (5, MAX_CLOSED_HALLS));
    assert_eq!(update.truncate(), 0);
}

/// Halls that a restored copy of the store lacks stay closed until the operator has had time to close
/// them again.
#[test]
fn test_halls_missing_from_a_store_copy_stay_closed_for_a_while() {
    let second = Duration::from_secs(1);
    let update = |era, number, halls: &[&str]| ClosedHalls {
        at: revision::in_era(era, number),
        halls: halls.iter().map(|name| hall(name)).collect(),
    };
    let closed = |tracker: &mut ClosedHallsTracker, now| {
        tracker.in_force(now).halls.iter().map(|hall| hall.to_string()).collect::<Vec<_>>()
    };
    let mut tracker = ClosedHallsTracker::default();
    assert!(tracker.take(update(0, 90, &["a", "b"]), second));
    assert!(tracker.take(update(1, 5, &["c"]), 2 * second));
    assert_eq!(closed(&mut tracker, 2 * second), ["a", "b", "c"]);
    assert!(!tracker.take(update(0, 95, &[]), 2 * second), "an update of the previous era");
    assert!(tracker.take(update(1, 6, &["a", "c"]), 3 * second), "a is closed again");
    tracker.on_opened("b");
    assert_eq!(closed(&mut tracker, 3 * second), ["a", "c"]);
    assert!(tracker.take(update(1, 7, &["a"]), 4 * second), "c is opened");
    assert_eq!(closed(&mut tracker, 4 * second), ["a"]);
    let mut not_renewed = ClosedHallsTracker::default();
    not_renewed.take(update(0, 90, &["a"]), second);
    not_renewed.take(update(1, 5, &[]), 2 * second);
    assert_eq!(closed(&mut not_renewed, 4 * second), ["a"]);
    assert_eq!(
        closed(&mut not_renewed, 5 * second),
        Vec::<String>::new(),
        "the operator did not close it again"
    );
}
