//! The queue of generations that wait at their service's lead until an engine has room.
//!
//! Generations that can still begin in time go first, ordered by urgency and then by arrival. Those that
//! can no longer begin in time follow: at 1.1 times the engines' prefill capacity, ordering by arrival
//! alone soon makes all generations begin late, this order a tenth. So that late generations are served
//! too, a generation that has been late for [`OVERDUE_AFTER_FRACTION`] of the time until its caller
//! leaves is overdue and goes before all others, but only in a limited share of the placements: where the
//! load far exceeds the capacity, all generations would be overdue before they are served.
//!
//! A generation waits only while it can be expected to begin before its caller leaves. A caller that is
//! refused at once retries when there is room, while a caller that is held and then refused has lost both
//! its time and its place.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;

use crate::bounded_duration;
use crate::ids::OrganisationId;
use crate::ids::Timestamp;

/// Fraction by which the delay of refused callers is varied in either direction, so that callers refused
/// at the same time do not retry at the same time.
const RETRY_DELAY_JITTER: f64 = 0.25;

/// Fraction of the time from a generation's becoming late to its caller's leaving after which it is
/// overdue. At 1.1 times the engines' prefill capacity, for 15 s, 404 of 3,256 long streams begin late
/// (551 with 0.5, 380 with 0.75), and no caller leaves. At 1.3 times, 34 of 6,397 callers leave (none
/// with 0.5, 55 with 0.75), compared to 296 in a queue ordered by arrival. These figures are from
/// modelled engines without the bound [`OVERDUE_INTERVAL`].
const OVERDUE_AFTER_FRACTION: f64 = 0.6;

/// One of this many placements may go to an overdue generation while others can begin in time. At 1.1
/// times the engines' prefill capacity, this is enough that no caller leaves.
const OVERDUE_INTERVAL: u32 = 4;
/// The interval while more than [`MAX_FEW_OVERDUE`] generations are overdue. The load then far exceeds
/// the engines' capacity, and each overdue generation that goes first makes another one late. On modelled
/// engines (`test_what_callers_get_at_full_engines`), at 1.3 times their prefill capacity, 5,392 of 6,254
/// generations begin in time, 390 begin late, and 472 callers leave; with a fixed interval of 4 it is
/// 5,172, 596 and 595 of 6,363, and 3,555, 2,808 and 34 of 6,397 where overdue generations always go
/// first.
const MANY_OVERDUE_INTERVAL: u32 = 32;
/// Up to this many overdue generations, [`OVERDUE_INTERVAL`] serves them. With 12 instead, 40 of some
/// 5,800 callers leave at 1.1 times the prefill capacity of modelled engines; with 40, fewer begin in
/// time at 1.3 times (5,345).
const MAX_FEW_OVERDUE: usize = 24;

/// No engine has room for a generation.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
pub struct NoRoom {
    /// The expected time until there is room, if known.
    #[serde(deserialize_with = "bounded_duration::optional")]
    pub expected: Option<Duration>,
    /// Whether there is room for others: the request's organisation uses its share already.
    pub over_share: bool,
}

/// An entry of the queue.
#[derive(Debug)]
pub struct Waiting<T> {
    /// The waiting item.
    pub item: T,
    /// The organisation that it is accounted to, if there are organisations.
    pub organisation: Option<OrganisationId>,
    /// Its urgency; 0 is the most urgent.
    pub priority: u8,
    /// If the item is placed after this time, it begins late.
    pub due: Timestamp,
    /// The time at which the item is abandoned.
    pub until: Timestamp,
    /// Tokens of memory that the item needs.
    pub tokens: f64,
}

/// How late an entry is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Can still begin in time.
    InTime,
    /// Can no longer begin in time.
    Late,
    /// Has been late for long.
    Overdue,
}

/// The stages in the order in which entries are placed while it is the turn of an overdue one.
const OVERDUE_FIRST: [Stage; 3] = [Stage::Overdue, Stage::InTime, Stage::Late];
/// The stages in the order in which entries are placed otherwise.
const IN_TIME_FIRST: [Stage; 3] = [Stage::InTime, Stage::Overdue, Stage::Late];

