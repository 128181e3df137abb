//! State machine of an agent: the only dispatcher to its backend server.

mod admission;
mod backend;
mod commit;
mod drain;
mod engine;
mod event;
mod grants;
mod keyed;
mod keys;
mod limit;
mod machine;
mod offers;
mod pause;
mod queue;
mod replies;
mod report;
mod serve;
mod streams;
mod suspects;
mod timers;

pub use event::{Action, Event, Link, Progress, Setup};
pub use machine::Machine;
