//! Survival curves of output lengths, learned from ended and censored generations.
//!
//! Lengths are counted in buckets that are evenly spaced on a logarithmic scale. A curve is the Kaplan-Meier
//! estimate over these buckets (Kaplan and Meier, 1958).

/// Number of buckets for each doubling of the length.
const BUCKETS_PER_OCTAVE: f64 = 8.0;
/// Number of buckets, for lengths up to 2^17 tokens.
pub const BUCKETS: usize = 137;
/// Total weight of the observations at which all counts are halved, so that old ones lose influence.
const HALVING_WEIGHT: f32 = 4_000.0;

/// Lower edge of a bucket in tokens.
fn lower_edge(bucket: usize) -> f64 {
    (bucket as f64 / BUCKETS_PER_OCTAVE).exp2() - 1.0
}

/// The bucket of a length and the position of the length within the bucket, from 0 to 1.
fn bucket_position(tokens: f64) -> (usize, f64) {
    let at = fast_log2(tokens.max(0.0) + 1.0) * BUCKETS_PER_OCTAVE;
    let bucket = (at as usize).min(BUCKETS - 1);
    (bucket, (at - bucket as f64).clamp(0.0, 1.0))
}

/// Logarithm to base 2 of a normal number of at least 1, monotonic and accurate to within 0.0002. It combines
/// the bits of the exponent with a polynomial in the fraction. A projection computes 17 logarithms for each
/// generation, and the exact function took most of the time of a decision.
fn fast_log2(value: f64) -> f64 {
    const FRACTION: u64 = (1 << 52) - 1;
    let bits = value.to_bits();
    let exponent = (bits >> 52) as i64 - 1_023;
    let m = f64::from_bits((bits & FRACTION) | (1_023 << 52));
    let ln = -1.741_793_9 + (2.821_202_6 + (-1.469_956_8 + (0.447_179_55 - 0.056_570_851 * m) * m) * m) * m;
    exponent as f64 + ln * std::f64::consts::LOG2_E
}

/// Weighted counts of the lengths of generations that ended by themselves and of censored ones.
#[derive(Clone, Debug)]
pub struct LengthCounts {
    ended: [f32; BUCKETS],
    censored: [f32; BUCKETS],
    total: f32,
}

impl Default for LengthCounts {
    fn default() -> Self {
        LengthCounts { ended: [0.0; BUCKETS], censored: [0.0; BUCKETS], total: 0.0 }
    }
}

impl LengthCounts {
    /// The counts to assume without data: generations end in each doubling of the length up to 2^15 tokens
    /// equally often. They weigh as much as eight generations.
    pub fn prior() -> Self {
        let mut counts = LengthCounts::default();
        let octaves = 15;
        let last = octaves * BUCKETS_PER_OCTAVE as usize;
        let per_bucket = 8.0 / last as f32;
        counts.ended[..last].fill(per_bucket);
        counts.total = 8.0;
        counts
    }

    /// Adds a generation that ended by itself after `tokens`.
    pub fn add_ended(&mut self, tokens: u32) {
        self.ended[bucket_position(f64::from(tokens)).0] += 1.0;
        self.add_weight();
    }

    /// Adds a generation that was cut off after `tokens`, so that its length is at least `tokens`.
    pub fn add_censored(&mut self, tokens: u32) {
        self.censored[bucket_position(f64::from(tokens)).0] += 1.0;
        self.add_weight();
    }

    fn add_weight(&mut self) {
        self.total += 1.0;
        if self.total > HALVING_WEIGHT {
            self.ended.iter_mut().chain(&mut self.censored).for_each(|c| *c *= 0.5);
            self.total *= 0.5;
        }
    }

    /// The total weight of the observations.
    pub fn total(&self) -> f32 {
        self.total
    }

    /// The sum of these counts and those of `parent`, which are scaled down to a weight of `weight` at most.
    pub fn blended(&self, parent: &LengthCounts, weight: f32) -> LengthCounts {
        let scale = weight / parent.total.max(weight);
        let mut sum = self.clone();
        let add = |to: &mut [f32; BUCKETS], from: &[f32; BUCKETS]| {
            to.iter_mut().zip(from).for_each(|(to, from)| *to += from * scale);
        };
        add(&mut sum.ended, &parent.ended);
        add(&mut sum.censored, &parent.censored);
        sum.total += parent.total * scale;
        sum
    }

    /// The survival curve of these counts.
    pub fn curve(&self) -> SurvivalCurve {
        let mut alive = [0.0_f32; BUCKETS + 1];
        let mut at_risk: f32 = self.ended.iter().sum::<f32>() + self.censored.iter().sum::<f32>();
        alive[0] = 1.0;
        for bucket in 0..BUCKETS {
            let exposed = at_risk - self.censored[bucket] * 0.5;
            let hazard = if exposed > 0.0 { (self.ended[bucket] / exposed).min(1.0) } else { 0.0 };
            alive[bucket + 1] = (alive[bucket] * (1.0 - hazard)).max(SurvivalCurve::MIN_PROBABILITY);
            at_risk -= self.ended[bucket] + self.censored[bucket];
        }
        SurvivalCurve::new(alive)
    }
}

/// The probability that an output reaches a length, for each length in tokens.
#[derive(Clone, Debug)]
pub struct SurvivalCurve {
    alive: [f32; BUCKETS + 1],
    mean: f64,
}

impl SurvivalCurve {
    /// Lower bound of the probabilities, which keeps conditional probabilities defined.
    const MIN_PROBABILITY: f32 = 1e-6;

    /// The curve of outputs that end only at their cap.
    pub fn never_ending() -> Self {
        SurvivalCurve::new([1.0; BUCKETS + 1])
    }

    fn new(alive: [f32; BUCKETS + 1]) -> Self {
        let between =
            |b: usize| f64::from(alive[b] + alive[b + 1]) * 0.5 * (lower_edge(b + 1) - lower_edge(b));
        let mean = (0..BUCKETS).map(between).sum();
        SurvivalCurve { alive, mean }
    }

    /// The mean output length, or `cap` if that is lower.
    pub fn mean(&self, cap: f64) -> f64 {
        self.mean.min(cap)
    }

    /// The probability that an output has at least `tokens` tokens.
    pub fn at_least(&self, tokens: f64) -> f64 {
        let (bucket, fraction) = bucket_position(tokens);
        let (from, to) = (f64::from(self.alive[bucket]), f64::from(self.alive[bucket + 1]));
        from + (to - from) * fraction
    }
}
