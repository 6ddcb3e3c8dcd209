//! Distributions of prompt and output lengths for experiments.

use rand::Rng;
use rand::RngExt;
use serde::Deserialize;

/// The 99 % point of the standard normal distribution.
const Z_99TH_PERCENTILE: f64 = 2.326_347_9;

/// A distribution of token counts.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Lengths {
    /// Log-normal, given by two points in tokens.
    Lognormal {
        /// Half the draws are below.
        median: f64,
        /// 99 in 100 are below.
        p99: f64,
    },
    /// Pareto with the least value in tokens and the tail's exponent.
    Pareto {
        /// Least tokens.
        min: f64,
        /// Smaller is a heavier tail.
        alpha: f64,
    },
    /// Two lengths only.
    Bimodal {
        /// Tokens of the short kind.
        short: f64,
        /// Tokens of the long kind.
        long: f64,
        /// Part that is long, 0 to 1.
        long_share: f64,
    },
}

impl Lengths {
    /// Draws a length from 1 to `max` tokens.
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

/// A draw from the standard normal distribution, by Box and Muller.
pub fn standard_normal<R: Rng>(rng: &mut R) -> f64 {
    let u1: f64 = 1.0 - rng.random::<f64>();
    let u2: f64 = rng.random();
    (-2.0 * u1.ln()).sqrt() * (std::f64::consts::TAU * u2).cos()
}
