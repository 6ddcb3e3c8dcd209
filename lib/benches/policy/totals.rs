//! Totals of one simulation run, and their row of the CSV output.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::experiment::Experiment;

/// The CSV header.
pub const HEADER: &str = "policy,offered,completed,refused,preemptions_per_1000,stall_ms_per_generation,\
    token_gap_p50_ms,token_gap_p99_ms,token_gap_max_ms,first_token_p50_ms,first_token_p95_ms,\
    goodput_tokens_per_s,share_error";

/// Totals of the simulation of one policy.
pub struct Totals {
    pub offered: u64,
    pub completed: u64,
    pub refused: u64,
    pub preemptions: u64,
    pub stall: Duration,
    pub goodput: u64,
    pub served: Vec<u64>,
    pub requested: Vec<u64>,
    pub token_gaps: Histogram<u64>,
    pub first_token: Histogram<u64>,
}

impl Totals {
    pub fn new(organisations: usize) -> Self {
        let histogram = || Histogram::new(4).expect("4 is a valid number of significant digits");
        Totals {
            offered: 0,
            completed: 0,
            refused: 0,
            preemptions: 0,
            stall: Duration::ZERO,
            goodput: 0,
            served: vec![0; organisations],
            requested: vec![0; organisations],
            token_gaps: histogram(),
            first_token: histogram(),
        }
    }

    pub fn row(&self, experiment: &Experiment) -> String {
        let ms = |micros: u64| micros as f64 / 1_000.0;
        let per_item = |value: f64, count: u64| value / count.max(1) as f64;
        format!(
            "{},{},{},{:.2},{:.2},{:.1},{:.1},{:.1},{:.0},{:.0},{:.1},{:.4}",
            self.offered,
            self.completed,
            self.refused,
            per_item(self.preemptions as f64 * 1_000.0, self.completed),
            per_item(self.stall.as_secs_f64() * 1_000.0, self.completed),
            ms(self.token_gaps.value_at_quantile(0.5)),
            ms(self.token_gaps.value_at_quantile(0.99)),
            ms(self.token_gaps.max()),
            ms(self.first_token.value_at_quantile(0.5)),
            ms(self.first_token.value_at_quantile(0.95)),
            self.goodput as f64 / experiment.duration.as_secs_f64(),
            experiment.share_error(&self.served, &self.requested),
        )
    }
}
