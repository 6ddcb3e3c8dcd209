//! The decisions that a gateway node makes by itself. Operators can switch off each of them.

use serde::Deserialize;

/// The mechanisms that are enabled; all are by default but [`Policy::share_calls`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Moves generations away from engines that leave.
    pub evacuate: bool,
    /// Moves the generations of most worth first, a few at a time. If off, all copies start at once.
    pub copy_turns: bool,
    /// Moves generations from crowded engines to others.
    pub balance: bool,
    /// Chooses engines by when they will have prefilled the prompts assigned to them.
    pub reading_clocks: bool,
    /// Learns the speed of engines. If off, the defaults are used.
    pub learn: bool,
    /// Keeps requests in the hall where they arrived unless that costs too much.
    pub stay_in_hall: bool,
    /// Admits new generations by the expected peak of an engine's memory. If off, by its current use
    /// and the growth of some seconds.
    pub admit_by_peak: bool,
    /// If memory is short, lets generations that need less go before the first one in the queue.
    pub pass_over: bool,
    /// Lets generations wait for room that is expected in time. If off, they are refused.
    pub wait_for_room: bool,
    /// Resumes resumable streams at another engine.
    pub resume_streams: bool,
    /// Sends requests that may be repeated to another replica.
    pub repeat: bool,
    /// Backs off from replicas after failures.
    pub rest_after_failures: bool,
    /// Avoids replicas that returned errors recently.
    pub avoid_errors: bool,
    /// Queries the health of engines while the store may fail to report that they leave.
    pub look_out: bool,
    /// While room is short, gives each organisation that asks for it its share.
    pub share_room: bool,
    /// While the replicas of a plain service are full, gives each organisation its share of them.
    pub share_calls: bool,
    /// Keeps prompts away from generations whose gaps would exceed their objective.
    pub protect_gaps: bool,
    /// Raises the rate of requests to a replica that has started or recovered as its answers allow.
    pub ramp_up: bool,
    /// Bounds what a peer may send before the head of its message is complete.
    pub bound_heads: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            evacuate: true,
            copy_turns: true,
            balance: true,
            reading_clocks: true,
            learn: true,
            stay_in_hall: true,
            admit_by_peak: true,
            pass_over: true,
            wait_for_room: true,
            resume_streams: true,
            repeat: true,
            rest_after_failures: true,
            avoid_errors: true,
            look_out: true,
            share_room: true,
            share_calls: false,
            protect_gaps: true,
            ramp_up: true,
            bound_heads: true,
        }
    }
}
