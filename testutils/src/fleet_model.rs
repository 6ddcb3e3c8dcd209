//! A model of a fleet of engines and of the lead that places generations on them, without a network and
//! without a clock: a day of 60 engines takes about a second.
//!
//! The engines are those of [`crate::engine_model`]: batches in steps, pieces of prompts beside tokens, memory in
//! blocks, preemption. The lead is the code of `leadstage-lib`: its book, its choice of engines, its queue and
//! its forecasts. Engines are taken away with a notice and replaced by new ones; generations are copied
//! away from them meanwhile. Callers have objectives and deadlines and come back once after a refusal.
//!
//! Left out: nodes, halls, news that are late, plain calls, faults other than reclaims.

pub mod experiment;
mod lead;
pub mod report;
mod simulation;

pub use simulation::simulate;
