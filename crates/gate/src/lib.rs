//! Decisions of a gateway: a process on an entry host that dispatches to backend servers itself,
//! for deployments where no agents run beside the backend servers or agents can't be relied on.
//!
//! The machine holds no sockets and reads no clock. It takes `(now, event)` and appends actions
//! for its driver to carry out.

pub mod action;
pub mod admission;
pub mod arrivals;
pub mod backends;
pub mod catalog;
pub mod claims;
mod contact;
pub mod deadlines;
mod demand;
mod ending;
pub mod evacuations;
pub mod event;
pub mod hedging;
pub mod issuer;
pub mod late_ends;
pub mod lease;
pub mod load;
pub mod machine;
pub mod message;
pub mod origin;
pub mod peers;
pub mod permits;
pub mod placement;
pub mod plain_load;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod ranking;
pub mod rate_limit;
pub mod refusal;
pub mod request;
pub mod retry_budget;
pub mod revision;
pub mod source;
pub mod statement;
pub mod streams;
pub mod suspects;
pub mod throttle;
pub mod unanswered;
pub mod uplink;
pub mod warm_up;
mod window;

pub use action::Action;
pub use event::Event;
pub use machine::Machine;
