//! The chance that an engine's memory overflows: the memory that its generations
//! will hold at a few times ahead, as a mean and a variance.

use crate::survival::SurvivalCurve;

/// Steps ahead at which memory is projected.
pub const HORIZONS: [f64; 4] = [32.0, 128.0, 512.0, 2048.0];

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
}

impl Projection {
    /// The projection of a single generation.
    pub fn of(footprint: &Footprint, curve: &SurvivalCurve) -> Self {
        let mut projection = Projection { held: footprint.held(), ..Projection::default() };
        let now = curve.at_least(footprint.produced);
        for (at, &steps) in HORIZONS.iter().enumerate() {
            let later = footprint.produced + steps;
            let alive = if later < footprint.cap { (curve.at_least(later) / now).min(1.0) } else { 0.0 };
            let tokens = footprint.prompt + later;
            projection.mean[at] = alive * tokens;
            projection.variance[at] = alive * (1.0 - alive) * tokens * tokens;
        }
        projection
    }

    /// Adds another one.
    pub fn add(&mut self, other: &Projection) {
        self.held += other.held;
        for at in 0..HORIZONS.len() {
            self.mean[at] += other.mean[at];
            self.variance[at] += other.variance[at];
        }
    }

    /// How many standard deviations fit between the mean and `memory` tokens, at the
    /// worst horizon; larger is safer.
    pub fn headroom(&self, memory: f64) -> f64 {
        (0..HORIZONS.len()).map(|at| self.headroom_at(at, memory)).fold(f64::INFINITY, f64::min)
    }

    fn headroom_at(&self, at: usize, memory: f64) -> f64 {
        let deviation = self.variance[at].sqrt().max(1.0);
        (memory - self.mean[at]) / deviation
    }

    /// The headroom of this one and `other` together.
    pub fn headroom_with(&self, other: &Projection, memory: f64) -> f64 {
        let mut sum = *self;
        sum.add(other);
        sum.headroom(memory)
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
