//! Records that an engine keeps of its jobs.

use serde::{Deserialize, Serialize};
use wire::time::Instant;

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    Finished,
    Cancelled,
    Crashed,
}

/// Record of one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Identifier chosen by the submitter.
    pub id: u64,
    pub fingerprint: u64,
    /// Engine instance that received the job.
    pub instance: u64,
    pub prompt_tokens: u32,
    pub arrival: Instant,
    pub prefill_start: Option<Instant>,
    pub first_token: Option<Instant>,
    pub tokens: u32,
    pub ended_at: Option<Instant>,
    /// Prompt tokens computed so far; cache hits are excluded.
    pub prefill_computed: u32,
    /// Prompt tokens found in the prefix cache.
    pub prefill_cached: u32,
    /// `None` while the job is waiting or running.
    pub end: Option<End>,
}
