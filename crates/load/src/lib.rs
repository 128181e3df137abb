//! Load tests of the decision code in virtual time, against models of engines.
//!
//! The entry and agent state machines run unchanged. An in-memory network with fixed
//! latencies joins them, and `stand::model::Engine` does the work. Baseline policies run on
//! the same engines with the same arrivals.

mod agenda;
mod baseline;
pub mod deployment;
mod engines;
pub mod error;
pub mod exit_code;
pub mod ledger;
pub mod matrix;
pub mod options;
pub mod plot;
pub mod policy;
pub mod scenario;
pub mod summary;
mod system;
pub mod table;
pub mod target;
pub mod workload;
