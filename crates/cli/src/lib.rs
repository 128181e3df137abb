//! `quincespoke`: read-only command-line tool for operators.

pub mod addresses;
pub mod attempts;
pub mod checked;
pub mod clock;
pub mod command;
pub mod configuration;
pub mod disagreements;
pub mod drain;
pub mod error;
pub mod exit_codes;
pub mod fetch;
pub mod help;
pub mod hosts;
pub mod latency;
pub mod logs;
pub mod options;
pub mod output;
pub mod poison;
pub mod revisions;
pub mod settings;
pub mod stragglers;
pub mod trace;
pub mod watch;
