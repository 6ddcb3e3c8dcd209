//! News of replicas that arrive in another order than they happened: what is older never replaces what is
//! newer, whichever way it comes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use leadstage_lib::gateway::replica_list::ReplicaList;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::replica_updates::ReplicaUpdate;
use leadstage_lib::gateway::replica_updates::UpdateProgress;
use leadstage_lib::gateway::replicas::ListChange;
use leadstage_lib::gateway::replicas::ReplicaTable;
use leadstage_lib::gateway::revision;
use leadstage_lib::gateway::revision::Revision;
use leadstage_lib::gateway::store_outages::RELIST_GRACE;
use leadstage_lib::ids::UpstreamId;
use proptest::prelude::*;

use crate::test_gateway_replicas::record;

const FORGET_AFTER: Duration = Duration::from_secs(30);
const NOW: Duration = Duration::from_secs(10);

/// A node's knowledge of the replicas, with the rules by which it accepts news.
#[derive(Default)]
struct Node {
    table: ReplicaTable,
    progress: UpdateProgress,
    /// The revision up to which it has followed the store.
    followed_to: Option<usize>,
}

impl Node {
    fn known(&self) -> Revision {
        self.progress.at()
    }

    fn record(&mut self, change: &ListChange, at: Revision) {
        self.table.set_changed_at(change, at.max(self.known()));
    }

    /// The store's list; `may_have_expired` as in a list after an outage or at a start.
    fn on_store_list(&mut self, entries: Vec<ReplicaRecord>, at: Revision, may_have_expired: bool) {
        let change =
            self.table.on_store_list(entries, at, self.known(), may_have_expired.then_some(NOW), NOW);
        self.progress.on_known(at);
        self.record(&change, at);
    }

    fn on_peer_list(&mut self, list: ReplicaList) -> ListChange {
        if list.at <= self.known() {
            return ListChange::default();
        }
        let at = list.at;
        let change = self.table.on_peer_list(list, NOW);
        self.progress.on_known(at);
        self.record(&change, at);
        change
    }

    fn on_update(&mut self, update: &ReplicaUpdate) -> ListChange {
        if update.at > 0 && self.progress.has(&update.pack().expect("small")) {
            return ListChange::default();
        }
        let change = self.table.on_peer_update(update, NOW);
        if update.at > 0 {
            self.progress.on_part(update);
        }
        self.record(&change, update.known_at());
        change
    }

    /// Changes of the store that end at the revision `at`.
    fn on_changes(&mut self, changes: &[Event], at: Revision) {
        let (known, mut change) = (self.known(), ListChange::default());
        for event in changes {
            let record = event.record();
            match event.state {
                State::Absent => {
                    self.table.on_store_removal(&record.id, at, None, NOW, &mut change);
                }
                State::Ready | State::Draining => {
                    self.table.on_store_entry(record, at, known, NOW, &mut change)
                }
            }
        }
        self.progress.on_known(at);
        self.record(&change, at);
    }

    fn staying(&self) -> BTreeSet<String> {
        self.table.staying("m").map(|replica| replica.record.id.to_string()).collect()
    }
}

fn ids<const N: usize>(ids: [&str; N]) -> BTreeSet<String> {
    ids.map(str::to_owned).into()
}

fn ready(id: &str) -> ReplicaRecord {
    record(id, false)
}

/// The list of a node that knows the replicas up to `at`.
fn peer_list(at: Revision, entries: &[ReplicaRecord]) -> ReplicaList {
    let mut node = Node::default();
    node.on_store_list(entries.to_vec(), at, false);
    node.table.since(at, 0)
}

fn update(before: Revision, at: Revision, added: &[&str], leaving: &[&str]) -> ReplicaUpdate {
    ReplicaUpdate {
        before,
        at,
        added: added.iter().map(|id| ready(id)).collect(),
        leaving: leaving.iter().map(|id| ready(id).incarnation()).collect(),
        ..ReplicaUpdate::default()
    }
}

