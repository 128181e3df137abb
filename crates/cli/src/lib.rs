//! `quincespoke`: the operators' read-only command-line tool.

pub mod addresses;
pub mod clock;
pub mod command;
pub mod disagreements;
pub mod drain;
pub mod error;
pub mod exit_codes;
pub mod fetch;
pub mod help;
pub mod hosts;
pub mod latency;
pub mod options;
pub mod output;
pub mod poison;
pub mod revisions;
pub mod saved;
pub mod settings;
pub mod slow;
pub mod trace;
pub mod watch;
