//! In which order generations leave an engine that is about to end.
//!
//! An engine copies one generation after the other, some 200 ms each, and ends some 1.5 s
//! after its notice: not all may get away. The generations belong to callers of many nodes.
//! The lead lets a few copies from one engine start at a time, the worth-most first: what
//! queues at the engine would be old when its turn comes. Each also starts after a short
//! delay that only depends on itself, so that the first are well chosen too, and the order
//! is much the same while no lead answers.

use std::time::Duration;

use crate::gateway::load::GenerationSize;

/// A generation that should end within this is left alone at first.
const NEAR_END: Duration = Duration::from_millis(800);
/// How long one that should end soon is given.
const NEAR_END_DELAY: Duration = Duration::from_millis(600);
/// The delay of one that is worth nothing; wide enough that the ways of orders to other
/// nodes, about 1 ms, matter little, and short against a copy.
const MAX_START_DELAY: Duration = Duration::from_millis(30);
/// Tokens from which on a generation starts without delay: prompt and ten times the output,
/// which is how the users weigh a generation; some 2,200 tokens are the most out.
const MAX_WORTH_TOKENS: f64 = 25_000.0;

/// Copies that may be under way from one engine: one that runs and one that follows it
/// without a pause.
pub const COPIES_AT_ONCE: usize = 2;
/// How long a generation may wait for its copy to start: engines serve on for some seconds
/// at most after their notice.
pub const COPY_PATIENCE: Duration = Duration::from_secs(2);
/// Ranks of generations that wait for their copy.
const RANKS: f64 = 100.0;

/// The rank of a generation that waits for its copy; 0 goes first.
pub fn rank(size: GenerationSize, produced: u32) -> u8 {
    (RANKS * (1.0 - worth(size, produced))) as u8
}

/// What a generation is worth, 0 to 1.
fn worth(size: GenerationSize, produced: u32) -> f64 {
    let tokens = f64::from(size.prompt) + 10.0 * f64::from(size.expected.max(produced));
    (tokens / MAX_WORTH_TOKENS).min(1.0)
}

/// How long after its engine's notice a generation's move starts.
pub fn start_delay(size: GenerationSize, produced: u32, tokens_per_second: f64) -> Duration {
    let remaining = f64::from(size.expected.saturating_sub(produced)) / tokens_per_second;
    if remaining < NEAR_END.as_secs_f64() && produced > 0 && size.expected > produced {
        return NEAR_END_DELAY;
    }
    MAX_START_DELAY.mul_f64(1.0 - worth(size, produced))
}
