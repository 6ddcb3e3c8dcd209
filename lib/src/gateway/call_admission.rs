//! Admits the calls of organisations that are over their share of a plain service, at one node.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::call_sharing::CallShares;
use crate::gateway::routing::ServiceId;
use crate::ids::OrganisationId;
use crate::ids::Timestamp;

/// How long shares are in force without news of the node that shares the service.
const SHARES_VALID_FOR: Duration = Duration::from_secs(2);
/// Retry delay of a refused caller divided by the admitted part: a caller that gets one call in ten admitted
/// need not try more often than at this interval for each.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum mean retry delay.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(3);
/// Retry delays vary by this part of the mean in either direction: callers that are refused together would come
/// back together.
const RETRY_SPREAD: f64 = 0.5;
/// Fractional part of the golden ratio: its multiples modulo 1 are spread evenly, however many there are.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_894_8;
/// Change of an admitted part that is told to operators.
const NOTABLE_CHANGE: f64 = 0.25;

/// What becomes of an organisation's share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareStep {
    /// Its calls are thinned from now on.
    Begins,
    /// They are thinned much more or less than before.
    Changes,
    /// They are admitted again.
    Ends,
}

impl ShareStep {
    /// The name of the step in logs.
    pub fn label(self) -> &'static str {
        match self {
            ShareStep::Begins => "begins",
            ShareStep::Changes => "changes",
            ShareStep::Ends => "ends",
        }
    }
}

/// A change of an organisation's admitted part that operators should see.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareChange {
    /// The service.
    pub service: ServiceId,
    /// The organisation.
    pub organisation: OrganisationId,
    /// What has become of its share.
    pub step: ShareStep,
    /// The part of its calls that is admitted now; 1 if it is no longer thinned.
    pub admitted: f64,
}

/// The admission of an organisation's calls.
#[derive(Debug)]
struct Thinning {
    part: f64,
    /// The part that operators were told last.
    told: f64,
    /// Admitted calls that are saved up, 0 to 1.
    saved: f64,
    /// Position of the last retry delay in its range, 0 to 1.
    retry_position: f64,
}

impl Thinning {
    fn admit(&mut self) -> Result<(), Duration> {
        self.saved += self.part;
        if self.saved >= 1.0 {
            self.saved -= 1.0;
            return Ok(());
        }
        self.retry_position = (self.retry_position + GOLDEN_FRACTION).fract();
        let mean = RETRY_INTERVAL.as_secs_f64() / self.part.max(f64::EPSILON);
        let spread = 1.0 + RETRY_SPREAD * (2.0 * self.retry_position - 1.0);
        Err(Duration::from_secs_f64(mean.min(MAX_RETRY_DELAY.as_secs_f64()) * spread))
    }
}

/// The shares of one service in force.
#[derive(Debug)]
struct Shares {
    thinned: HashMap<OrganisationId, Thinning>,
    until: Timestamp,
}

/// The shares in force at a node.
#[derive(Debug)]
pub struct CallAdmission {
    services: HashMap<ServiceId, Shares>,
    /// What is saved up when an organisation's thinning begins, 0 to 1; it differs between nodes so that they
    /// don't admit and refuse at the same moments.
    phase: f64,
}

impl CallAdmission {
    /// Creates an admission that admits all calls.
    pub fn new(phase: f64) -> Self {
        CallAdmission { services: HashMap::new(), phase }
    }

    /// Admits a call, or returns the time after which its caller should retry.
    pub fn admit(&mut self, service: &str, organisation: &str, now: Timestamp) -> Result<(), Duration> {
        let shares = self.services.get_mut(service).filter(|shares| now < shares.until);
        let Some(thinning) = shares.and_then(|shares| shares.thinned.get_mut(organisation)) else {
            return Ok(());
        };
        thinning.admit()
    }

    /// Whether this node was told lately that a service is short.
    pub fn is_short(&self, service: &str, now: Timestamp) -> bool {
        self.services.get(service).is_some_and(|shares| now < shares.until)
    }

    /// Puts shares in force and returns the changes that operators should see.
    pub fn on_shares(&mut self, service: &ServiceId, shares: CallShares, now: Timestamp) -> Vec<ShareChange> {
        let mut before = self.services.remove(service).map_or_else(HashMap::new, |shares| shares.thinned);
        let mut changes = Vec::new();
        let mut change = |organisation: &OrganisationId, step, admitted| {
            let (service, organisation) = (service.clone(), organisation.clone());
            changes.push(ShareChange { service, organisation, step, admitted });
        };
        let mut thinned = HashMap::new();
        for (organisation, part) in shares.admitted {
            let known = before.remove(&organisation);
            let step = if known.is_some() { ShareStep::Changes } else { ShareStep::Begins };
            let mut thinning =
                known.unwrap_or(Thinning { part, told: part, saved: self.phase, retry_position: self.phase });
            thinning.part = part;
            if step == ShareStep::Begins || (part - thinning.told).abs() >= NOTABLE_CHANGE {
                thinning.told = part;
                change(&organisation, step, part);
            }
            thinned.insert(organisation, thinning);
        }
        before.keys().for_each(|organisation| change(organisation, ShareStep::Ends, 1.0));
        if shares.capacity.is_some() {
            self.services.insert(service.clone(), Shares { thinned, until: now + SHARES_VALID_FOR });
        }
        changes
    }

    /// Drops shares that are no longer valid and returns the changes that operators should see.
    pub fn expire(&mut self, now: Timestamp) -> Vec<ShareChange> {
        let is_expired = |shares: &Shares| shares.until <= now;
        let expired: Vec<ServiceId> = self
            .services
            .iter()
            .filter(|(_, shares)| is_expired(shares))
            .map(|(service, _)| service.clone())
            .collect();
        let changes = expired.iter().map(|service| self.on_shares(service, CallShares::default(), now));
        changes.collect::<Vec<_>>().concat()
    }
}
