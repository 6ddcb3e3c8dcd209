//! Quantities that are learned from what is seen, beginning with a guess.

/// One odd observation counts as at most this many times the value, or this part of it: an engine
/// that pauses once is not taken for one that is a hundred times slower.
const MAX_CHANGE_FACTOR: f64 = 4.0;

/// A positive quantity, learned as a geometric mean in which old observations fade.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    value: f64,
    observations: u32,
    newest_weight: f64,
}

impl Estimate {
    /// Begins with a guess that counts as one observation. `newest_weight` is the weight of the
    /// newest observation once there are many: its inverse is about the number that count.
    pub fn new(guess: f64, newest_weight: f64) -> Self {
        Estimate { value: guess, observations: 1, newest_weight }
    }

    /// Begins with what was learned of others like it; observations count at once.
    pub fn from_prior(other: &Estimate, newest_weight: f64) -> Self {
        Estimate { value: other.value, observations: u32::MAX, newest_weight }
    }

    /// Takes an observation in; what is not above zero is no observation.
    pub fn observe(&mut self, observed: f64) {
        if !(observed > 0.0 && observed.is_finite()) {
            return;
        }
        self.observations = self.observations.saturating_add(1);
        let weight = self.newest_weight.max(1.0 / f64::from(self.observations));
        let factor = (observed / self.value).clamp(1.0 / MAX_CHANGE_FACTOR, MAX_CHANGE_FACTOR);
        self.value *= factor.powf(weight);
    }

    /// The quantity as far as it is known.
    pub fn value(&self) -> f64 {
        self.value
    }
}
