//! Grants requests to replicas that announce limits, one request at a time.
//!
//! A limit applies to all nodes together, so a single node grants the requests that it allows: the lead
//! of a model service for its engines, and for any other replica the first node by a hash. Each grant is
//! for one pending request, so no grant goes to a node that cannot use it.
//!
//! The alternative is a fixed share of the limit for each node. In a model of the fleet
//! (`test_gateway_limit_model`), shares leave most of the limit unused when calls are unevenly
//! distributed, and with a limit of 0.4 a second most of 66 or 410 nodes get none.
//!
//! Nodes may have different views of the fleet or receive no answer from the granting node, so two nodes
//! may grant at once. Four rules bound the excess: a node that begins to grant starts with no saved
//! grants; a node that has just started grants nothing; a node that considers another one the primary
//! grants a quarter of the rate; and a node that sees fewer nodes than a short time ago grants a smaller
//! fraction, as the missing nodes may be on the other side of a network partition, with another granting
//! node.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::bounded_duration;
use crate::gateway::replica_limits::PerSecond;
use crate::gateway::run_key::RunId;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;

/// Fraction of a limit that is granted. The remainder covers requests that nodes send on their own
/// permits (`limit_permits`) and streams that resume at their engine without a new placement.
pub const GRANTED_FRACTION: f64 = 0.85;
/// Fraction of the granted rate that a substitute may grant. A node sends its request to a substitute
/// when the primary did not answer in time, but the primary may only be slow and still grant to others.
const SUBSTITUTE_FRACTION: f64 = 0.25;
/// Minimum rate of requests to a replica, even if its limit is lower: without any request, no node would
/// learn that the limit is withdrawn. One request in 5 s is within the 5 requests beyond its limit that a
/// replica may receive in 4 s.
pub const MIN_RATE: PerSecond = 0.2;
/// Maximum number of grants that accumulate while there are no requests.
const MAX_SAVED_GRANTS: f64 = 2.0;
/// Saved grants required beyond one for each rank of urgency. While urgent requests use up the limit,
/// this reserve is never reached for the less urgent ones. The requirement of the least urgent rank is
/// below [`MAX_SAVED_GRANTS`].
const RESERVE_PER_URGENCY_RANK: f64 = 0.1;
/// The lowest rank of urgency.
pub const LEAST_URGENT: u8 = 9;
/// Requests for a grant that all nodes together make for each grant. With three, a saved grant waits a
/// third of the time that it takes to accumulate; more requests only cost messages.
const REQUESTS_PER_GRANT: f64 = 3.0;
/// Minimum pause between two requests of a node for grants of one replica.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// Maximum pause: with 410 nodes, the granting node of a replica receives 20 requests a second.
const MAX_PAUSE: Duration = Duration::from_secs(20);
/// A node grants nothing for this long after its start: until it knows other nodes, it considers itself
/// the primary.
const STARTUP_DELAY: Duration = Duration::from_secs(2);
/// The granting node receives the first request within this time after the limit was announced, where
/// there are calls.
const FIRST_REQUEST_WITHIN: Duration = Duration::from_secs(5);
/// Nodes seen within this time count as possibly partitioned. This covers partitions that outlast the
/// replacement of a node.
const FLEET_SIZE_MEMORY: Duration = Duration::from_secs(20);

/// Identifies a node's request for a grant: a call may request grants for several replicas, one after the
/// other.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GrantRequestId {
    /// The call.
    pub run: RunId,
    /// The number of the request within the call, starting from 1.
    pub number: u32,
}

/// The answer to a request for a grant.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct Grant {
    /// Whether one request may be sent now.
    pub granted: bool,
    /// How long the node waits before it requests another grant.
    #[serde(deserialize_with = "bounded_duration::required")]
    pub ask_again_after: Duration,
}

/// The role in which a node answers a request for a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GranterRole {
    /// Grants the full rate that a limit allows.
    Primary,
    /// Grants in place of the primary.
    Substitute,
}

/// The saved grants of one replica, and the time of the next node's turn.
#[derive(Debug, Default)]
struct Account {
    saved: f64,
    saved_at: Timestamp,
    /// The latest turn that was assigned to a node.
    last_turn_at: Timestamp,
}

/// Grants requests to replicas that announce limits.
#[derive(Debug, Default)]
pub struct LimitGrants {
    accounts: HashMap<UpstreamId, Account>,
    nodes: usize,
    max_nodes: usize,
    max_nodes_at: Timestamp,
}

impl LimitGrants {
    /// Sets the number of nodes that this node currently knows.
    pub fn set_nodes(&mut self, nodes: usize, now: Timestamp) {
        self.nodes = nodes;
        if nodes >= self.max_nodes || self.max_nodes_at + FLEET_SIZE_MEMORY <= now {
            (self.max_nodes, self.max_nodes_at) = (nodes, now);
        }
    }

