//! Closed halls: whoever is in touch knows of one in time, and nobody goes back to an older word.
//!
//! A model of the fleet's news: watchers hear of each change from the store, some late, as an answer is
//! lost and only their next glance at the store tells, some seconds old; nodes tell each other with each
//! message, which may be lost, doubled or late; nodes start anew and know nothing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use leadstage_lib::gateway::closed_halls::ClosedHalls;
use leadstage_lib::gateway::closed_halls::ClosedHallsBook;
use leadstage_lib::gateway::closed_halls::HallChange;
use leadstage_lib::gateway::closed_halls::MOST_CLOSED;
use leadstage_lib::gateway::rebroadcast::Rebroadcast;
use leadstage_lib::gateway::revision;
use leadstage_lib::ids::HallId;
use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const HALLS: [&str; 3] = ["a", "b", "c"];
const STEP: Duration = Duration::from_millis(20);
/// A hall is used by nobody in touch from then on after it was closed.
const BOUND: Duration = Duration::from_secs(5);
/// A node that started so long ago is in touch.
const IN_TOUCH_AFTER: Duration = Duration::from_secs(4);
/// Time between two glances of a watcher at the most, with the limit on an answer.
const GLANCE_EVERY: Duration = Duration::from_millis(1_540);
/// A glance is up to so old.
const GLANCE_AGE: Duration = Duration::from_secs(3);
const WATCHERS: usize = 3;

fn hall(name: &str) -> HallId {
    name.into()
}

/// The store: what it held at each revision, and since when.
struct Store {
    versions: Vec<(Duration, ClosedHalls)>,
}

impl Store {
    fn newest(&self) -> &ClosedHalls {
        &self.versions.last().expect("one at least").1
    }

    fn as_of(&self, then: Duration) -> &ClosedHalls {
        let at = self.versions.partition_point(|(since, _)| *since <= then);
        &self.versions[at.saturating_sub(1)].1
    }

    /// Since when a hall has been closed without a break, if it is.
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
    knows: ClosedHalls,
    rebroadcast: Rebroadcast<HallId>,
    next_glance: Duration,
}

struct Play {
    rng: SmallRng,
    store: Store,
    nodes: Vec<Node>,
    /// Messages on their way, by when they arrive.
    messages: BTreeMap<(Duration, usize), (usize, ClosedHalls)>,
    sent: usize,
    loses: f64,
    now: Duration,
}

impl Play {
    fn new(nodes: usize, loses: f64, seed: u64) -> Play {
        let node = |_| Node {
            started: Duration::ZERO,
            knows: ClosedHalls::default(),
            rebroadcast: Rebroadcast::default(),
            next_glance: Duration::ZERO,
        };
        Play {
            rng: SmallRng::seed_from_u64(seed),
            store: Store { versions: vec![(Duration::ZERO, ClosedHalls { at: 1, halls: BTreeSet::new() })] },
            nodes: (0..nodes).map(node).collect(),
            messages: BTreeMap::new(),
            sent: 0,
            loses,
            now: Duration::ZERO,
        }
    }

    fn change(&mut self) {
        let name = HALLS[self.rng.random_range(0..HALLS.len())];
        let is_closed = !self.store.newest().is_open(name);
        self.store.set(name, !is_closed, self.now);
        // Each watcher's watch returns, or its answer is lost.
        for watcher in 0..WATCHERS {
            if self.rng.random::<f64>() >= self.loses {
                let newest = self.store.newest().clone();
                self.take(watcher, newest);
            }
        }
    }

    /// A node takes a word in, and tells some others if it is news.
    fn take(&mut self, node: usize, told: ClosedHalls) {
        let before = self.nodes[node].knows.clone();
        let changes = self.nodes[node].knows.take(told);
        let after = &self.nodes[node].knows;
        assert!(after.at >= before.at, "it went back");
        for change in &changes {
            let (HallChange::Closed(name) | HallChange::Opened(name)) = change;
            self.nodes[node].rebroadcast.on_update(name.clone());
        }
        if !changes.is_empty() {
            self.send_to_some(node);
        }
    }

