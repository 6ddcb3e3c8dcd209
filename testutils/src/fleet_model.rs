//! A discrete-event model of a fleet of engines and of the lead that places generations on them, without a
//! network and without a clock: a simulation of 60 engines takes about a second.
//!
//! The engines are those of [`crate::engine_model`]: batches in steps, chunked prefill beside decoding,
//! memory in blocks, preemption. The lead is the code of `leadstage-lib`: its load tracker, choice of
//! engines, queue and forecasts. Engines are reclaimed with a notice and replaced by new ones; meanwhile
//! their generations are copied to other engines. Callers have objectives and deadlines and retry once after
//! a refusal.
//!
//! Not modelled: nodes, halls, delayed updates, regular calls, faults other than reclaims.

pub mod experiment;
mod lead;
pub mod report;
mod simulation;

pub use simulation::simulate;