/// Guards against the use of a draining replica by a node that reads a stale list after it was told.
#[test]
fn test_an_older_list_does_not_bring_a_leaving_replica_back() {
    let mut node = Node::default();
    let change = node.on_peer_list(peer_list(105, &[ready("a"), record("b", true)]));
    assert_eq!(change.early, 1);
    node.on_store_list(vec![ready("a"), ready("b")], 104, true);
    assert_eq!((node.staying(), node.known()), (ids(["a"]), 105));
    // The next node that starts learns of the departure from this one.
    let mut next = Node::default();
    next.on_store_list(vec![ready("a"), ready("b")], 104, true);
    next.on_peer_list(node.table.since(105, 104));
    assert_eq!(next.staying(), ids(["a"]));
}

/// Guards against the loss of new replicas at a node that reads a stale list without them.
#[test]
fn test_an_older_list_removes_no_newer_replica() {
    for may_have_expired in [false, true] {
        let mut node = Node::default();
        node.on_peer_list(peer_list(105, &[ready("new")]));
        node.on_store_list(vec![ready("old")], 100, may_have_expired);
        let change = node.table.tick(NOW + 2 * RELIST_GRACE, FORGET_AFTER);
        assert_eq!((change, node.staying()), (ListChange::default(), ids(["new"])));
    }
}

/// Guards against the loss of an update that arrives while a starting node waits for its first list.
#[test]
fn test_a_departure_before_the_first_list_is_kept() {
    let mut node = Node::default();
    assert_eq!(node.on_update(&update(11, 12, &[], &["b"])).early, 1);
    assert!(node.table.has_left_early(&ready("b").incarnation()));
    node.on_peer_list(peer_list(11, &[ready("a"), ready("b")]));
    assert_eq!((node.staying(), node.known()), (ids(["a"]), 12));
    assert_eq!(node.table.since(12, 11).leaving.len(), 1, "it is told to other nodes");
}

/// A replica that is listed after its departure is used again.
#[test]
fn test_a_later_entry_ends_an_early_departure() {
    let mut node = Node::default();
    node.on_update(&update(11, 12, &[], &["b"]));
    node.on_peer_list(peer_list(13, &[ready("a"), ready("b")]));
    assert_eq!(node.staying(), ids(["a", "b"]));
    assert!(!node.table.has_left_early(&ready("b").incarnation()));
}

/// Guards against the loss of a replica that left and came back, at a node that receives the two updates in
/// the wrong order.
#[test]
fn test_updates_in_the_wrong_order_end_in_the_newer_state() {
    let mut node = Node::default();
    node.on_store_list(vec![ready("a")], 11, false);
    node.on_update(&update(12, 13, &["a"], &[]));
    let change = node.on_update(&update(11, 12, &[], &["a"]));
    assert_eq!((change.outdated, node.staying(), node.known()), (1, ids(["a"]), 13));
}

/// Guards against the use of a leaving replica whose departure arrived before the list that precedes it.
#[test]
fn test_a_list_before_a_known_departure_changes_nothing() {
    let mut node = Node::default();
    node.on_store_list(vec![ready("a"), ready("b")], 10, false);
    node.on_update(&update(12, 13, &[], &["b"]));
    let mut list = peer_list(12, &[ready("a"), ready("b")]);
    list.staying.iter_mut().for_each(|staying| staying.item.cold = Duration::from_secs(3));
    assert_eq!(node.on_peer_list(list).outdated, 1);
    assert_eq!((node.staying(), node.known()), (ids(["a"]), 13));
}

/// Guards against the loss of a replica whose entry came back before another node's word that it had expired.
#[test]
fn test_an_old_sign_does_not_remove_a_replica_that_came_back() {
    let mut node = Node::default();
    node.on_store_list(vec![ready("a")], 100, false);
    node.on_changes(&[Event { id: 0, state: State::Absent }], 102);
    node.on_update(&update(102, 103, &["r-0"], &[]));
    let sign = |known| ReplicaUpdate::sign(vec![ready("r-0").incarnation()], known);
    assert_eq!(node.on_update(&sign(101)).outdated, 1);
    assert_eq!(node.staying(), ids(["a", "r-0"]));
    node.on_update(&sign(103));
    assert_eq!(node.staying(), ids(["a"]));
}

