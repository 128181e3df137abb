//! Rate limits that backend servers name in their responses, and token buckets that keep them.

pub mod bucket;
pub mod statement;
