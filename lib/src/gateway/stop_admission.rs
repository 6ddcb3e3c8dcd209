//! Which plain calls a node still accepts in a planned stop.

use std::time::Duration;

use crate::gateway::answer_times::CallTimes;

/// A call is expected to take this long at least: replicas are slower at times than all that was seen of them.
const MIN_CALL_TIME: Duration = Duration::from_secs(2);
/// Factor by which a call may take longer than usual.
const USUAL_TIME_MARGIN: f64 = 1.5;
/// Factor by which a call may take longer than the longest that was seen lately.
const LONGEST_TIME_MARGIN: f64 = 1.25;

/// What a stopping node knows about its stop.
#[derive(Clone, Copy, Debug)]
pub struct StopState {
    /// Time in which requests must be answered.
    pub left: Duration,
    /// Whether the balancer has detected the stop, so that few callers still connect to the node.
    pub is_detected: bool,
    /// Whether the callers that the node refuses reach another node.
    pub has_neighbour: bool,
}

/// What a node knows about the duration of a plain call.
#[derive(Clone, Copy, Debug)]
pub struct CallEstimate {
    /// Time until the deadline of the call, at which it is answered in any case.
    pub time_left: Duration,
    /// Latency within which answers of its route have their full worth.
    pub objective: Duration,
    /// How long the calls of its route took lately; `None` if none was seen.
    pub times: Option<CallTimes>,
}

impl CallEstimate {
    /// The time that the call may take at a node that is stopping.
    ///
    /// Callers that no other node serves, and those that still connect to the node in full number, are judged by
    /// the usual duration of calls, as refusing each call that might be slow would turn many of them away. All
    /// others are judged by the longest one.
    pub fn expected_time(&self, stop: &StopState) -> Duration {
        let is_served_elsewhere = stop.is_detected && stop.has_neighbour;
        let expected = match self.times {
            None if is_served_elsewhere => self.time_left,
            None => self.objective,
            Some(times) => {
                let longest = times.longest().mul_f64(LONGEST_TIME_MARGIN);
                if is_served_elsewhere {
                    longest
                } else {
                    times.usual().mul_f64(USUAL_TIME_MARGIN).min(longest)
                }
            }
        };
        expected.max(MIN_CALL_TIME).min(self.time_left)
    }

    /// Whether the call can be expected to be answered before the node ends.
    pub fn is_accepted(&self, stop: &StopState) -> bool {
        self.expected_time(stop) <= stop.left
    }

    /// How long the call may wait for room at a replica and can still be expected to be answered.
    pub fn max_wait(&self, stop: &StopState) -> Duration {
        stop.left.saturating_sub(self.expected_time(stop))
    }
}