impl<T> Waiting<T> {
    fn overdue_at(&self) -> Timestamp {
        self.due + self.until.saturating_sub(self.due).mul_f64(OVERDUE_AFTER_FRACTION)
    }

    fn stage(&self, now: Timestamp) -> Stage {
        if now <= self.due {
            Stage::InTime
        } else if now < self.overdue_at() {
            Stage::Late
        } else {
            Stage::Overdue
        }
    }

    /// The first time at which it leaves this stage.
    fn leaves_at(&self, stage: Stage) -> Option<Timestamp> {
        match stage {
            Stage::InTime => Some(self.due.saturating_add(Duration::from_nanos(1))),
            Stage::Late => Some(self.overdue_at()),
            Stage::Overdue => None,
        }
    }

    /// Its place among the entries of a stage: overdue ones are ordered by when they were due, regardless
    /// of urgency, and the others by urgency.
    fn position(&self, stage: Stage, arrival: Arrival) -> Position {
        let due = if stage == Stage::Overdue { self.due } else { Timestamp::ZERO };
        Position { due, priority: self.priority, arrival }
    }
}

/// Number of an entry in the order of arrival. An entry that is put back goes before all others.
type Arrival = i64;

/// The place of an entry among those of its stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    due: Timestamp,
    priority: u8,
    arrival: Arrival,
}

/// The entries of one stage, of one organisation.
#[derive(Debug)]
struct StageEntries<T> {
    entries: BTreeMap<Position, Waiting<T>>,
    /// Number of the entries and sum of their tokens, by priority.
    tokens: BTreeMap<u8, (usize, f64)>,
}

impl<T> Default for StageEntries<T> {
    fn default() -> Self {
        StageEntries { entries: BTreeMap::new(), tokens: BTreeMap::new() }
    }
}

impl<T> StageEntries<T> {
    fn insert(&mut self, position: Position, waiting: Waiting<T>) {
        let (count, tokens) = self.tokens.entry(waiting.priority).or_default();
        *count += 1;
        *tokens += waiting.tokens;
        self.entries.insert(position, waiting);
    }

    fn remove(&mut self, position: &Position) -> Option<Waiting<T>> {
        let waiting = self.entries.remove(position)?;
        if let Some((count, tokens)) = self.tokens.get_mut(&waiting.priority) {
            *count -= 1;
            *tokens -= waiting.tokens;
            if *count == 0 {
                self.tokens.remove(&waiting.priority);
            }
        }
        Some(waiting)
    }

    fn first(&self) -> Option<Position> {
        self.entries.first_key_value().map(|(position, _)| *position)
    }

    fn tokens_up_to(&self, priority: u8) -> f64 {
        self.tokens.range(..=priority).map(|(_, (_, tokens))| tokens).sum()
    }
}

/// The entries of one organisation.
#[derive(Debug)]
struct Line<T> {
    stages: [StageEntries<T>; 3],
    is_paused: bool,
}

impl<T> Default for Line<T> {
    fn default() -> Self {
        Line { stages: Default::default(), is_paused: false }
    }
}

impl<T> Line<T> {
    fn is_empty(&self) -> bool {
        self.stages.iter().all(|stage| stage.entries.is_empty())
    }

    fn len(&self) -> usize {
        self.stages.iter().map(|stage| stage.entries.len()).sum()
    }

    fn count(&self, stage: Stage) -> usize {
        self.stages[stage as usize].entries.len()
    }
}

/// The organisation of a line; `None` for entries without one.
type LineId = Option<OrganisationId>;

/// Identifies an entry.
#[derive(Clone, Debug)]
struct EntryId {
    line: LineId,
    stage: Stage,
    position: Position,
}

