//! Distributions of prompt and output lengths for experiments.

use rand::Rng;
use rand::RngExt;
use serde::Deserialize;

/// The 99th percentile of the standard normal distribution.
const Z_99TH_PERCENTILE: f64 = 2.326_347_9;

/// A distribution of token counts.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Lengths {
    /// Log-normal, given by two percentiles in tokens.
    Lognormal {
        /// The 50th percentile.
        median: f64,
        /// The 99th percentile.
        p99: f64,
    },
    /// Pareto, given by its minimum in tokens and its shape.
    Pareto {
        /// Minimum number of tokens.
        min: f64,
        /// Tail exponent; smaller values give a heavier tail.
        alpha: f64,
    },
    /// Two fixed lengths.
    Bimodal {
        /// The short length in tokens.
        short: f64,
        /// The long length in tokens.
        long: f64,
        /// Probability of the long length, from 0 to 1.
        long_share: f64,
    },
}

impl Lengths {
    /// Samples a length, clamped to 1 to `max` tokens.
    pub fn draw<R: Rng>(&self, rng: &mut R, max: u64) -> u64 {
        let tokens = match *self {
            Lengths::Lognormal { median, p99 } => {
                let sigma = (p99 / median).ln() / Z_99TH_PERCENTILE;
                median * (sigma * standard_normal(rng)).exp()
            }
            Lengths::Pareto { min, alpha } => {
                let u: f64 = 1.0 - rng.random::<f64>();
                min * u.powf(-1.0 / alpha)
            }
            Lengths::Bimodal { short, long, long_share } => {
                if rng.random::<f64>() < long_share {
                    long
                } else {
                    short
                }
            }
        };
        (tokens.round() as u64).clamp(1, max)
    }
}

/// Samples the standard normal distribution with the Box-Muller transform.
pub fn standard_normal<R: Rng>(rng: &mut R) -> f64 {
    let u1: f64 = 1.0 - rng.random::<f64>();
    let u2: f64 = rng.random();
    (-2.0 * u1.ln()).sqrt() * (std::f64::consts::TAU * u2).cos()
}
