//! Label values of metrics for the organisations with the most requests. The others share one value, so that
//! the number of time series is bounded whatever the configuration holds.

use std::collections::HashMap;
use std::collections::HashSet;

use crate::ids::OrganisationId;

/// Maximum number of organisations with a label value of their own.
const MAX_LABELS: usize = 16;
/// An organisation gets a label value of its own once it has made one of this many requests.
const MIN_SHARE_DIVISOR: u64 = 50;
/// Number of an organisation's own requests before which its share says too little.
const MIN_REQUESTS: u64 = 100;

/// The label value of all organisations without one of their own.
pub const OTHER_ORGANISATIONS: &str = "other";

/// Assigns label values to organisations.
#[derive(Debug, Default)]
pub struct OrganisationLabels {
    total: u64,
    counts: HashMap<OrganisationId, u64>,
    labelled: HashSet<OrganisationId>,
}

impl OrganisationLabels {
    /// Counts a request of an organisation and returns the label value under which it is recorded. Once an
    /// organisation has a value of its own, it keeps it.
    pub fn on_request<'a>(&mut self, organisation: &'a OrganisationId) -> &'a str {
        self.total += 1;
        if self.labelled.contains(organisation) {
            return organisation;
        }
        let count = self.counts.entry(organisation.clone()).or_default();
        *count += 1;
        let is_large = *count * MIN_SHARE_DIVISOR >= self.total && *count >= MIN_REQUESTS;
        if !is_large || self.labelled.len() >= MAX_LABELS {
            return OTHER_ORGANISATIONS;
        }
        self.labelled.insert(organisation.clone());
        self.counts.remove(organisation);
        organisation
    }
}
