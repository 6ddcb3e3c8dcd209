//! The wait queue of a pool: fair between organisations by tokens served, by
//! priority and arrival within one, with a bounded length and bounded waits.
//!
//! Fairness is start-time fair queueing (Goyal, Vin, Cheng, 1996) over tokens: each
//! organisation has a virtual time that grows by the tokens it is served divided by
//! its share; the one that is furthest behind goes first.

use std::collections::BTreeMap;

use crate::ids::GenerationId;
use crate::ids::OrganisationId;
use crate::ids::Timestamp;
use crate::ids::VmId;
use crate::pool_event::PlaceRequest;

/// Organisations remembered at most; the ones without work go first.
const MAX_ORGANISATIONS: usize = 4_096;

/// A request that waits.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// What was asked for.
    pub request: PlaceRequest,
    /// When it came.
    pub since: Timestamp,
}

#[derive(Debug)]
struct Lane {
    share: f64,
    virtual_time: f64,
    waiting: Vec<Waiting>,
}

/// The queue.
#[derive(Debug, Default)]
pub struct FairQueue {
    lanes: BTreeMap<OrganisationId, Lane>,
    shares: BTreeMap<OrganisationId, f64>,
    virtual_now: f64,
    len: usize,
}

impl FairQueue {
    /// Sets the relative shares; organisations that are not listed have 1.
    pub fn set_shares(&mut self, shares: &[(OrganisationId, f64)]) {
        self.shares = shares.iter().cloned().collect();
        for (organisation, lane) in &mut self.lanes {
            lane.share = self.shares.get(organisation).copied().unwrap_or(1.0);
        }
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request behind those of its organisation with the same priority or a higher one.
    pub fn push(&mut self, request: PlaceRequest, now: Timestamp) {
        let virtual_now = self.virtual_now;
        let lane = self.lane(&request.organisation);
        if lane.waiting.is_empty() {
            lane.virtual_time = lane.virtual_time.max(virtual_now);
        }
        let at = lane.waiting.partition_point(|w| w.request.priority >= request.priority);
        lane.waiting.insert(at, Waiting { request, since: now });
        self.len += 1;
    }

    fn lane(&mut self, organisation: &OrganisationId) -> &mut Lane {
        if !self.lanes.contains_key(organisation) {
            self.make_room();
            let share = self.shares.get(organisation).copied().unwrap_or(1.0);
            let lane = Lane { share, virtual_time: self.virtual_now, waiting: Vec::new() };
            self.lanes.insert(organisation.clone(), lane);
        }
        self.lanes.get_mut(organisation).expect("just inserted")
    }

    fn make_room(&mut self) {
        if self.lanes.len() >= MAX_ORGANISATIONS {
            self.lanes.retain(|_, lane| !lane.waiting.is_empty());
        }
    }

    /// The organisations that wait, the one furthest behind first, `most` of them.
    pub fn order(&self, most: usize) -> Vec<OrganisationId> {
        let mut waiting: Vec<_> = self.lanes.iter().filter(|(_, lane)| !lane.waiting.is_empty()).collect();
        waiting.sort_by(|a, b| a.1.virtual_time.total_cmp(&b.1.virtual_time));
        waiting.into_iter().take(most).map(|(id, _)| id.clone()).collect()
    }

    /// The requests of an organisation that are next, `most` of them.
    pub fn next_of(&self, organisation: &OrganisationId, most: usize) -> impl Iterator<Item = &Waiting> {
        self.lanes.get(organisation).into_iter().flat_map(move |lane| lane.waiting.iter().take(most))
    }

    /// A request of an organisation by its generation.
    pub fn get(&self, organisation: &OrganisationId, generation: GenerationId) -> Option<&Waiting> {
        let lane = self.lanes.get(organisation)?;
        lane.waiting.iter().find(|w| w.request.generation == generation)
    }

    /// Takes a request out to be served.
    pub fn take(&mut self, organisation: &OrganisationId, generation: GenerationId) -> Option<Waiting> {
        let lane = self.lanes.get_mut(organisation)?;
        let at = lane.waiting.iter().position(|w| w.request.generation == generation)?;
        self.virtual_now = self.virtual_now.max(lane.virtual_time);
        self.len -= 1;
        Some(lane.waiting.remove(at))
    }

    /// Charges an organisation for tokens; negative to give some back.
    pub fn charge(&mut self, organisation: &OrganisationId, tokens: f64) {
        let lane = self.lane(organisation);
        lane.virtual_time += tokens / lane.share;
    }

    /// Takes a request out by its generation.
    pub fn remove(&mut self, generation: GenerationId) -> Option<Waiting> {
        self.remove_where(|w| w.request.generation == generation).pop()
    }

    /// Takes out all that an entry waits for.
    pub fn remove_entry(&mut self, entry: &VmId) -> Vec<Waiting> {
        self.remove_where(|w| w.request.entry == *entry)
    }

    /// Takes out all that came at `before` or earlier.
    pub fn remove_older(&mut self, before: Timestamp) -> Vec<Waiting> {
        self.remove_where(|w| w.since <= before)
    }

    fn remove_where(&mut self, mut is_it: impl FnMut(&Waiting) -> bool) -> Vec<Waiting> {
        let mut removed = Vec::new();
        for lane in self.lanes.values_mut() {
            removed.extend(lane.waiting.extract_if(.., |w| is_it(w)));
        }
        self.len -= removed.len();
        removed
    }

    /// Takes the newest request out of the lane that is longest for its share, if
    /// that lane is longer for its share than `organisation`'s would be with one more.
    pub fn displace_for(&mut self, organisation: &OrganisationId) -> Option<Waiting> {
        let own_share = self.shares.get(organisation).copied().unwrap_or(1.0);
        let own_len = self.lanes.get(organisation).map_or(0, |lane| lane.waiting.len());
        let own = (own_len + 1) as f64 / own_share;
        let weight = |lane: &Lane| lane.waiting.len() as f64 / lane.share;
        let longest = self.lanes.values_mut().max_by(|a, b| weight(a).total_cmp(&weight(b)))?;
        if weight(longest) <= own {
            return None;
        }
        self.len -= 1;
        longest.waiting.pop()
    }
}
