//! The daemon `quincespoked`: input and output for the state machines of the other crates.

pub mod backend;
pub mod budget;
pub mod caller;
pub mod callers;
pub mod chat;
pub mod clock;
pub mod connection;
pub mod distribution;
pub mod driver;
pub mod error;
pub mod exit_code;
pub mod framing;
pub mod gateway;
pub mod http;
pub mod log;
pub mod metrics;
pub mod operators;
pub mod options;
pub mod paced;
pub mod peer;
pub mod refusal;
pub mod role;
pub mod role_agent;
pub mod role_entry;
pub mod run;
pub mod signal;
pub mod sources;
pub mod stream;
pub mod trace;
pub mod usage;

pub use error::Error;
