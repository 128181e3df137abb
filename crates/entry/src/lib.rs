//! State machine of an entry: from a caller's request to its one final answer.

pub mod action;
mod budget;
pub mod call;
mod counters;
pub mod event;
mod filter;
mod flight;
mod frames;
mod grants;
mod keys;
mod machine;
mod offers;
mod pace;
mod room;
pub mod route;
mod state;
mod timers;

pub use action::Action;
pub use call::{Call, Setup};
pub use event::Event;
pub use machine::Machine;
