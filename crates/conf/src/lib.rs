//! Settings: the process settings file and the settings tree that operators publish.

pub mod check;
pub mod process;
pub mod tree;
