//! The order in which generations leave an engine that is about to end.
//!
//! An engine copies one generation after another, some 200 ms each, and ends some 1.5 s after its
//! notice, so not all generations may get away. They belong to callers of many nodes. The lead lets a
//! few copies from one engine start at a time, in descending order of worth: a copy that queued at the
//! engine would be out of date when its turn comes. Each copy also starts after a short delay that
//! depends only on the generation itself. So the first copies are well chosen too, and the order is
//! about the same while no lead answers.

use std::time::Duration;

use crate::gateway::load::GenerationSize;

/// A generation that is expected to end within this time is not moved at first.
const NEAR_END: Duration = Duration::from_millis(800);
/// Time after which such a generation is moved if it still runs.
const NEAR_END_DELAY: Duration = Duration::from_millis(600);
/// Start delay of a generation that is worth nothing. It is wide enough for the latency of orders to
/// other nodes, about 1 ms, to matter little, and short compared with a copy.
const MAX_START_DELAY: Duration = Duration::from_millis(30);
/// Worth in tokens from which on a generation starts without delay: its prompt plus ten times its
/// output, which is how users weigh a generation. Outputs have some 2,200 tokens at most.
const MAX_WORTH_TOKENS: f64 = 25_000.0;

/// Number of copies that may be under way from one engine: one that runs, and one that follows it
/// without a gap.
pub const MAX_CONCURRENT_COPIES: usize = 2;
/// Maximum time that a generation waits for its copy to start. Engines keep serving for some seconds at
/// most after their notice.
pub const COPY_START_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of ranks for generations that wait for their copy.
const RANKS: f64 = 100.0;

/// Rank of a generation that waits for its copy; 0 goes first.
pub fn rank(size: GenerationSize, produced: u32) -> u8 {
    (RANKS * (1.0 - worth(size, produced))) as u8
}

/// Worth of a generation, from 0 to 1.
fn worth(size: GenerationSize, produced: u32) -> f64 {
    let tokens = f64::from(size.prompt) + 10.0 * f64::from(size.expected.max(produced));
    (tokens / MAX_WORTH_TOKENS).min(1.0)
}

/// Time from the notice of the engine to the start of a generation's move.
pub fn start_delay(size: GenerationSize, produced: u32, tokens_per_second: f64) -> Duration {
    let remaining = f64::from(size.expected.saturating_sub(produced)) / tokens_per_second;
    if remaining < NEAR_END.as_secs_f64() && produced > 0 && size.expected > produced {
        return NEAR_END_DELAY;
    }
    MAX_START_DELAY.mul_f64(1.0 - worth(size, produced))
}
