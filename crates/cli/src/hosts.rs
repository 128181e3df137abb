//! Table of the processes, and of the disagreements between them.

use bytes::Bytes;
use serde::Serialize;
use wire::{status, sync};

use crate::{disagreements, output};

/// Summary of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Row {
    pub host: String,
    pub role: String,
    pub availability_zone: String,
    pub process: String,
    pub version: String,
    pub ready: bool,
    pub leaving: bool,
    pub stopping: bool,
    /// Equal digests mean equal revisions of every branch.
    pub digest: String,
    /// Requests held without a grant as `tier:count`, highest tier first.
    pub queued: Vec<(u8, u64)>,
    pub running: u64,
}

/// Returns the summary of each process, ordered by host and role.
pub fn rows(statuses: &[status::Status]) -> Vec<Row> {
    let mut rows: Vec<Row> = statuses.iter().map(row).collect();
    rows.sort_by(|a, b| (&a.host, &a.role).cmp(&(&b.host, &b.role)));
    rows
}

fn row(status: &status::Status) -> Row {
    Row {
        host: status.host.clone(),
        role: status.role.clone(),
        availability_zone: status.availability_zone.clone(),
        process: status.process.clone(),
        version: status.version.clone(),
        ready: status.ready,
        leaving: status.leaving,
        stopping: status.stopping,
        digest: digest(status),
        queued: status.queued.iter().map(|(tier, count)| (*tier, *count)).collect(),
        running: status.running,
    }
}

/// Returns the hash by which processes compare their revisions.
fn digest(status: &status::Status) -> String {
    let revisions = status.revisions.iter();
    let pairs = revisions.map(|(name, revision)| (Bytes::from(name.clone()), *revision));
    format!("{:016x}", sync::Digest(pairs.collect()).hash())
}

/// Returns the report as a text table, with the disagreements below it.
pub fn text(
    rows: &[Row],
    revisions: &[disagreements::Revision],
    leaving: &[disagreements::Leaving],
) -> String {
    let headings =
        ["host", "role", "zone", "ready", "leaving", "stopping", "digest", "queued", "running"];
    let cells = rows.iter().map(|row| {
        let queued: Vec<_> =
            row.queued.iter().map(|(tier, count)| format!("{tier}:{count}")).collect();
        vec![
            row.host.clone(),
            row.role.clone(),
            row.availability_zone.clone(),
            output::yes_no(row.ready),
            output::yes_no(row.leaving),
            output::yes_no(row.stopping),
            row.digest.clone(),
            queued.join(","),
            row.running.to_string(),
        ]
    });
    let mut text = output::table(&headings, cells.collect());
    if !revisions.is_empty() || !leaving.is_empty() {
        text.push_str("\nDisagreements:\n");
        text.push_str(&output::table(
            &["about", "view", "processes"],
            disagreements::rows(revisions, leaving),
        ));
    }
    text
}
