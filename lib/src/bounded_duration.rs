//! Durations of foreign messages, clamped to a bound within which no sum with the current time overflows. For
//! serde's `deserialize_with`; the encoding is that of a plain [`Duration`].

use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;

/// Upper bound: longer than any process runs.
pub const MAX_DURATION: Duration = Duration::from_secs(30 * 24 * 3_600);

/// Decodes a duration.
pub fn required<'de, D: Deserializer<'de>>(duration: D) -> Result<Duration, D::Error> {
    Ok(Duration::deserialize(duration)?.min(MAX_DURATION))
}

/// Decodes a duration that may be absent.
pub fn optional<'de, D: Deserializer<'de>>(duration: D) -> Result<Option<Duration>, D::Error> {
    Ok(Option::<Duration>::deserialize(duration)?.map(|duration| duration.min(MAX_DURATION)))
}
