//! Aliases for the ids that travel through the system.

use std::sync::Arc;
use std::time::Duration;

/// A VM, as the platform's VM list names it.
pub type VmId = Arc<str>;
/// A hall, as the settings and the VM list name it.
pub type HallId = Arc<str>;
/// An organisation, as the bundle names it.
pub type OrganisationId = Arc<str>;
/// An upstream (a model engine or a plain service's replica): its VM's id.
pub type UpstreamId = Arc<str>;
/// A model, as the bundle names it.
pub type ModelId = Arc<str>;
/// A generation; random, given by the entry that places it.
pub type GenerationId = u64;
/// A bundle's number; a higher one replaces a lower one.
pub type BundleNumber = u64;
/// Time since a start that the driver chooses; only differences count.
pub type Timestamp = Duration;
/// Time of day, milliseconds since the Unix epoch: near the truth, and not the same at all nodes.
pub type UnixMillis = u64;
