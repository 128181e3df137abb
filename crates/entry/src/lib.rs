//! State machine of an entry: from a caller's request to its one final answer.

pub mod action;
mod budget;
mod counters;
pub mod event;
mod filter;
mod flight;
mod frames;
mod grants;
pub mod incoming;
mod keys;
mod machine;
mod offers;
mod pace;
mod room;
pub mod route;
mod state;
mod timers;

pub use action::Action;
pub use event::Event;
pub use incoming::{IncomingRequest, Setup};
pub use machine::Machine;