    fn send_to_some(&mut self, from: usize) {
        (0..4).for_each(|_| self.send(from));
    }

    fn send(&mut self, from: usize) {
        let knows = self.nodes[from].knows.clone();
        let copies = 1 + usize::from(self.rng.random::<f64>() < 0.1);
        for _ in 0..copies {
            if self.rng.random::<f64>() < self.loses {
                continue;
            }
            let to = self.rng.random_range(0..self.nodes.len());
            let late = Duration::from_millis(self.rng.random_range(1..400));
            self.sent += 1;
            self.messages.insert((self.now + late, self.sent), (to, knows.clone()));
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (to, told) = entry.remove();
            self.take(to, told);
        }
        for watcher in 0..WATCHERS {
            if self.nodes[watcher].next_glance <= self.now {
                self.nodes[watcher].next_glance = self.now + GLANCE_EVERY;
                let age = GLANCE_AGE.mul_f64(self.rng.random());
                let seen = self.store.as_of(self.now.saturating_sub(age)).clone();
                self.take(watcher, seen);
            }
        }
        for node in 0..self.nodes.len() {
            let now = self.now;
            if !self.nodes[node].rebroadcast.take_due(now).is_empty() {
                self.send_to_some(node);
            }
        }
        // Probes and pulses: two messages a second from each node.
        for node in 0..self.nodes.len() {
            if self.rng.random::<f64>() < 2.0 * STEP.as_secs_f64() {
                self.send(node);
            }
        }
    }

    fn start_anew(&mut self) {
        let node = self.rng.random_range(WATCHERS..self.nodes.len());
        self.nodes[node].started = self.now;
        self.nodes[node].knows = ClosedHalls::default();
        self.nodes[node].rebroadcast = Rebroadcast::default();
    }

    /// A change of the halls before each pause of so many steps, and a node that starts anew after it: nobody in
    /// touch uses a hall after the bound.
    fn keeps_to_closed_halls(&mut self, pauses: &[usize]) -> Result<(), TestCaseError> {
        for pause in pauses {
            self.change();
            for _ in 0..*pause {
                self.step();
                let used = self.used_in_spite();
                prop_assert!(used.is_empty(), "{used:?} at {:?}", self.now);
            }
            self.start_anew();
        }
        Ok(())
    }

