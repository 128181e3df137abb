//! Runs the entry and agent state machines under randomised schedules of requests and faults.
//!
//! A simulated network with faults connects the state machines. The checker reads only the
//! recorded history.

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
