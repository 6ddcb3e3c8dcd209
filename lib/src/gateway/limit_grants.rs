//! Grants requests to replicas that name limits, one by one.
//!
//! A limit holds for all nodes together, so one node grants what a limit allows: the lead of a model service
//! for its engines, and for each other replica the first of the nodes by a hash. Each grant is for one
//! request that is there already, so nothing is granted to nodes that have no use for it.
//!
//! Weighed against a share of the limit for each node, on a model of the fleet (`test_gateway_limit_model`): where
//! calls come unevenly, shares leave most of what is named unused, and of a limit of 0.4 a second most
//! of 66 or 410 nodes have none.
//!
//! Nodes may see different fleets, or get no answer from who grants, and then two of them grant at once. What bounds
//! that: a node that has just begun to grant has nothing saved up, a node that has just started grants nothing, one
//! that takes another one for the first grants a quarter, and one that sees fewer nodes than a short time ago grants a
//! smaller part, as the others may be on the far side of a cut with another one that grants.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::replica_limits::PerSecond;
use crate::gateway::run_key::RunId;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;

/// Part of a limit that is granted. The rest is for what nodes send by themselves (`limit_asks`), and for
/// streams that go on at their engine without being placed anew.
pub const GRANTED_FRACTION: f64 = 0.85;
/// Part of that which a node grants that is not the first for a replica: who asks it got no answer from the first
/// one in time, which may just be slow and grant to others.
const SUBSTITUTE_FRACTION: f64 = 0.25;
/// Requests that go to a replica even if it names less: without any, nobody would learn that its need is over. One
/// in 5 s is within the 5 requests beyond a limit that a replica may get in 4 s.
pub const MIN_RATE: PerSecond = 0.2;
/// Grants that may be saved up while there are no requests.
const MAX_SAVED_GRANTS: f64 = 2.0;
/// What must be saved up beyond one grant for each rank of urgency: while urgent requests take all that a
/// limit allows, it never is for others. The least urgent rank needs less than [`MAX_SAVED_GRANTS`].
const RESERVE_PER_URGENCY_RANK: f64 = 0.1;
/// The last rank of urgency.
pub const LEAST_URGENT: u8 = 9;
/// Asks for each grant that all nodes make together. With three, a grant waits a third of the time that it
/// takes to save one up; more only cost messages.
const REQUESTS_PER_GRANT: f64 = 3.0;
/// The least pause between two asks of a node for one replica.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// The longest one: with 410 nodes, 20 asks a second reach whoever grants for a replica.
const MAX_PAUSE: Duration = Duration::from_secs(20);
/// A node that has just started grants nothing for this long: until others are met, it takes itself for
/// the one to grant.
const STARTUP_DELAY: Duration = Duration::from_secs(2);
/// Whoever grants for a replica is asked within this after the limit was named, where there are calls.
const FIRST_REQUEST_WITHIN: Duration = Duration::from_secs(5);
/// Nodes that were seen within this count as perhaps being behind a cut: cuts that last longer than nodes
/// take to be replaced.
const FLEET_SIZE_MEMORY: Duration = Duration::from_secs(20);

/// Names a question of one node for a grant: a call may ask for several replicas, one after the other.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GrantRequestId {
    /// The call.
    pub run: RunId,
    /// Which of its questions; from 1 on.
    pub number: u32,
}

/// The answer to a node that asks for a grant.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct Grant {
    /// Whether one request may be sent now.
    pub granted: bool,
    /// The node may ask again after this.
    pub ask_again_after: Duration,
}

/// Who a node takes itself for that is asked for a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GranterRole {
    /// The one that grants what a limit allows.
    Primary,
    /// One that is asked in the first one's place.
    Substitute,
}

/// What is saved up for one replica, and when the next node is to ask.
#[derive(Debug, Default)]
struct Account {
    saved: f64,
    saved_at: Timestamp,
    /// When the last node asks that was told a time.
    last_turn_at: Timestamp,
}

/// Grants requests to replicas that name limits.
#[derive(Debug, Default)]
pub struct LimitGrants {
    accounts: HashMap<UpstreamId, Account>,
    nodes: usize,
    max_nodes: usize,
    max_nodes_at: Timestamp,
}

impl LimitGrants {
    /// How many nodes there are now, as far as this one knows.
    pub fn set_nodes(&mut self, nodes: usize, now: Timestamp) {
        self.nodes = nodes;
        if nodes >= self.max_nodes || self.max_nodes_at + FLEET_SIZE_MEMORY <= now {
            (self.max_nodes, self.max_nodes_at) = (nodes, now);
        }
    }

    /// A replica has named a limit since some moment: what it takes from then on is saved up. A node that begins to
    /// grant later than this has nothing saved up, as another one may have granted before.
    pub fn accrue_from(&mut self, replica: &UpstreamId, named_at: Timestamp, now: Timestamp) {
        if now < named_at + FIRST_REQUEST_WITHIN && !self.accounts.contains_key(replica) {
            let from = named_at.max(STARTUP_DELAY).min(now);
            self.accounts.insert(replica.clone(), Account::new(from));
        }
    }

    /// Whether a request of an urgency may be granted to a replica, by the first node.
    pub fn may_grant(&mut self, replica: &UpstreamId, limit: PerSecond, urgency: u8, now: Timestamp) -> bool {
        let rate = self.rate(limit, GranterRole::Primary, now);
        self.account(replica, rate, now).can_grant(urgency)
    }

    /// A replica's account, up to date.
    fn account(&mut self, replica: &UpstreamId, rate: PerSecond, now: Timestamp) -> &mut Account {
        let account = self.accounts.entry(replica.clone()).or_insert_with(|| Account::new(now));
        account.save(rate, now);
        account
    }

    /// One was granted.
    pub fn on_granted(&mut self, replica: &str) {
        if let Some(account) = self.accounts.get_mut(replica) {
            account.saved -= 1.0;
        }
    }

    /// A node has a request for a replica.
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

    /// Grants a second under a limit.
    fn rate(&self, limit: PerSecond, role: GranterRole, now: Timestamp) -> PerSecond {
        if now < STARTUP_DELAY {
            return 0.0;
        }
        let visible_fraction = self.nodes.max(1) as f64 / self.max_nodes.max(1) as f64;
        let fraction = if role == GranterRole::Primary { 1.0 } else { SUBSTITUTE_FRACTION };
        (limit * GRANTED_FRACTION).max(MIN_RATE) * visible_fraction * fraction
    }

    /// Forgets replicas that name no limit any more.
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

    /// How long a node that asks pauses: until another request of its urgency can be granted, and until
    /// its turn among the nodes that ask. Turns are as far apart as asks are to be; a node with few calls
    /// takes few of them, so those with more ask in its place.
    ///
    /// Where each node paused for as long as their number called for, nobody asked in place of those with few
    /// calls, and what was saved up meanwhile was lost: of a limit 0.71 were used where three nodes got 30, 8 and 1
    /// calls a second, and 0.82 with turns (least of 400 plays of 8 s, `test_gateway_limit_regular_calls`).
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

/// What must be saved up for a request of an urgency.
fn saved_grants_needed(urgency: u8) -> f64 {
    1.0 + f64::from(urgency.min(LEAST_URGENT)) * RESERVE_PER_URGENCY_RANK
}
