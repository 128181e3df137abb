//! Randomised schedules over the entry and agent state machines, joined by a simulated network
//! with faults, and a checker that reads only the recorded history.

mod agents;
pub mod check;
mod control;
pub mod engine;
mod engines;
mod entries;
pub mod fault;
mod network;
pub mod plan;
pub mod process;
pub mod record;
pub mod scenario;
pub mod simulation;