    /// Accumulates grants from the moment at which a replica announced a limit. A node that begins to
    /// grant later than that starts with no saved grants, as another node may have granted before.
    pub fn accrue_from(&mut self, replica: &UpstreamId, announced_at: Timestamp, now: Timestamp) {
        if now < announced_at + FIRST_REQUEST_WITHIN && !self.accounts.contains_key(replica) {
            let from = announced_at.max(STARTUP_DELAY).min(now);
            self.accounts.insert(replica.clone(), Account::new(from));
        }
    }

    /// Whether the primary may grant a request of this urgency to a replica.
    pub fn may_grant(&mut self, replica: &UpstreamId, limit: PerSecond, urgency: u8, now: Timestamp) -> bool {
        let rate = self.rate(limit, GranterRole::Primary, now);
        self.account(replica, rate, now).can_grant(urgency)
    }

    /// Returns the account of a replica, brought up to date.
    fn account(&mut self, replica: &UpstreamId, rate: PerSecond, now: Timestamp) -> &mut Account {
        let account = self.accounts.entry(replica.clone()).or_insert_with(|| Account::new(now));
        account.save(rate, now);
        account
    }

    /// Records a grant.
    pub fn on_granted(&mut self, replica: &str) {
        if let Some(account) = self.accounts.get_mut(replica) {
            account.saved -= 1.0;
        }
    }

    /// Handles a node's request for a grant to send one request to a replica.
    pub fn request(
        &mut self,
        replica: &UpstreamId,
        limit: PerSecond,
        role: GranterRole,
        urgency: u8,
        now: Timestamp,
    ) -> Grant {
        let rate = self.rate(limit, role, now);
        let account = self.account(replica, rate, now);
        let granted = account.can_grant(urgency);
        if granted {
            account.saved -= 1.0;
        }
        Grant { granted, ask_again_after: account.pause(rate, urgency, now) }
    }

    /// Returns the number of grants a second under a limit.
    fn rate(&self, limit: PerSecond, role: GranterRole, now: Timestamp) -> PerSecond {
        if now < STARTUP_DELAY {
            return 0.0;
        }
        let visible_fraction = self.nodes.max(1) as f64 / self.max_nodes.max(1) as f64;
        let fraction = if role == GranterRole::Primary { 1.0 } else { SUBSTITUTE_FRACTION };
        (limit * GRANTED_FRACTION).max(MIN_RATE) * visible_fraction * fraction
    }

    /// Removes replicas that no longer have a limit.
    pub fn retain(&mut self, is_limited: impl Fn(&str) -> bool) {
        self.accounts.retain(|replica, _| is_limited(replica));
    }
}

impl Account {
    fn new(now: Timestamp) -> Self {
        Account { saved_at: now, ..Account::default() }
    }

    fn save(&mut self, rate: PerSecond, now: Timestamp) {
        let passed = now.saturating_sub(self.saved_at).as_secs_f64();
        self.saved = (self.saved + passed * rate).min(MAX_SAVED_GRANTS);
        self.saved_at = now;
    }

    fn can_grant(&self, urgency: u8) -> bool {
        self.saved >= saved_grants_needed(urgency)
    }

    /// Returns how long the requesting node pauses: until another request of its urgency can be granted,
    /// and until its turn among the requesting nodes. Turns are spaced by the intended interval between
    /// requests; a node with few calls uses few turns, so nodes with more calls make its requests
    /// instead.
    ///
    /// A pause in proportion to the number of nodes leaves the turns of nodes with few calls unused, and
    /// the grants that accumulate meanwhile are lost: 0.71 of a limit are used where three nodes receive
    /// 30, 8 and 1 calls a second, and 0.82 with turns (minimum of 400 runs of 8 s,
    /// `test_gateway_limit_regular_calls`).
    fn pause(&mut self, rate: PerSecond, urgency: u8, now: Timestamp) -> Duration {
        if rate <= 0.0 {
            return STARTUP_DELAY;
        }
        let interval = Duration::from_secs_f64(1.0 / (REQUESTS_PER_GRANT * rate));
        let turn = (self.last_turn_at.saturating_sub(now) + interval).min(MAX_PAUSE);
        self.last_turn_at = now + turn;
        let missing = (saved_grants_needed(urgency) - self.saved).max(0.0);
        let saved_up_after = Duration::from_secs_f64(missing / rate);
        turn.max(saved_up_after).clamp(MIN_PAUSE, MAX_PAUSE)
    }
}

/// Returns the saved grants that a request of this urgency requires.
fn saved_grants_needed(urgency: u8) -> f64 {
    1.0 + f64::from(urgency.min(LEAST_URGENT)) * RESERVE_PER_URGENCY_RANK
}
