//! State machine of an agent: the process beside one backend server, and the only one that
//! dispatches requests to it.

mod admission;
mod backend_state;
mod commit;
mod drain;
mod event;
mod grants;
mod keyed_offers;
mod keys;
mod limit;
mod machine;
mod offers;
mod pause;
mod progress;
mod queue;
mod rate_limit;
mod replies;
mod report;
mod serve;
mod streams;
mod suspects;
mod timers;

pub use event::{Action, Event, Link, Progress, Setup};
pub use machine::Machine;
