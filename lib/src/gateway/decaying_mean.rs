//! Quantities that are estimated from observations, starting from an initial guess.

/// Largest factor by which one observation may differ from the current value; outliers are clamped to
/// it. An engine that pauses once is not considered a hundred times slower.
const MAX_CHANGE_FACTOR: f64 = 4.0;

/// Estimate of a positive quantity: a geometric mean in which the weight of old observations decays.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DecayingMean {
    value: f64,
    observations: u32,
    newest_weight: f64,
}

impl DecayingMean {
    /// Starts from a guess that counts as one observation. `newest_weight` is the weight of the newest
    /// observation once there are many; its inverse is about the number of observations that count.
    pub fn new(guess: f64, newest_weight: f64) -> Self {
        DecayingMean { value: guess, observations: 1, newest_weight }
    }

    /// Starts from a guess that the first observation replaces.
    pub fn unknown(guess: f64, newest_weight: f64) -> Self {
        DecayingMean { value: guess, observations: 0, newest_weight }
    }

    /// Starts from the estimate of a similar quantity. New observations have their final weight at
    /// once.
    pub fn from_prior(other: &DecayingMean, newest_weight: f64) -> Self {
        DecayingMean { value: other.value, observations: u32::MAX, newest_weight }
    }

    /// Adds an observation. Values that are not positive and finite are ignored.
    pub fn observe(&mut self, observed: f64) {
        if !(observed > 0.0 && observed.is_finite()) {
            return;
        }
        self.observations = self.observations.saturating_add(1);
        let weight = self.newest_weight.max(1.0 / f64::from(self.observations));
        let factor = (observed / self.value).clamp(1.0 / MAX_CHANGE_FACTOR, MAX_CHANGE_FACTOR);
        self.value *= factor.powf(weight);
    }

    /// The current estimate.
    pub fn value(&self) -> f64 {
        self.value
    }
}
