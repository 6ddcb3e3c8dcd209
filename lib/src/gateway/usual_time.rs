//! The time in which the replicas of a service usually answer plain calls.

use std::time::Duration;

/// Part of the answers that take at most the usual time. Routes of one service differ in how long their calls
/// take, so a mean would count the calls of a slow route as slow answers.
const USUAL_QUANTILE: f64 = 0.9;
/// Relative change of the estimate by one answer, divided between answers above and below it.
const STEP: f64 = 0.1;
/// Number of answers before the estimate is used.
const MIN_ANSWERS: u32 = 5;
/// Shortest time that is called usual: below it, the delays of the machine outweigh those of the replica.
const MIN_USUAL: Duration = Duration::from_millis(10);
/// An answer that takes this many times the usual time is slow.
const SLOW_FACTOR: f64 = 2.5;

/// Estimate of a quantile of the response times of a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsualTime {
    seconds: f64,
    answers: u32,
}

impl UsualTime {
    /// Adds the time that an answer took.
    pub fn observe(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.answers = self.answers.saturating_add(1);
        self.seconds = if self.answers <= MIN_ANSWERS {
            self.seconds.max(took)
        } else if took > self.seconds {
            self.seconds * (1.0 + STEP * USUAL_QUANTILE)
        } else {
            self.seconds * (1.0 - STEP * (1.0 - USUAL_QUANTILE))
        };
    }

    /// The estimate; of few answers, the longest time.
    pub fn time(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    /// How many times longer than usual an answer took; `None` if it is not slow, or if too few answers were
    /// observed to tell.
    pub fn slowdown(&self, took: Duration) -> Option<f64> {
        let usual = self.seconds.max(MIN_USUAL.as_secs_f64());
        let slowdown = took.as_secs_f64() / usual;
        (self.answers >= MIN_ANSWERS && slowdown > SLOW_FACTOR).then_some(slowdown)
    }
}