    /// Halls that a node in touch would use in spite of the bound.
    fn used_in_spite(&self) -> Vec<(usize, &'static str)> {
        let in_touch = |node: &&(usize, &Node)| self.now >= node.1.started + IN_TOUCH_AFTER;
        let nodes: Vec<(usize, &Node)> = self.nodes.iter().enumerate().collect();
        let overdue = HALLS
            .into_iter()
            .filter(|name| self.store.closed_since(name).is_some_and(|since| self.now > since + BOUND));
        let overdue: Vec<&str> = overdue.collect();
        nodes
            .iter()
            .filter(in_touch)
            .flat_map(|(at, node)| overdue.iter().filter(|name| node.knows.is_open(name)).map(|n| (*at, *n)))
            .collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, failure_persistence: None, ..ProptestConfig::default() })]

    /// In any series of halls closed, opened and closed again, with news that is lost, late and doubled, and
    /// nodes that start: who is in touch uses no hall after the bound, and all know the same in the end.
    #[test]
    fn test_who_is_in_touch_uses_no_closed_hall(
        nodes in 4..60_usize,
        loses in 0.0..0.35_f64,
        pauses in proptest::collection::vec(1..400_usize, 1..12),
        seed in any::<u64>(),
    ) {
        let mut play = Play::new(nodes, loses, seed);
        play.keeps_to_closed_halls(&pauses)?;
        for _ in 0..500 {
            play.step();
        }
        for node in &play.nodes {
            prop_assert_eq!(&node.knows, play.store.newest());
        }
    }

    /// A watcher's changes may begin before what it knows by now: the last one of each hall counts.
    #[test]
    fn test_changes_that_are_known_in_part_come_to_the_same(
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

/// A node used a closed hall 5.02 s after it was closed. It had been up for 15 s and knew the revision before: where
/// 34 in 100 messages are lost, none reached it in that time, neither the news, which each node told on once,
/// nor a message that carries the halls. 13 of 2,000 plays of these changes broke the bound so.
#[test]
fn test_news_of_closed_halls_outlast_lost_messages() {
    let pauses = [139, 395, 251];
    let recorded = 13_951_568_961_271_417_719;
    let seeds = (0..400).chain([recorded]);
    let broken: Vec<String> = seeds
        .filter_map(|seed| {
            let kept = Play::new(27, 0.33589591680507574, seed).keeps_to_closed_halls(&pauses);
            kept.err().map(|err| format!("seed {seed}: {err}"))
        })
        .collect();
    assert_eq!(broken, Vec::<String>::new());
}

#[test]
fn test_an_older_word_undoes_nothing() {
    let mut knows = ClosedHalls { at: 7, halls: BTreeSet::from([hall("a")]) };
    assert_eq!(knows.take(ClosedHalls { at: 6, halls: BTreeSet::new() }), []);
    assert_eq!(knows.take(ClosedHalls { at: 7, halls: BTreeSet::new() }), []);
    assert!(!knows.is_open("a"));
    let changes = knows.take(ClosedHalls { at: 8, halls: BTreeSet::from([hall("b")]) });
    assert_eq!(changes, [HallChange::Closed(hall("b")), HallChange::Opened(hall("a"))]);
}

#[test]
fn test_more_halls_than_there_can_be_are_left_out() {
    let halls = (0..MOST_CLOSED + 5).map(|n| format!("hall-{n:03}").into()).collect();
    let mut told = ClosedHalls { at: 1, halls };
    assert_eq!((told.limit(), told.halls.len()), (5, MOST_CLOSED));
    assert_eq!(told.limit(), 0);
}

/// The operator closes halls again that a copy of the store lacks; until then they stay closed.
#[test]
fn test_a_hall_that_a_copy_lacks_stays_closed_for_a_while() {
    let second = Duration::from_secs(1);
    let word = |era, number, halls: &[&str]| ClosedHalls {
        at: revision::in_era(era, number),
        halls: halls.iter().map(|name| hall(name)).collect(),
    };
    let closed = |book: &mut ClosedHallsBook, now| {
        book.in_force(now).halls.iter().map(|hall| hall.to_string()).collect::<Vec<_>>()
    };
    let mut book = ClosedHallsBook::default();
    assert!(book.take(word(0, 90, &["a", "b"]), second));
    assert!(book.take(word(1, 5, &["c"]), 2 * second));
    assert_eq!(closed(&mut book, 2 * second), ["a", "b", "c"]);
    assert!(!book.take(word(0, 95, &[]), 2 * second), "a word of the era before");
    assert!(book.take(word(1, 6, &["a", "c"]), 3 * second), "a is closed again");
    book.on_opened("b");
    assert_eq!(closed(&mut book, 3 * second), ["a", "c"]);
    assert!(book.take(word(1, 7, &["a"]), 4 * second), "c is opened");
    assert_eq!(closed(&mut book, 4 * second), ["a"]);
    let mut lost = ClosedHallsBook::default();
    lost.take(word(0, 90, &["a"]), second);
    lost.take(word(1, 5, &[]), 2 * second);
    assert_eq!(closed(&mut lost, 4 * second), ["a"]);
    assert_eq!(closed(&mut lost, 5 * second), Vec::<String>::new(), "nobody closed it again");
}
