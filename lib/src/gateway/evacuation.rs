//! In which order generations leave an engine that is about to end.
//!
//! An engine copies one generation after the other, some 200 ms each, and ends some 1.5 s
//! after its notice: not all may get away. The generations belong to callers of many nodes.
//! Instead of agreeing on an order, each starts after a delay that only depends on itself,
//! the same function at every node: what is worth most starts first.

use std::time::Duration;

use crate::gateway::load::GenerationSize;

/// Tokens that a generation makes in a second: an event of 4 in some 35 ms.
const TOKENS_PER_SECOND: f64 = 115.0;
/// A generation that should end within this is left alone at first.
const ENDS_SOON: Duration = Duration::from_millis(800);
/// How long one that should end soon is given.
const SOON_DELAY: Duration = Duration::from_millis(600);
/// The delay of one that is worth nothing; wide enough that the ways of orders to other
/// nodes, about 1 ms, matter little, and short against a copy.
const LONGEST_DELAY: Duration = Duration::from_millis(30);
/// Tokens from which on a generation starts without delay: prompt and ten times the output,
/// which is how the users weigh a generation; some 2,200 tokens are the most out.
const MOST_WORTH: f64 = 25_000.0;

/// How long after its engine's notice a generation's move starts.
pub fn start_delay(size: GenerationSize, produced: u32) -> Duration {
    let remaining = f64::from(size.expected.saturating_sub(produced)) / TOKENS_PER_SECOND;
    if remaining < ENDS_SOON.as_secs_f64() && produced > 0 && size.expected > produced {
        return SOON_DELAY;
    }
    let worth = f64::from(size.prompt) + 10.0 * f64::from(size.expected.max(produced));
    LONGEST_DELAY.mul_f64(1.0 - (worth / MOST_WORTH).min(1.0))
}
