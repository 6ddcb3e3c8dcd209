//! Selection of the nodes that watch the platform's store on behalf of the fleet.
//!
//! Calls to the store are billed, so a few nodes watch it and forward its changes to the others. Every node
//! ranks the nodes that it considers alive by rendezvous hashing. The first few of those with wide links
//! watch the store and send a pulse that reports whether it answers them. If it answers none of them, for
//! example because it refuses some nodes, a few others try as well, whatever their links, but no more: a
//! store that is down must not be polled by the whole fleet.
//!
//! If no pulse says that the store answers, as at the first start, in a network partition or after the loss of
//! all watchers, nodes take turns ([`TakeoverSchedule`]): each waits in proportion to its position in the hash
//! order, scaled by the number of nodes that it knows to exist, and the pulses of the first few watchers keep all
//! others from watching. A node that knows only some of the others, as all nodes do after a start, thus does not
//! consider itself one of the first, whereas an isolated node knows few others and its turn comes soon. A watcher
//! continues until enough higher-ranked nodes watch the store.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::process_pauses::MAX_TICK_GAP;
use crate::gateway::watch_takeover::PULSE_SILENCE;
use crate::gateway::watch_takeover::TakeoverSchedule;
use crate::ids::Timestamp;
use crate::ids::VmId;
use crate::rendezvous;

/// Number of watchers; two may fail at the same time without delaying changes.
pub const WATCHERS: usize = 3;
/// Time between two pulses of a watcher.
pub const PULSE_INTERVAL: Duration = Duration::from_millis(800);
/// Time after which a watcher that has no answer reports the store as [`StoreState::Away`]; a slow store takes a
/// quarter of a second.
pub const PULSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a watcher that has no answer reports the store as [`StoreState::Late`]. An answer usually takes
/// about 4 ms, and a busy node some tens of milliseconds until it processes one.
pub const PULSE_LATE_AFTER: Duration = Duration::from_millis(120);
/// Age at which a pulse expires; two consecutive pulses may be lost.
const PULSE_TTL: Duration = Duration::from_millis(2_000);
/// How long after its last answer the store is considered answering.
const ANSWER_TTL: Duration = Duration::from_millis(1_300);
/// How long a missed answer puts the store in doubt: by then it has answered another node or is considered
/// away.
const MISS_TTL: Duration = Duration::from_millis(1_300);
/// How long a node listens after its start before it decides: it has contacted a seed by then, and watchers
/// send a pulse every [`PULSE_INTERVAL`].
const STARTUP_LISTEN_TIME: Duration = Duration::from_millis(600);
/// Time after its start when a node knows enough of the others to rank itself among them. In a fleet of 295
/// nodes that start together, nodes know enough of each other by then to compute the same ranking.
const RANKING_SETTLE_TIME: Duration = Duration::from_secs(4);
/// The longest wait for a turn after a node's start.
const MAX_STARTUP_TURN_DELAY: Duration = Duration::from_millis(3_600);
/// The longest wait for a later turn while other nodes are in contact. If 100 of 295 nodes are cut off from
/// the rest, four of them have had their turns by then.
const MAX_TURN_DELAY: Duration = Duration::from_secs(3);
/// The longest wait for a later turn while no other node is in contact.
const MAX_ISOLATED_TURN_DELAY: Duration = Duration::from_secs(1);
/// While the store answers none of the first [`WATCHERS`] nodes, each next group of this many tries for this
/// long. If the store refuses a third of the nodes, it refuses six consecutive ones in one of 500 cases.
const GROUP_WATCH_TIME: Duration = Duration::from_secs(3);
/// Interval between rankings while enough watchers work. A ranking hashes all known nodes, and each node
/// would otherwise compute it ten times a second.
const RANK_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a message from any other node after which a node is considered isolated.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(2);

const RANKING: &str = "store watchers";

/// Delay of the first watcher before its next watch, to batch changes: replicas that leave together announce
/// it within some milliseconds, and each call is billed. The first of these changes is forwarded at once.
const FIRST_BATCH_DELAY: Duration = Duration::from_millis(10);
/// Delay of a standby before its next watch: the first watcher has forwarded the changes by then, and each
/// call is billed. With half this delay, two standbys made 138 of 530 watches of a fleet of 295 nodes without
/// failures.
const STANDBY_BATCH_DELAY: Duration = Duration::from_millis(1_000);

