//! What a gateway node decides by itself, each part of which operators can switch off.

use serde::Deserialize;

/// The mechanisms that decide; all are on by default.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Generations move away from engines that leave.
    pub evacuate: bool,
    /// The worth-most leave first, a few at a time; without it all copies start at once.
    pub copy_turns: bool,
    /// Generations move from crowded engines to others.
    pub balance: bool,
    /// Engines are chosen by when they will have read the prompts that they were given.
    pub reading_clocks: bool,
    /// How fast engines are is learned; without it they are taken to be as guessed.
    pub learn: bool,
    /// Requests stay in the hall that they came to unless that costs too much.
    pub stay_in_hall: bool,
    /// Engines take new generations by how much memory they are expected to use at the most; without it by
    /// what is in use and some seconds' growth.
    pub admit_by_peak: bool,
    /// Where memory is short, generations that need less may go before the first one that waits.
    pub pass_over: bool,
    /// Generations wait for room that can be expected in time; without it they are refused.
    pub wait_for_room: bool,
    /// Streams that may be resumed go on at another engine.
    pub resume_streams: bool,
    /// Requests that may be repeated are sent to another replica.
    pub repeat: bool,
    /// Replicas rest after failures.
    pub rest_after_failures: bool,
    /// Replicas that answered with errors lately are avoided.
    pub avoid_errors: bool,
    /// Engines are asked for their health while the store may not tell that they leave.
    pub look_out: bool,
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
        }
    }
}
