//! Regions in which requests may be served.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HallId;

/// The name of a region, which is a set of halls, in the settings and the configuration.
pub type RegionId = Arc<str>;

/// The regions to which a route or an organisation restricts its requests.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AllowedRegions(Option<BTreeSet<RegionId>>);

impl AllowedRegions {
    /// No restriction.
    pub const ANY: AllowedRegions = AllowedRegions(None);

    /// Allows the given regions only.
    pub fn only(regions: impl IntoIterator<Item = RegionId>) -> Self {
        AllowedRegions(Some(regions.into_iter().collect()))
    }

    /// The regions that `self` and `other` both allow.
    pub fn intersection(&self, other: &AllowedRegions) -> AllowedRegions {
        match (&self.0, &other.0) {
            (Some(own), Some(other)) => AllowedRegions(Some(own.intersection(other).cloned().collect())),
            (own, other) => AllowedRegions(own.clone().or_else(|| other.clone())),
        }
    }

    /// Whether there is no restriction.
    pub fn is_any(&self) -> bool {
        self.0.is_none()
    }

    /// Whether a region is allowed. An unknown region (`None`) is allowed only if there is no restriction.
    pub fn allows(&self, region: Option<&RegionId>) -> bool {
        self.0.as_ref().is_none_or(|allowed| region.is_some_and(|region| allowed.contains(region)))
    }
}

/// The region of each hall.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HallRegions(BTreeMap<HallId, RegionId>);

impl HallRegions {
    /// Creates the map from the settings.
    pub fn new(regions: impl IntoIterator<Item = (HallId, RegionId)>) -> Self {
        HallRegions(regions.into_iter().collect())
    }

    /// Whether a hall is in an allowed region.
    pub fn allows(&self, allowed: &AllowedRegions, hall: &str) -> bool {
        allowed.is_any() || allowed.allows(self.0.get(hall))
    }
}
