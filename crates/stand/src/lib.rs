//! Test doubles for the systems around quincespoke: model engine, plain service,
//! configuration service, host list, and a fault-injecting TCP proxy.
//!
//! Each server runs on the current compio runtime; dropping its handle stops it.

pub mod address;
pub mod cache;
pub mod clock;
pub mod completion;
pub mod configuration;
pub mod engine;
pub mod hosts;
pub mod http;
pub mod model;
pub mod options;
pub mod port;
pub mod proxy;
pub mod run;
pub mod schedules;
pub mod service;
pub mod signal;
pub mod stream;
