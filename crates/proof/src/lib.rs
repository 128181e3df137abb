//! Randomised schedules over the entry and agent state machines, joined by a simulated network
//! with faults, and a checker that reads only the recorded history.

pub mod check;
pub mod engine;
pub mod fault;
pub mod node;
pub mod plan;
pub mod record;
pub mod scenario;
pub mod world;
