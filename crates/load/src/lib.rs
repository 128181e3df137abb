//! Load tests of the scheduling decisions in virtual time, against simulated engines.
//!
//! The entry and agent state machines run unchanged. An in-memory network with fixed
//! latencies connects them, and `stand::model::Engine` simulates the engines. Baseline policies
//! run on the same engines with the same arrivals.

mod baseline;
pub mod deployment;
mod engines;
pub mod error;
mod event_queue;
pub mod exit_code;
pub mod matrix;
pub mod options;
pub mod plot;
pub mod policy;
pub mod record;
pub mod scenario;
pub mod summary;
mod system;
pub mod table;
pub mod target;
pub mod workload;
