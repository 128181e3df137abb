//! Settings: the settings files of processes, gateways included, and the settings tree that
//! operators publish.

mod branch;
pub mod change;
pub mod check;
pub mod differences;
pub mod document;
pub mod findings;
pub mod gateway;
mod merge;
pub mod process;
pub mod resources;
pub mod route;
mod section;
pub mod tree;
