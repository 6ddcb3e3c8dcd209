//! Type aliases for the ids and times that are used across the system.

use std::sync::Arc;
use std::time::Duration;

/// A VM's id in the platform's VM list.
pub type VmId = Arc<str>;
/// A hall's id in the settings and in the VM list.
pub type HallId = Arc<str>;
/// An organisation's id in the bundle.
pub type OrganisationId = Arc<str>;
/// The id of an upstream (a model engine or a replica of a plain service): the id of its VM.
pub type UpstreamId = Arc<str>;
/// A model's id in the bundle.
pub type ModelId = Arc<str>;
/// A generation's id: a random number that is chosen by the entry node that places the generation.
pub type GenerationId = u64;
/// A bundle's number. A bundle with a higher number replaces one with a lower number.
pub type BundleNumber = u64;
/// Time since an origin that the driver chooses; only differences are meaningful.
pub type Timestamp = Duration;
/// Wall-clock time in milliseconds since the Unix epoch. Clocks are only approximately right and differ
/// between nodes.
pub type UnixMillis = u64;
