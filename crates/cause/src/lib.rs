//! When a request counts as the cause of a backend server's end, and what clears it.
//!
//! A request that crashes each server which runs it must not reach many of them, and a sound one
//! must keep its service when servers end for other reasons while copies of it run. Gateways and
//! agents learn of ends in different ways and keep what they learn in tables of their own; they
//! take the rules from here. `docs/design/causes.md` has them as tables.

pub mod answer;
pub mod answers;
pub mod ending;
pub mod rule;

pub use answer::{Answer, Listing};
pub use answers::Answers;
pub use ending::Ending;
pub use rule::Rule;