/// How long one watch of the first watcher waits at the store. Its connection may fall silent for good while
/// new ones work, which is detected only when the watch is overdue; but each watch is billed: about 15 calls
/// in 44 s instead of two.
const FIRST_WATCH_TIMEOUT: Duration = Duration::from_secs(3);
/// How long one watch of a standby waits at the store: the longest time that the store allows.
const STANDBY_WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// The role in which a node watches the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchRole {
    /// Receives each change at once.
    First,
    /// Backs up the higher-ranked watchers and receives what they miss.
    Standby,
}

impl WatchRole {
    /// Pause between a change and the next watch.
    pub fn batch_delay(self) -> Duration {
        match self {
            WatchRole::First => FIRST_BATCH_DELAY,
            WatchRole::Standby => STANDBY_BATCH_DELAY,
        }
    }

    /// How long one watch waits at the store.
    pub fn watch_timeout(self) -> Duration {
        match self {
            WatchRole::First => FIRST_WATCH_TIMEOUT,
            WatchRole::Standby => STANDBY_WATCH_TIMEOUT,
        }
    }
}

/// The number of a watcher's pulse; numbers increase, also across restarts.
pub type PulseNumber = u64;

/// The state of the store as reported by a pulse, ordered by how long an answer takes.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoreState {
    /// The store answers the watcher.
    Answers,
    /// The answer takes longer than usual; the store may be slow or away.
    Late,
    /// The store does not answer the watcher.
    Away,
}

/// A watcher's sign of life.
#[derive(Clone, Copy, Debug)]
pub struct Pulse {
    /// Its number.
    pub number: PulseNumber,
    /// The state of the store.
    pub state: StoreState,
    /// When the watcher sent it. A pulse that another node held for some time says nothing of that time.
    pub at: Timestamp,
}

/// A node's knowledge of the watchers.
#[derive(Debug)]
pub struct Watchers {
    own: VmId,
    schedule: TakeoverSchedule,
    pulses: BTreeMap<VmId, Pulse>,
    /// Nodes that left the fleet in order. They watch the store until their processes end.
    left: BTreeSet<VmId>,
    last_left: Option<Timestamp>,
    /// Whether this node is leaving.
    is_leaving: bool,
    last_contact: Option<Timestamp>,
    last_answer: Option<Timestamp>,
    last_miss: Option<Timestamp>,
    /// When the store last did not answer a watcher at all.
    last_away: Option<Timestamp>,
    /// When the store answered a node after it had answered none for a while.
    answering_since: Option<Timestamp>,
    /// The nodes that the store did not answer when they last asked it.
    unanswered: BTreeSet<VmId>,
    /// When the store last answered a node that it had not answered before.
    last_regained: Option<Timestamp>,
    /// When a call failed that a node made after the store had answered another one.
    last_refused: Option<Timestamp>,
    /// When a call of this node last failed while the store answered another one.
    last_own_refused: Option<Timestamp>,
    /// The largest number of nodes that another node reported; this one may know fewer.
    reported_nodes: usize,
    /// Whether this node watches the store.
    watches: bool,
    /// Pulses up to this time have expired: since then, all watchers have been silent for a while.
    silent_since: Option<Timestamp>,
    /// Up to when this node knows the store's changes, if it lacks some that other nodes have.
    lags_since: Option<Timestamp>,
    /// When the store last answered a call of this node.
    last_own_answer: Option<Timestamp>,
    last_ranked: Option<Timestamp>,
    last_tick: Option<Timestamp>,
}

impl Watchers {
    /// Creates the state of a node that knows no watchers yet.
    pub fn new(own: VmId, schedule: TakeoverSchedule) -> Self {
        Watchers {
            own,
            schedule,
            pulses: BTreeMap::new(),
            left: BTreeSet::new(),
            last_left: None,
            is_leaving: false,
            last_contact: None,
            last_answer: None,
            last_miss: None,
            last_away: None,
            answering_since: None,
            unanswered: BTreeSet::new(),
            last_regained: None,
            last_refused: None,
            last_own_refused: None,
            reported_nodes: 0,
            watches: false,
            silent_since: None,
            lags_since: None,
            last_own_answer: None,
            last_ranked: None,
            last_tick: None,
        }
    }

    /// Replaces the schedule after a change of the settings.
    pub fn set_schedule(&mut self, schedule: TakeoverSchedule) {
        self.schedule = schedule;
    }

    /// Detects a pause of the process, during which it heard nobody: silence counts only while it runs.
    /// Called a few times a second, before decisions.
    pub fn tick(&mut self, now: Timestamp) {
        let gap = now.saturating_sub(self.last_tick.replace(now).unwrap_or(now));
        if gap <= MAX_TICK_GAP {
            return;
        }
        let ages = [
            &mut self.last_contact,
            &mut self.last_answer,
            &mut self.last_miss,
            &mut self.last_away,
            &mut self.answering_since,
            &mut self.last_regained,
            &mut self.last_refused,
            &mut self.last_own_refused,
            &mut self.last_own_answer,
            &mut self.last_left,
            &mut self.silent_since,
            &mut self.lags_since,
        ];
        let pulses = self.pulses.values_mut().map(|pulse| &mut pulse.at);
        for at in ages.into_iter().flatten().chain(pulses) {
            *at = (*at + gap).min(now);
        }
    }

