//! State machine of an entry, which gives each caller's request exactly one final response.

pub mod action;
mod capacity;
mod counters;
pub mod event;
mod filter;
mod frames;
mod grant_rate;
mod grants;
pub mod incoming;
mod key_requests;
mod machine;
mod offers;
mod open_request;
mod pause;
mod retry_budget;
mod state;
mod timers;

pub use action::Action;
pub use conf::route;
pub use event::Event;
pub use incoming::{IncomingRequest, Setup};
pub use machine::Machine;
