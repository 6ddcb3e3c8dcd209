//! The chance that an engine's memory overflows: the memory that its generations
//! will hold at a few times ahead, as a mean and a variance.

use crate::survival::SurvivalCurve;

/// Steps ahead at which memory is projected.
pub const HORIZONS: [f64; 16] = [
    16.0, 48.0, 96.0, 160.0, 256.0, 384.0, 512.0, 672.0, 832.0, 1024.0, 1280.0, 1536.0, 1920.0, 2304.0,
    2816.0, 3584.0,
];

/// Steps ahead at which the accepted chance of an overflow is the bundle's.
pub const CHANCE_STEPS: f64 = 1_024.0;

/// Standard deviations of room to leave at each of [`HORIZONS`].
///
/// Under load an engine is always filled up to its bound, so a chance that is accepted
/// at a near horizon is taken anew very often, while at a far one much will have
/// changed. The accepted chance therefore grows with the cube of the horizon, and is
/// `chance` at [`CHANCE_STEPS`]; docs/design/placement.md has the figures.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Margins {
    deviations: [f64; HORIZONS.len()],
}

impl Margins {
    /// Margins for an accepted chance of an overflow at [`CHANCE_STEPS`], 0 to 1.
    pub fn new(chance: f64) -> Self {
        Margins { deviations: HORIZONS.map(|steps| deviations_for(chance * (steps / CHANCE_STEPS).powi(3))) }
    }
}

/// What a generation adds to an engine's memory.
#[derive(Clone, Copy, Debug)]
pub struct Footprint {
    /// Tokens of the prompt.
    pub prompt: f64,
    /// Tokens produced so far.
    pub produced: f64,
    /// Tokens it may produce at most.
    pub cap: f64,
}

impl Footprint {
    /// Tokens held now.
    pub fn held(&self) -> f64 {
        self.prompt + self.produced
    }
}

/// Projected memory in tokens at each of [`HORIZONS`].
#[derive(Clone, Copy, Debug, Default)]
pub struct Projection {
    /// Tokens held now.
    pub held: f64,
    mean: [f64; HORIZONS.len()],
    variance: [f64; HORIZONS.len()],
    most: [f64; HORIZONS.len()],
}

impl Projection {
    /// The projection of a single generation.
    pub fn of(footprint: &Footprint, curve: &SurvivalCurve) -> Self {
        let mut projection = Projection { held: footprint.held(), ..Projection::default() };
        let now = curve.at_least(footprint.produced);
        for (at, &steps) in HORIZONS.iter().enumerate() {
            let later = footprint.produced + steps;
            if later >= footprint.cap {
                break;
            }
            let alive = (curve.at_least(later) / now).min(1.0);
            let tokens = footprint.prompt + later;
            projection.mean[at] = alive * tokens;
            projection.variance[at] = alive * (1.0 - alive) * tokens * tokens;
            projection.most[at] = tokens;
        }
        projection
    }

    /// Adds another one.
    pub fn add(&mut self, other: &Projection) {
        self.held += other.held;
        for at in 0..HORIZONS.len() {
            self.mean[at] += other.mean[at];
            self.variance[at] += other.variance[at];
            self.most[at] += other.most[at];
        }
    }

    /// Takes one that was added out again.
    pub fn subtract(&mut self, other: &Projection) {
        self.held -= other.held;
        for at in 0..HORIZONS.len() {
            self.mean[at] -= other.mean[at];
            self.variance[at] = (self.variance[at] - other.variance[at]).max(0.0);
            self.most[at] -= other.most[at];
        }
    }

    /// Tokens that the memory stays below at the worst horizon, but for the accepted
    /// chance: the mean with the margin's deviations, yet never more than if nothing
    /// ended before its cap.
    pub fn bound(&self, margins: &Margins) -> f64 {
        let at_horizon = |at: usize| {
            let margin = margins.deviations[at] * self.variance[at].sqrt();
            (self.mean[at] + margin).min(self.most[at])
        };
        (0..HORIZONS.len()).map(at_horizon).fold(self.held, f64::max)
    }

    /// [`Projection::bound`] of this one and `other` together.
    pub fn bound_with(&self, other: &Projection, margins: &Margins) -> f64 {
        let mut sum = *self;
        sum.add(other);
        sum.bound(margins)
    }
}

/// Standard deviations that a normal variable exceeds with `chance`, by the
/// rational approximation of Abramowitz and Stegun, 26.2.23 (error under 0.0005).
pub fn deviations_for(chance: f64) -> f64 {
    let chance = chance.clamp(1e-9, 0.5);
    let t = (-2.0 * chance.ln()).sqrt();
    let above = 2.515517 + 0.802853 * t + 0.010328 * t * t;
    let below = 1.0 + 1.432788 * t + 0.189269 * t * t + 0.001308 * t * t * t;
    t - above / below
}
