//! Bounds the probability that an engine's memory overflows. The memory that its generations will hold is
//! projected to several horizons as a mean and a variance.

use crate::survival::SurvivalCurve;

/// Horizons, in steps ahead, at which memory is projected.
pub const HORIZON_STEPS: [f64; 16] = [
    16.0, 48.0, 96.0, 160.0, 256.0, 384.0, 512.0, 672.0, 832.0, 1024.0, 1280.0, 1536.0, 1920.0, 2304.0,
    2816.0, 3584.0,
];

/// Horizon at which the accepted probability of an overflow is the one that the bundle sets.
pub const REFERENCE_HORIZON_STEPS: f64 = 1_024.0;

/// Standard deviations of memory to keep free at each of [`HORIZON_STEPS`].
///
/// Under load an engine is always filled up to its bound. The risk that is accepted at a near horizon is thus
/// taken again very often, while the load will have changed much before a far horizon. The accepted
/// probability therefore grows with the cube of the horizon and equals `chance` at
/// [`REFERENCE_HORIZON_STEPS`]; see docs/design/placement.md for the figures.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Margins {
    deviations: [f64; HORIZON_STEPS.len()],
}

impl Margins {
    /// Computes the margins for an accepted probability (0 to 1) of an overflow at
    /// [`REFERENCE_HORIZON_STEPS`].
    pub fn new(chance: f64) -> Self {
        Margins {
            deviations: HORIZON_STEPS
                .map(|steps| deviations_for(chance * (steps / REFERENCE_HORIZON_STEPS).powi(3))),
        }
    }
}

/// The tokens that a generation holds in an engine's memory, and its maximum output.
#[derive(Clone, Copy, Debug)]
pub struct Footprint {
    /// Prompt tokens.
    pub prompt: f64,
    /// Output tokens produced so far.
    pub produced: f64,
    /// Maximum number of output tokens.
    pub cap: f64,
}

impl Footprint {
    /// Returns the tokens currently held in memory.
    pub fn held(&self) -> f64 {
        self.prompt + self.produced
    }
}

/// Projected memory in tokens at each of [`HORIZON_STEPS`].
#[derive(Clone, Copy, Debug, Default)]
pub struct Projection {
    /// Tokens currently held in memory.
    pub held: f64,
    mean: [f64; HORIZON_STEPS.len()],
    variance: [f64; HORIZON_STEPS.len()],
    upper_limit: [f64; HORIZON_STEPS.len()],
}

impl Projection {
    /// Computes the projection of a single generation.
    pub fn of(footprint: &Footprint, curve: &SurvivalCurve) -> Self {
        let mut projection = Projection { held: footprint.held(), ..Projection::default() };
        let survival_now = curve.at_least(footprint.produced);
        for (horizon, &steps) in HORIZON_STEPS.iter().enumerate() {
            let produced_then = footprint.produced + steps;
            if produced_then >= footprint.cap {
                break;
            }
            let survival = (curve.at_least(produced_then) / survival_now).min(1.0);
            let tokens = footprint.prompt + produced_then;
            projection.mean[horizon] = survival * tokens;
            projection.variance[horizon] = survival * (1.0 - survival) * tokens * tokens;
            projection.upper_limit[horizon] = tokens;
        }
        projection
    }

    /// Adds the projection of another generation.
    pub fn add(&mut self, other: &Projection) {
        self.held += other.held;
        for horizon in 0..HORIZON_STEPS.len() {
            self.mean[horizon] += other.mean[horizon];
            self.variance[horizon] += other.variance[horizon];
            self.upper_limit[horizon] += other.upper_limit[horizon];
        }
    }

    /// Subtracts a projection that was added before.
    pub fn subtract(&mut self, other: &Projection) {
        self.held -= other.held;
        for horizon in 0..HORIZON_STEPS.len() {
            self.mean[horizon] -= other.mean[horizon];
            self.variance[horizon] = (self.variance[horizon] - other.variance[horizon]).max(0.0);
            self.upper_limit[horizon] -= other.upper_limit[horizon];
        }
    }

    /// Returns the tokens that memory use does not exceed at the worst horizon, except with the accepted
    /// probability. This is the mean plus the margin's standard deviations, limited to the tokens held if no
    /// generation ended before its cap.
    pub fn bound(&self, margins: &Margins) -> f64 {
        let at_horizon = |horizon: usize| {
            let margin = margins.deviations[horizon] * self.variance[horizon].sqrt();
            (self.mean[horizon] + margin).min(self.upper_limit[horizon])
        };
        (0..HORIZON_STEPS.len()).map(at_horizon).fold(self.held, f64::max)
    }

    /// Returns the [`Projection::bound`] of the sum of this projection and `other`.
    pub fn bound_with(&self, other: &Projection, margins: &Margins) -> f64 {
        let mut sum = *self;
        sum.add(other);
        sum.bound(margins)
    }
}

/// Returns the number of standard deviations that a normal variable exceeds with probability `chance`, by the
/// rational approximation 26.2.23 of Abramowitz and Stegun (error below 0.0005).
pub fn deviations_for(chance: f64) -> f64 {
    let chance = chance.clamp(1e-9, 0.5);
    let t = (-2.0 * chance.ln()).sqrt();
    let numerator = 2.515517 + 0.802853 * t + 0.010328 * t * t;
    let denominator = 1.0 + 1.432788 * t + 0.189269 * t * t + 0.001308 * t * t * t;
    t - numerator / denominator
}