    /// A message arrived from another node.
    pub fn on_contact(&mut self, now: Timestamp) {
        self.last_contact = Some(now);
    }

    /// Another node reported how many nodes it knows.
    pub fn on_node_count(&mut self, nodes: usize) {
        self.reported_nodes = self.reported_nodes.max(nodes);
    }

    /// Another node left the fleet in order. Other nodes take over what it watches while it still does.
    pub fn on_left(&mut self, node: &VmId, now: Timestamp) {
        self.left.insert(node.clone());
        self.last_left = Some(now);
    }

    /// This node leaves the fleet; it no longer begins to watch.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// The latest pulses that have not expired, of nodes that stay, to be sent to a node that has just started.
    pub fn fresh_pulses(&self, now: Timestamp) -> impl Iterator<Item = (&VmId, Pulse)> {
        let is_fresh = move |watcher: &VmId, pulse: &Pulse| {
            !self.has_expired(pulse, now) && !self.left.contains(watcher)
        };
        let fresh = self.pulses.iter().filter(move |(watcher, pulse)| is_fresh(watcher, pulse));
        fresh.map(|(watcher, pulse)| (watcher, *pulse))
    }

    /// A watcher's pulse arrived, directly or forwarded. Returns whether it is new.
    pub fn on_pulse(&mut self, watcher: &VmId, pulse: Pulse) -> bool {
        let known = self.pulses.get(watcher);
        if *watcher == self.own || known.is_some_and(|known| known.number >= pulse.number) {
            return false;
        }
        // A watcher reports that an answer is late before it gives up.
        let failed_at_once =
            known.is_some_and(|known| known.number + 1 == pulse.number && known.state != StoreState::Late);
        let max_call_time = if failed_at_once { PULSE_LATE_AFTER } else { PULSE_TIMEOUT };
        self.pulses.insert(watcher.clone(), pulse);
        self.record_state(watcher, pulse.state, pulse.at, max_call_time);
        true
    }

    /// Records the result of this node's own call to the store.
    pub fn on_own_pulse(&mut self, state: StoreState, now: Timestamp) {
        if state == StoreState::Answers {
            self.last_own_answer = Some(now);
        }
        let own = self.own.clone();
        self.record_state(&own, state, now, PULSE_TIMEOUT);
    }

    /// The store answered this node after a call that failed. Returns whether it may have been unavailable: it did not
    /// answer other nodes meanwhile.
    pub fn on_own_regained(&mut self, now: Timestamp) -> bool {
        let was_refused = self.has_answered_since(self.last_own_refused);
        self.last_regained = Some(now);
        !was_refused
    }

    /// Records what a node that asked the store reported at `at`, at most `max_call_time` after it had asked.
    fn record_state(&mut self, node: &VmId, state: StoreState, at: Timestamp, max_call_time: Duration) {
        let record = |last: &mut Option<Timestamp>| *last = (*last).max(Some(at));
        match state {
            StoreState::Answers => {
                if !self.store_answers(at) {
                    self.answering_since = Some(at);
                }
                if self.unanswered.remove(node) {
                    record(&mut self.last_regained);
                }
                record(&mut self.last_answer);
            }
            StoreState::Late => record(&mut self.last_miss),
            StoreState::Away => {
                self.unanswered.insert(node.clone());
                if self.answering_since.is_some_and(|since| since + max_call_time <= at) {
                    record(&mut self.last_refused);
                    if *node == self.own
                        && self.last_answer.is_some_and(|answer| at <= answer + max_call_time)
                    {
                        record(&mut self.last_own_refused);
                    }
                }
                [&mut self.last_miss, &mut self.last_away].into_iter().for_each(record);
            }
        }
    }

    /// Whether the store has recently answered this node or any watcher whose pulses arrive here.
    pub fn store_answers(&self, now: Timestamp) -> bool {
        self.last_answer.is_some_and(|at| at + ANSWER_TTL > now)
    }

    /// Sets up to when this node knows the store's changes, if it lacks some that other nodes have.
    pub fn set_lag(&mut self, lags_since: Option<Timestamp>) {
        self.lags_since = lags_since;
    }

