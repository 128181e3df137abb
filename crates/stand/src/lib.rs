//! Test doubles for the outside systems: model engine, plain service, configuration
//! service, host list, and a fault-injecting TCP proxy.
//!
//! Each server runs on the current compio runtime; dropping its handle stops it.

pub mod cache;
pub mod model;
pub mod run;