/// The queue of a service, sorted by urgency and then by arrival. The order of placement depends on the
/// current time, which must not decrease from call to call.
///
/// Each organisation has a line of its own. While the line is paused, its entries wait and others go
/// before them. A choice takes the first of the heads of the lines, so that its cost hardly depends on the
/// number of entries.
#[derive(Debug)]
pub struct WaitQueue<T> {
    lines: HashMap<LineId, Line<T>>,
    /// The first entry of each line that is not paused, by stage.
    heads: [BTreeMap<Position, LineId>; 3],
    /// When entries leave their stages.
    stage_ends: BTreeMap<(Timestamp, Arrival), EntryId>,
    /// Number of overdue entries in lines that are not paused.
    overdue: usize,
    /// Numbers of the next entries that are added at the end and at the front.
    next_arrival: Arrival,
    next_front: Arrival,
    /// Number of placements since the last overdue entry.
    since_overdue: u32,
    /// The previous value, restored if the entry that was last taken out is put back.
    since_overdue_before: u32,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        WaitQueue {
            lines: HashMap::new(),
            heads: Default::default(),
            stage_ends: BTreeMap::new(),
            overdue: 0,
            next_arrival: 0,
            next_front: -1,
            since_overdue: OVERDUE_INTERVAL,
            since_overdue_before: OVERDUE_INTERVAL,
        }
    }
}

impl<T> WaitQueue<T> {
    /// Adds an entry behind those of the same urgency.
    pub fn push(&mut self, waiting: Waiting<T>) {
        let arrival = self.next_arrival;
        self.next_arrival += 1;
        self.insert(waiting, Stage::InTime, arrival);
    }

    /// Whether no entry goes before a new one of this urgency that can begin in time. Entries in paused
    /// lines do not.
    pub fn is_next(&mut self, priority: u8, now: Timestamp) -> bool {
        self.advance(now);
        if self.overdue_first() && self.overdue > 0 {
            return false;
        }
        self.heads[Stage::InTime as usize]
            .first_key_value()
            .is_none_or(|(first, _)| first.priority > priority)
    }

    /// Returns the tokens of memory needed by the entries that go before a new one of this urgency that
    /// can begin in time.
    pub fn tokens_before(&mut self, priority: u8, now: Timestamp) -> f64 {
        self.advance(now);
        let overdue_first = self.overdue_first();
        let lines = self.lines.values().filter(|line| !line.is_paused);
        let tokens = lines.map(|line| {
            let overdue = &line.stages[Stage::Overdue as usize];
            let overdue = if overdue_first { overdue.tokens_up_to(u8::MAX) } else { 0.0 };
            overdue + line.stages[Stage::InTime as usize].tokens_up_to(priority)
        });
        tokens.sum()
    }

    /// Removes the entries that can no longer be expected to begin before they are abandoned: the time of
    /// abandonment has passed, or by `time_until` the memory for them and the entries before them is
    /// expected to be free only later. Returns them with that expected time, if known. Leaves out paused
    /// lines.
    pub fn take_unservable(
        &mut self,
        now: Timestamp,
        time_until: impl Fn(f64) -> Option<Duration>,
    ) -> Vec<(T, Option<Duration>)> {
        self.advance(now);
        let ids = self.in_turn(|line| !line.is_paused);
        let unservable = self.unservable(&ids, now, &time_until);
        self.take(unservable)
    }

    /// Like [`Self::take_unservable`], for the paused line of an organisation: `time_until` says when the
    /// organisation will have room for its own entries.
    pub fn take_unservable_of(
        &mut self,
        organisation: &OrganisationId,
        now: Timestamp,
        time_until: impl Fn(f64) -> Option<Duration>,
    ) -> Vec<(T, Option<Duration>)> {
        self.advance(now);
        let line = Some(organisation.clone());
        let ids = self
            .lines
            .get(&line)
            .map_or_else(Vec::new, |entries| ids_in_turn(self.order(), [(&line, entries)]));
        let unservable = self.unservable(&ids, now, &time_until);
        self.take(unservable)
    }

    fn unservable(
        &self,
        ids: &[EntryId],
        now: Timestamp,
        time_until: &impl Fn(f64) -> Option<Duration>,
    ) -> Vec<(EntryId, Option<Duration>)> {
        let mut unservable = Vec::new();
        let mut tokens = 0.0;
        for id in ids {
            let Some(waiting) = self.get(id) else { continue };
            let after = time_until(tokens + waiting.tokens);
            let has_expired = waiting.until <= now;
            if has_expired || after.is_some_and(|after| after > waiting.until - now) {
                unservable.push((id.clone(), after));
            } else {
                tokens += waiting.tokens;
            }
        }
        unservable
    }