    /// When the store last answered a node, as far as this one knows.
    pub fn answered_at(&self) -> Option<Timestamp> {
        self.last_answer
    }

    /// Time for which this node may not know the store's changes.
    pub fn staleness(&self, now: Timestamp) -> Duration {
        self.lags_since.map_or(self.answer_age(now), |since| now.saturating_sub(since))
    }

    /// Time since the store last answered a node, as far as this one knows; since the start if it never did.
    pub fn answer_age(&self, now: Timestamp) -> Duration {
        now.saturating_sub(self.last_answer.unwrap_or_default())
    }

    /// Whether the store seems to answer no node, according to a node that asked it. It may also turn away just the
    /// nodes that ask, see [`Self::is_store_partly_away`]. Silence of all watchers says nothing of the store: they may
    /// have ended.
    pub fn is_store_away(&self, now: Timestamp) -> bool {
        let is_away = |away: Timestamp| self.last_answer.is_none_or(|answer| answer < away);
        !self.store_answers(now) && self.last_away.is_some_and(is_away)
    }

    /// Whether the store answers some nodes and turns others away, and did so when it seemed to be away: a call
    /// failed that was made after the store had answered another node, and it has answered no node since that it had
    /// not answered before.
    pub fn is_store_partly_away(&self, now: Timestamp) -> bool {
        let is_refused = self.has_answered_since(self.last_refused);
        self.store_answers(now) && is_refused && !self.has_answered_since(self.last_regained)
    }

    /// Whether the store has answered some nodes ever since `at`.
    fn has_answered_since(&self, at: Option<Timestamp>) -> bool {
        at.is_some_and(|at| self.answering_since.is_some_and(|since| since <= at))
    }

    /// When the store answered a node after it had answered none for a while.
    pub fn answering_since(&self) -> Option<Timestamp> {
        self.answering_since
    }

    /// Whether the store did not answer this node when it last asked.
    pub fn is_own_unanswered(&self) -> bool {
        self.unanswered.contains(&self.own)
    }

    /// Whether the store may be away: a watcher did not get an answer in time, and none has had one since.
    /// This becomes true about a second before [`Self::store_answers`] becomes false.
    pub fn store_may_be_down(&self, now: Timestamp) -> bool {
        let miss = self.last_miss.filter(|at| *at + MISS_TTL > now);
        miss.is_some_and(|miss| self.last_answer.is_none_or(|answer| answer < miss))
    }