/// A sign from a node that names no revision counts as it did before signs had one.
#[test]
fn test_a_sign_without_a_revision_applies_to_known_replicas() {
    let mut node = Node::default();
    let sign = ReplicaUpdate::sign(vec![ready("a").incarnation()], 0);
    node.on_update(&sign);
    node.on_store_list(vec![ready("a")], 100, false);
    assert_eq!(node.staying(), ids(["a"]), "the list may be newer");
    node.on_update(&sign);
    assert_eq!(node.staying(), ids([]));
}

/// An early departure is forgotten like a replica that left; nodes that know less then get the whole list.
#[test]
fn test_early_departures_are_forgotten() {
    let mut node = Node::default();
    node.on_store_list(vec![ready("a")], 11, false);
    node.on_update(&update(11, 12, &[], &["b"]));
    node.table.tick(NOW + FORGET_AFTER, FORGET_AFTER);
    assert_eq!(node.table.since(12, 11).leaving.len(), 1);
    node.table.tick(NOW + FORGET_AFTER + Duration::from_millis(1), FORGET_AFTER);
    let list = node.table.since(12, 11);
    assert_eq!((list.is_whole, list.leaving.len()), (true, 0));
}

/// A copy that the store was restored from does not bring back a replica that left before.
#[test]
fn test_a_restored_store_revives_no_early_departure() {
    let mut node = Node::default();
    node.on_store_list(vec![ready("a")], 11, false);
    node.on_update(&update(11, 12, &[], &["b"]));
    let at = revision::in_era(1, 9);
    node.on_store_list(vec![ready("a"), ready("b")], at, true);
    assert_eq!((node.staying(), node.known()), (ids(["a"]), at));
}

/// A list that is newer than all that is known removes what it lacks, whatever the revision of that.
#[test]
fn test_a_current_list_removes_what_it_lacks() {
    let mut node = Node::default();
    node.on_store_list(vec![ready("a"), ready("b")], 11, false);
    let change = node.table.on_list(vec![ready("a")], None, NOW);
    assert_eq!((change.leaving, node.staying()), (vec!["b".into()], ids(["a"])));
}

/// Replicas that an outage may have expired are not handed to other nodes as changed.
#[test]
fn test_missing_replicas_are_no_changes() {
    let mut node = Node::default();
    node.on_store_list(vec![ready("a"), ready("b")], 11, false);
    node.on_store_list(vec![], 12, true);
    let list = node.table.since(12, 11);
    assert_eq!((list.is_whole, list.staying.len(), list.leaving.len()), (false, 0, 0));
}

/// The state of a replica's entry in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Absent,
    Ready,
    Draining,
}

/// A change of an entry.
#[derive(Clone, Copy, Debug)]
struct Event {
    id: usize,
    state: State,
}

impl Event {
    fn record(self) -> ReplicaRecord {
        record(&format!("r-{}", self.id), self.state == State::Draining)
    }
}

const REPLICAS: usize = 4;

/// A history of the store: the change with index `n` raised the revision to `n + 1`. A replica that drained does
/// not come back; one whose entry went without that may.
fn history(choices: Vec<(usize, bool)>) -> Vec<Event> {
    let mut states = [(State::Absent, false); REPLICAS];
    let mut events = Vec::new();
    for (id, drains) in choices {
        let (state, has_drained) = &mut states[id];
        *state = match *state {
            State::Absent if *has_drained => continue,
            State::Absent => State::Ready,
            State::Ready if drains => State::Draining,
            State::Ready | State::Draining => State::Absent,
        };
        *has_drained |= *state == State::Draining;
        events.push(Event { id, state: *state });
    }
    events
}

/// The entries at a revision.
fn entries_at(history: &[Event], at: usize) -> Vec<ReplicaRecord> {
    let states: BTreeMap<usize, Event> = history[..at].iter().map(|event| (event.id, *event)).collect();
    states.into_values().filter(|event| event.state != State::Absent).map(Event::record).collect()
}

/// A node that has followed the store up to a revision.
fn follower(history: &[Event], at: usize) -> Node {
    let mut node = Node::default();
    for (n, event) in history[..at].iter().enumerate() {
        node.on_changes(&[*event], n as Revision + 1);
    }
    node
}

