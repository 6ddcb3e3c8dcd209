//! How far the longest gaps of streams exceed the usual time of a token: a histogram in which old
//! observations decay.

/// Ratio of the limits of a bucket.
const BUCKET_RATIO: f64 = 1.1;
/// Number of buckets; the last one begins at some 1,500 times the usual time of a token.
const BUCKETS: usize = 78;
/// Factor on the weight of all earlier observations with each new one: some 500 count, which a service
/// with a hundred streams shows within some seconds.
const DECAY: f64 = 0.998;
/// Weight below which an old observation is dropped: it changes no share, and ever smaller numbers are slow to
/// compute with.
const MIN_BUCKET_WEIGHT: f32 = 1e-6;
/// Weight of all observations below which nothing is said.
const MIN_WEIGHT: f64 = 20.0;

/// The distribution of longest gaps, in multiples of an engine's usual time of a token.
#[derive(Clone, Debug)]
pub struct GapSpread {
    weights: [f32; BUCKETS],
    total: f64,
}

impl Default for GapSpread {
    fn default() -> Self {
        GapSpread { weights: [0.0; BUCKETS], total: 0.0 }
    }
}

impl GapSpread {
    /// Adds an observation.
    pub fn observe(&mut self, ratio: f64) {
        for weight in &mut self.weights {
            *weight *= DECAY as f32;
            if *weight < MIN_BUCKET_WEIGHT {
                *weight = 0.0;
            }
        }
        self.total = self.total * DECAY + 1.0;
        self.weights[bucket(ratio) as usize] += 1.0;
    }

    /// Share of the observations above a ratio, 0 to 1; 0 while there are few.
    pub fn share_above(&self, ratio: f64) -> f64 {
        if self.total < MIN_WEIGHT {
            return 0.0;
        }
        let position = bucket(ratio);
        let at = position as usize;
        let above: f32 = self.weights[at + 1..].iter().sum();
        let within = f64::from(self.weights[at]) * (1.0 - position.fract());
        ((f64::from(above) + within) / self.total).min(1.0)
    }
}

/// The bucket of a ratio, and how far it is on the way to the next one.
fn bucket(ratio: f64) -> f64 {
    (ratio.max(1.0).ln() / BUCKET_RATIO.ln()).min((BUCKETS - 1) as f64)
}