    /// Decides whether this node should watch the store from now on, and in which role. Nodes with wide links
    /// (`has_wide_link`) come first, as changes go from the watchers to all others and 1 MB takes 0.8 s on a
    /// link of 10 Mbit/s. Nodes may disagree for some seconds on which nodes have one.
    pub fn role<'a>(
        &mut self,
        alive: impl Iterator<Item = &'a VmId>,
        has_wide_link: impl Fn(&VmId) -> bool,
        now: Timestamp,
    ) -> Option<WatchRole> {
        if self.is_silent(now) {
            self.silent_since = self.last_answer;
        }
        let takes_no_role = self.is_leaving && !self.watches;
        if now < STARTUP_LISTEN_TIME || takes_no_role || self.has_enough_watchers(now) {
            return None;
        }
        self.last_ranked = Some(now);
        let mut nodes: Vec<&VmId> = alive.collect();
        // A node that left may have started again.
        nodes.iter().for_each(|node| drop(self.left.take(*node)));
        nodes.push(&self.own);
        let known = nodes.len();
        nodes.extend(self.fresh_pulses(now).map(|(watcher, _)| watcher));
        let ranking = ranked(nodes, has_wide_link);
        let rank = ranking.iter().position(|node| **node == self.own).unwrap_or(0);
        let working = ranking[..rank].iter().filter(|node| !self.is_failing(node, now)).count();
        let watches = self.has_turn(known, now)
            || (self.is_answered(now) && working < WATCHERS)
            || (now >= RANKING_SETTLE_TIME && self.is_ranked_to_watch(&ranking, rank, now));
        self.watches = watches;
        watches.then_some(if working == 0 { WatchRole::First } else { WatchRole::Standby })
    }

    /// Whether enough other nodes watch the store, and a recent ranking did not select this node.
    fn has_enough_watchers(&self, now: Timestamp) -> bool {
        let is_recent = self.last_ranked.is_some_and(|at| at + RANK_INTERVAL > now);
        let working = || self.fresh_pulses(now).filter(|(node, _)| !self.unanswered.contains(*node)).count();
        let may_be_outdated = self.staleness(now) > PULSE_SILENCE;
        is_recent && !self.watches && !may_be_outdated && working() >= WATCHERS
    }

    /// Whether no watcher has reported an answer of the store for so long that all of them may have stopped.
    fn is_silent(&self, now: Timestamp) -> bool {
        self.answer_age(now) > PULSE_SILENCE && !self.is_answer_awaited(now)
    }

    /// Whether a watcher waits for a late answer of the store and will soon report whether one came.
    fn is_answer_awaited(&self, now: Timestamp) -> bool {
        self.has_pulse(StoreState::Late, PULSE_TIMEOUT, now)
    }

    /// Whether a watcher sent a pulse with this state less than `max_age` ago.
    fn has_pulse(&self, state: StoreState, max_age: Duration, now: Timestamp) -> bool {
        self.pulses.values().any(|pulse| pulse.state == state && pulse.at + max_age > now)
    }

    /// Whether this node watches the store and gets answers.
    fn is_answered(&self, now: Timestamp) -> bool {
        self.watches && self.last_own_answer.is_some_and(|at| at + PULSE_TTL > now)
    }

    /// Whether this node is ranked among the first, or, while the store answers none of those, belongs to the
    /// group whose turn it is to try.
    fn is_ranked_to_watch(&self, ranking: &[&VmId], rank: usize, now: Timestamp) -> bool {
        let first = &ranking[..WATCHERS.min(ranking.len())];
        let none_answered = || first.iter().all(|node| self.is_failing(node, now));
        let unanswered_for = now.saturating_sub(self.last_answer.unwrap_or_default());
        let groups_tried = (unanswered_for.as_millis() / GROUP_WATCH_TIME.as_millis()) as usize;
        // The groups of other nodes try in rotation.
        let others = ranking.len().saturating_sub(WATCHERS).max(1);
        let tries = rank >= WATCHERS
            && (rank - WATCHERS + others - (groups_tried * WATCHERS) % others) % others < WATCHERS;
        // The next nodes by rank have not asked the store yet.
        let takes_over = self.last_left.is_some_and(|at| now < at + PULSE_INTERVAL);
        rank < WATCHERS || (tries && !takes_over && none_answered())
    }

    /// Whether a watcher is silent, or the store has not answered it since it reported that.
    fn is_failing(&self, watcher: &VmId, now: Timestamp) -> bool {
        let pulse = self.pulses.get(watcher);
        self.unanswered.contains(watcher) || pulse.is_none_or(|pulse| self.has_expired(pulse, now))
    }

    fn has_expired(&self, pulse: &Pulse, now: Timestamp) -> bool {
        pulse.at + PULSE_TTL < now || self.silent_since.is_some_and(|since| pulse.at <= since)
    }

    /// Whether this node may not know the store's changes for so long that it is its turn to ask; `known` is the
    /// number of nodes that it knows, itself included. While another node asks in vain, only the groups of
    /// [`Self::is_ranked_to_watch`] do: a store that is down must not be polled by the whole fleet.
    fn has_turn(&self, known: usize, now: Timestamp) -> bool {
        if self.is_answer_awaited(now) || self.has_pulse(StoreState::Away, PULSE_SILENCE, now) {
            return false;
        }
        let position = 1.0 - rendezvous::weight(RANKING, &self.own) as f64 / u64::MAX as f64;
        let others = known.max(self.reported_nodes).saturating_sub(1);
        let is_in_contact = self.last_contact.is_some_and(|at| at + CONTACT_TIMEOUT > now);
        let (earliest, max_spread) = match self.last_answer {
            None => (STARTUP_LISTEN_TIME, MAX_STARTUP_TURN_DELAY),
            Some(_) if is_in_contact => (PULSE_SILENCE, MAX_TURN_DELAY),
            Some(_) => (PULSE_SILENCE, MAX_ISOLATED_TURN_DELAY),
        };
        self.staleness(now) >= self.schedule.wait(position, others, earliest, max_spread)
    }
}

/// Ranks nodes for watching the store: first [`WATCHERS`] nodes with wide links, then all others by hash
/// alone. Nodes with wide links may all be in the same network partition: if all of them came first, 8 of 62
/// that are cut off would keep the other 54 from watching a store that they can reach.
fn ranked(mut nodes: Vec<&VmId>, has_wide_link: impl Fn(&VmId) -> bool) -> Vec<&VmId> {
    let weight = |node: &VmId| rendezvous::weight(RANKING, node);
    nodes.sort_by_cached_key(|node| Reverse((has_wide_link(node), weight(node))));
    nodes.dedup();
    let first = WATCHERS.min(nodes.len());
    nodes[first..].sort_by_cached_key(|node| Reverse(weight(node)));
    nodes
}