/// The update that a follower sends for the changes between two revisions.
fn update_between(history: &[Event], before: usize, at: usize) -> ReplicaUpdate {
    let last: BTreeMap<usize, Event> = history[before..at].iter().map(|event| (event.id, *event)).collect();
    let (staying, leaving): (Vec<Event>, Vec<Event>) =
        last.into_values().partition(|event| event.state == State::Ready);
    ReplicaUpdate {
        before: before as Revision,
        at: at as Revision,
        added: staying.into_iter().map(Event::record).collect(),
        leaving: leaving.into_iter().map(|event| event.record().incarnation()).collect(),
        ..ReplicaUpdate::default()
    }
}

/// A piece of news, with revisions as fractions of the history.
#[derive(Clone, Copy, Debug)]
enum News {
    StoreList { at: f64, is_followed: bool },
    PeerList { at: f64 },
    Update { before: f64, at: f64 },
    Changes { at: f64 },
}

fn news() -> impl Strategy<Value = News> {
    let span = || (0.0..1.0_f64, 0.0..1.0_f64).prop_map(|(a, b)| (a.min(b), a.max(b)));
    prop_oneof![
        (0.0..1.0_f64, any::<bool>()).prop_map(|(at, is_followed)| News::StoreList { at, is_followed }),
        (0.0..1.0_f64).prop_map(|at| News::PeerList { at }),
        span().prop_map(|(before, at)| News::Update { before, at }),
        (0.0..1.0_f64).prop_map(|at| News::Changes { at }),
    ]
}

/// Delivers news to a node; returns the revision that they describe.
fn deliver(node: &mut Node, history: &[Event], news: News) -> usize {
    let revision = |fraction: f64| 1 + (fraction * history.len() as f64) as usize;
    match news {
        News::StoreList { at, is_followed } => {
            let at = revision(at);
            node.on_store_list(entries_at(history, at), at as Revision, !is_followed);
            if is_followed {
                node.followed_to = Some(at);
            }
            at
        }
        News::PeerList { at } => {
            let at = revision(at);
            let peer = follower(history, at);
            node.on_peer_list(peer.table.since(at as Revision, node.known()));
            at
        }
        News::Update { before, at } => {
            let (before, at) = (revision(before), revision(at));
            if before < at {
                node.on_update(&update_between(history, before, at));
                at
            } else {
                0
            }
        }
        // A follower watches from its last list or change on.
        News::Changes { at } => {
            let at = revision(at);
            match node.followed_to {
                Some(before) if before < at => {
                    node.on_changes(&history[before..at], at as Revision);
                    node.followed_to = Some(at);
                    at
                }
                _ => 0,
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Whatever the order in which lists, updates and changes arrive, a node uses no replica that the newest of
    /// them names as leaving, and its state is the store's once it knows the last revision.
    #[test]
    fn test_news_in_any_order_end_in_the_state_of_the_store(
        choices in prop::collection::vec((0..REPLICAS, any::<bool>()), 4..20),
        arriving in prop::collection::vec(news(), 1..12)
    ) {
        let history = history(choices);
        let mut node = Node::default();
        let mut newest = 0;
        for news in arriving {
            newest = deliver(&mut node, &history, news).max(newest);
            if node.known() as usize >= newest {
                let last: BTreeMap<usize, Event> =
                    history[..newest].iter().map(|event| (event.id, *event)).collect();
                for event in last.values().filter(|event| event.state == State::Draining) {
                    prop_assert!(!node.staying().contains(&*event.record().id), "{event:?} at {newest}");
                }
            }
        }
        let last = history.len();
        let peer = follower(&history, last);
        node.on_peer_list(peer.table.since(last as Revision, node.known()));
        let change = node.table.tick(NOW + 2 * RELIST_GRACE, FORGET_AFTER);
        node.record(&change, 0);
        let ready = entries_at(&history, last).into_iter().filter(|entry| !entry.leaving);
        let ready: BTreeSet<String> = ready.map(|entry: ReplicaRecord| UpstreamId::to_string(&entry.id)).collect();
        prop_assert_eq!(node.staying(), ready);
    }
}
