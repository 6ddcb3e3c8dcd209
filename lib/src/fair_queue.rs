//! The wait queue of a pool. It is fair between organisations by tokens served, and orders the requests of
//! one organisation by priority and arrival. The pool bounds its length and the time that requests wait in
//! it.
//!
//! Fairness is start-time fair queueing (Goyal, Vin, Cheng, 1996) over tokens: the virtual time of an
//! organisation grows by the tokens it is served divided by its share, and the organisation with the lowest
//! virtual time is served first.

use std::collections::BTreeMap;

use crate::ids::GenerationId;
use crate::ids::OrganisationId;
use crate::ids::Timestamp;
use crate::ids::VmId;
use crate::pool_event::PlaceRequest;

/// Number of recorded organisations at which those without waiting requests are evicted.
const MAX_ORGANISATIONS: usize = 4_096;

/// A request in the queue.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// The request.
    pub request: PlaceRequest,
    /// Time when the request was added.
    pub queued_at: Timestamp,
}

#[derive(Debug)]
struct OrganisationQueue {
    share: f64,
    virtual_time: f64,
    waiting: Vec<QueuedRequest>,
}

/// A queue that is fair between organisations.
#[derive(Debug, Default)]
pub struct FairQueue {
    queues: BTreeMap<OrganisationId, OrganisationQueue>,
    shares: BTreeMap<OrganisationId, f64>,
    virtual_now: f64,
    len: usize,
}

impl FairQueue {
    /// Sets the relative shares of the organisations. An organisation that is not listed has a share of 1.
    pub fn set_shares(&mut self, shares: &[(OrganisationId, f64)]) {
        self.shares = shares.iter().cloned().collect();
        for (organisation, queue) in &mut self.queues {
            queue.share = self.shares.get(organisation).copied().unwrap_or(1.0);
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
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

    /// Returns up to `limit` organisations with waiting requests, ordered by ascending virtual time.
    pub fn next_organisations(&self, limit: usize) -> Vec<OrganisationId> {
        let mut waiting: Vec<_> = self.queues.iter().filter(|(_, queue)| !queue.waiting.is_empty()).collect();
        waiting.sort_by(|a, b| a.1.virtual_time.total_cmp(&b.1.virtual_time));
        waiting.into_iter().take(limit).map(|(id, _)| id.clone()).collect()
    }

    /// Returns the first `limit` waiting requests of an organisation.
    pub fn first_requests(
        &self,
        organisation: &OrganisationId,
        limit: usize,
    ) -> impl Iterator<Item = &QueuedRequest> {
        self.queues.get(organisation).into_iter().flat_map(move |queue| queue.waiting.iter().take(limit))
    }

    /// Returns the waiting request of an organisation for a generation.
    pub fn get(&self, organisation: &OrganisationId, generation: GenerationId) -> Option<&QueuedRequest> {
        let queue = self.queues.get(organisation)?;
        queue.waiting.iter().find(|w| w.request.generation == generation)
    }

    /// Removes a request that is about to be served and advances the queue's virtual time.
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

    /// Charges an organisation for tokens; a negative number is a refund.
    pub fn charge(&mut self, organisation: &OrganisationId, tokens: f64) {
        let queue = self.queue_mut(organisation);
        queue.virtual_time += tokens / queue.share;
    }

    /// Removes the request for a generation.
    pub fn remove(&mut self, generation: GenerationId) -> Option<QueuedRequest> {
        self.remove_where(|w| w.request.generation == generation).pop()
    }

    /// Removes all requests of an entry.
    pub fn remove_by_entry(&mut self, entry: &VmId) -> Vec<QueuedRequest> {
        self.remove_where(|w| w.request.entry == *entry)
    }

    /// Removes all requests that were added at `before` or earlier.
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

    /// Removes the last request of the organisation whose queue is longest relative to its share, if that
    /// queue is longer relative to its share than the queue of `organisation` would be with one more request.
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