    /// Removes these entries and returns them in the order of their lines.
    fn take(&mut self, mut entries: Vec<(EntryId, Option<Duration>)>) -> Vec<(T, Option<Duration>)> {
        entries.sort_by_key(|(id, _)| (id.position.priority, id.position.arrival));
        let taken = entries.into_iter().filter_map(|(id, expected)| Some((self.remove(&id)?.item, expected)));
        taken.collect()
    }

    /// Returns the entries of some lines in the order of placement.
    fn in_turn(&self, of: impl Fn(&Line<T>) -> bool) -> Vec<EntryId> {
        ids_in_turn(self.order(), self.lines.iter().filter(|(_, line)| of(line)))
    }

    fn order(&self) -> [Stage; 3] {
        if self.overdue_first() { OVERDUE_FIRST } else { IN_TIME_FIRST }
    }

    /// Removes and returns the next entry of the lines that are not paused.
    pub fn pop(&mut self, now: Timestamp) -> Option<Waiting<T>> {
        self.advance(now);
        let first = |stage: Stage| {
            let (position, line) = self.heads[stage as usize].first_key_value()?;
            Some(EntryId { line: line.clone(), stage, position: *position })
        };
        let id = self.order().into_iter().find_map(first)?;
        self.since_overdue_before = self.since_overdue;
        match id.stage {
            Stage::Overdue => self.since_overdue = 0,
            Stage::InTime | Stage::Late => self.on_direct_placement(),
        }
        self.remove(&id)
    }

    /// Records the placement of a generation that was not overdue, such as one that did not wait.
    pub fn on_direct_placement(&mut self) {
        self.since_overdue = self.since_overdue.saturating_add(1);
    }

    /// Whether an overdue entry goes before entries that can begin in time.
    fn overdue_first(&self) -> bool {
        self.since_overdue + 1 >= self.overdue_interval()
    }

    /// Returns the number of placements of which one may go to an overdue entry.
    fn overdue_interval(&self) -> u32 {
        if self.overdue <= MAX_FEW_OVERDUE { OVERDUE_INTERVAL } else { MANY_OVERDUE_INTERVAL }
    }

    /// Puts back an entry that was taken out, before those of the same urgency.
    pub fn put_back(&mut self, waiting: Waiting<T>) {
        let arrival = self.next_front;
        self.next_front -= 1;
        self.insert(waiting, Stage::InTime, arrival);
        self.since_overdue = self.since_overdue_before;
    }

    /// Pauses the line of an organisation, or ends the pause.
    pub fn set_paused(&mut self, organisation: &OrganisationId, is_paused: bool) {
        let id = Some(organisation.clone());
        let Some(line) = self.lines.get_mut(&id).filter(|line| line.is_paused != is_paused) else {
            return;
        };
        line.is_paused = is_paused;
        let overdue = line.count(Stage::Overdue);
        for (heads, stage) in self.heads.iter_mut().zip(&line.stages) {
            match stage.first() {
                Some(first) if is_paused => {
                    heads.remove(&first);
                }
                Some(first) => {
                    heads.insert(first, id.clone());
                }
                None => {}
            }
        }
        self.overdue = if is_paused { self.overdue - overdue } else { self.overdue + overdue };
    }

    /// The organisations with waiting entries, and whether their lines are paused.
    pub fn organisations(&self) -> impl Iterator<Item = (&OrganisationId, bool)> {
        self.lines.iter().filter_map(|(id, line)| Some((id.as_ref()?, line.is_paused)))
    }

    /// The number of waiting entries.
    pub fn len(&self) -> usize {
        self.lines.values().map(Line::len).sum()
    }

