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
pub struct QueuedRequest {
    /// What was asked for.
    pub request: PlaceRequest,
    /// When it came.
    pub queued_at: Timestamp,
}

#[derive(Debug)]
struct OrganisationQueue {
    share: f64,
    virtual_time: f64,
    waiting: Vec<QueuedRequest>,
}

/// The queue.
#[derive(Debug, Default)]
pub struct FairQueue {
    queues: BTreeMap<OrganisationId, OrganisationQueue>,
    shares: BTreeMap<OrganisationId, f64>,
    virtual_now: f64,
    len: usize,
}

impl FairQueue {
    /// Sets the relative shares; organisations that are not listed have 1.
    pub fn set_shares(&mut self, shares: &[(OrganisationId, f64)]) {
        self.shares = shares.iter().cloned().collect();
        for (organisation, queue) in &mut self.queues {
            queue.share = self.shares.get(organisation).copied().unwrap_or(1.0);
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
        let queue = self.queue_mut(&request.organisation);
        if queue.waiting.is_empty() {
            queue.virtual_time = queue.virtual_time.max(virtual_now);
        }
        let index = queue.waiting.partition_point(|w| w.request.priority >= request.priority);
        queue.waiting.insert(index, QueuedRequest { request, queued_at: now });
        self.len += 1;
    }

    fn queue_mut(&mut self, organisation: &OrganisationId) -> &mut OrganisationQueue {
        if !self.queues.contains_key(organisation) {
            self.evict_empty_queues();
            let share = self.shares.get(organisation).copied().unwrap_or(1.0);
            let queue = OrganisationQueue { share, virtual_time: self.virtual_now, waiting: Vec::new() };
            self.queues.insert(organisation.clone(), queue);
        }
        self.queues.get_mut(organisation).expect("just inserted")
    }

    fn evict_empty_queues(&mut self) {
        if self.queues.len() >= MAX_ORGANISATIONS {
            self.queues.retain(|_, queue| !queue.waiting.is_empty());
        }
    }

    /// The organisations that wait, the one furthest behind first, `limit` of them.
    pub fn next_organisations(&self, limit: usize) -> Vec<OrganisationId> {
        let mut waiting: Vec<_> = self.queues.iter().filter(|(_, queue)| !queue.waiting.is_empty()).collect();
        waiting.sort_by(|a, b| a.1.virtual_time.total_cmp(&b.1.virtual_time));
        waiting.into_iter().take(limit).map(|(id, _)| id.clone()).collect()
    }

    /// The requests of an organisation that are next, `limit` of them.
    pub fn first_requests(
        &self,
        organisation: &OrganisationId,
        limit: usize,
    ) -> impl Iterator<Item = &QueuedRequest> {
        self.queues.get(organisation).into_iter().flat_map(move |queue| queue.waiting.iter().take(limit))
    }

    /// A request of an organisation by its generation.
    pub fn get(&self, organisation: &OrganisationId, generation: GenerationId) -> Option<&QueuedRequest> {
        let queue = self.queues.get(organisation)?;
        queue.waiting.iter().find(|w| w.request.generation == generation)
    }

    /// Takes a request out to be served.
    pub fn dequeue(
        &mut self,
        organisation: &OrganisationId,
        generation: GenerationId,
    ) -> Option<QueuedRequest> {
        let queue = self.queues.get_mut(organisation)?;
        let index = queue.waiting.iter().position(|w| w.request.generation == generation)?;
        self.virtual_now = self.virtual_now.max(queue.virtual_time);
        self.len -= 1;
        Some(queue.waiting.remove(index))
    }

    /// Charges an organisation for tokens; negative to give some back.
    pub fn charge(&mut self, organisation: &OrganisationId, tokens: f64) {
        let queue = self.queue_mut(organisation);
        queue.virtual_time += tokens / queue.share;
    }

    /// Takes a request out by its generation.
    pub fn remove(&mut self, generation: GenerationId) -> Option<QueuedRequest> {
        self.remove_where(|w| w.request.generation == generation).pop()
    }

    /// Takes out all that an entry waits for.
    pub fn remove_by_entry(&mut self, entry: &VmId) -> Vec<QueuedRequest> {
        self.remove_where(|w| w.request.entry == *entry)
    }

    /// Takes out all that came at `before` or earlier.
    pub fn remove_older(&mut self, before: Timestamp) -> Vec<QueuedRequest> {
        self.remove_where(|w| w.queued_at <= before)
    }

    fn remove_where(&mut self, mut is_match: impl FnMut(&QueuedRequest) -> bool) -> Vec<QueuedRequest> {
        let mut removed = Vec::new();
        for queue in self.queues.values_mut() {
            removed.extend(queue.waiting.extract_if(.., |w| is_match(w)));
        }
        self.len -= removed.len();
        removed
    }

    /// Takes the newest request out of the lane that is longest for its share, if
    /// that lane is longer for its share than `organisation`'s would be with one more.
    pub fn displace_for(&mut self, organisation: &OrganisationId) -> Option<QueuedRequest> {
        let own_share = self.shares.get(organisation).copied().unwrap_or(1.0);
        let own_len = self.queues.get(organisation).map_or(0, |queue| queue.waiting.len());
        let own = (own_len + 1) as f64 / own_share;
        let weight = |queue: &OrganisationQueue| queue.waiting.len() as f64 / queue.share;
        let longest = self.queues.values_mut().max_by(|a, b| weight(a).total_cmp(&weight(b)))?;
        if weight(longest) <= own {
            return None;
        }
        self.len -= 1;
        longest.waiting.pop()
    }
}