    /// Whether no entry waits.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    fn get(&self, id: &EntryId) -> Option<&Waiting<T>> {
        self.lines.get(&id.line)?.stages[id.stage as usize].entries.get(&id.position)
    }

    fn insert(&mut self, waiting: Waiting<T>, stage: Stage, arrival: Arrival) {
        let position = waiting.position(stage, arrival);
        let id = EntryId { line: waiting.organisation.clone(), stage, position };
        if let Some(at) = waiting.leaves_at(stage) {
            self.stage_ends.insert((at, arrival), id.clone());
        }
        let line = self.lines.entry(id.line.clone()).or_default();
        let entries = &mut line.stages[stage as usize];
        let first = entries.first();
        entries.insert(position, waiting);
        if line.is_paused {
            return;
        }
        self.overdue += usize::from(stage == Stage::Overdue);
        if first.is_none_or(|first| position < first) {
            let heads = &mut self.heads[stage as usize];
            first.map(|first| heads.remove(&first));
            heads.insert(position, id.line);
        }
    }

    fn remove(&mut self, id: &EntryId) -> Option<Waiting<T>> {
        let line = self.lines.get_mut(&id.line)?;
        let entries = &mut line.stages[id.stage as usize];
        let waiting = entries.remove(&id.position)?;
        if let Some(at) = waiting.leaves_at(id.stage) {
            self.stage_ends.remove(&(at, id.position.arrival));
        }
        if !line.is_paused {
            self.overdue -= usize::from(id.stage == Stage::Overdue);
            let heads = &mut self.heads[id.stage as usize];
            if heads.remove(&id.position).is_some()
                && let Some(first) = entries.first()
            {
                heads.insert(first, id.line.clone());
            }
        }
        if line.is_empty() {
            self.lines.remove(&id.line);
        }
        Some(waiting)
    }

    /// Moves the entries that have become late or overdue to their stages.
    fn advance(&mut self, now: Timestamp) {
        while let Some(ended) = self.stage_ends.first_entry().filter(|ended| ended.key().0 <= now) {
            let id = ended.get().clone();
            let is_paused = self.lines.get(&id.line).is_some_and(|line| line.is_paused);
            if let Some(waiting) = self.remove(&id) {
                let (stage, arrival) = (waiting.stage(now), id.position.arrival);
                self.lines.entry(id.line).or_default().is_paused = is_paused;
                self.insert(waiting, stage, arrival);
            }
        }
    }
}

/// The entries of some lines in the order of placement, for this order of stages.
fn ids_in_turn<'a, T: 'a>(
    order: [Stage; 3],
    lines: impl IntoIterator<Item = (&'a LineId, &'a Line<T>)>,
) -> Vec<EntryId> {
    let lines: Vec<_> = lines.into_iter().collect();
    let mut ids = Vec::new();
    for stage in order {
        let start = ids.len();
        for (line, entries) in &lines {
            let positions = entries.stages[stage as usize].entries.keys();
            ids.extend(positions.map(|position| EntryId {
                line: (*line).clone(),
                stage,
                position: *position,
            }));
        }
        ids[start..].sort_by_key(|id: &EntryId| id.position);
    }
    ids
}

/// Delay for a refused caller if the time until there is room is unknown: short, as the next attempt
/// reaches another node and perhaps another replica.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Minimum delay: a lead checks ten times a second which engines have room.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay: forecasts extend no further than the observations of the last seconds.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Maximum delay for callers of an organisation above its share: the time at which each of them may return
/// is known from those that were refused before it.
const MAX_SHARE_RETRY_DELAY: Duration = Duration::from_secs(30);

/// Returns the delay after which a caller that was refused for lack of room retries. Callers of an
/// organisation above its share do not return before it has room.
pub fn retry_delay_for<R: Rng>(no_room: NoRoom, rng: &mut R) -> Duration {
    match no_room.expected {
        Some(expected) if no_room.over_share => {
            let expected = expected.clamp(MIN_RETRY_DELAY, MAX_SHARE_RETRY_DELAY);
            expected.mul_f64(rng.random_range(1.0..=1.0 + RETRY_DELAY_JITTER))
        }
        expected => retry_delay(expected, rng),
    }
}

/// Returns the delay after which a refused caller retries when room is expected after `expected`, if
/// known.
pub fn retry_delay<R: Rng>(expected: Option<Duration>, rng: &mut R) -> Duration {
    let expected = expected.unwrap_or(DEFAULT_RETRY_DELAY).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    expected.mul_f64(rng.random_range(1.0 - RETRY_DELAY_JITTER..=1.0 + RETRY_DELAY_JITTER))
}
