//! Revisions of settings branches in force, and refused ones.

use serde::Serialize;
use wire::status;

use crate::{disagreements, output};

/// One branch at one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Row {
    pub branch: String,
    pub process: String,
    /// Revision in force, none if no revision was accepted yet.
    pub revision: Option<u64>,
    /// Last refused revision and the reason.
    pub refused: Option<String>,
}

/// Returns a row for each branch that a process has in force or refused, ordered by branch and
/// process.
pub fn rows(statuses: &[status::Status]) -> Vec<Row> {
    let mut rows = Vec::new();
    for status in statuses {
        let process = disagreements::process_name(status);
        for (branch, revision) in &status.revisions {
            rows.push(Row {
                branch: branch.clone(),
                process: process.clone(),
                revision: Some(*revision),
                refused: status.refused_revisions.get(branch).cloned(),
            });
        }
        let never_accepted = status.refused_revisions.iter();
        for (branch, reason) in
            never_accepted.filter(|(branch, _)| !status.revisions.contains_key(*branch))
        {
            rows.push(Row {
                branch: branch.clone(),
                process: process.clone(),
                revision: None,
                refused: Some(reason.clone()),
            });
        }
    }
    rows.sort_by(|a, b| (&a.branch, &a.process).cmp(&(&b.branch, &b.process)));
    rows
}

/// Returns the report as a text table.
pub fn text(rows: &[Row]) -> String {
    let cells = rows.iter().map(|row| {
        vec![
            row.branch.clone(),
            row.process.clone(),
            row.revision.map(|revision| revision.to_string()).unwrap_or_default(),
            row.refused.clone().unwrap_or_default(),
        ]
    });
    output::table(&["branch", "process", "revision", "refused"], cells.collect())
}

/// Returns the processes that don't have `revision` of the branch, or a higher one, in force,
/// each with the refusal that it reports, if any.
pub fn processes_behind(statuses: &[status::Status], branch: &str, revision: u64) -> Vec<String> {
    let behind = statuses
        .iter()
        .filter(|status| status.revisions.get(branch).is_none_or(|in_force| *in_force < revision));
    let names = behind.map(|status| match status.refused_revisions.get(branch) {
        Some(reason) => format!("{} (refused: {reason})", disagreements::process_name(status)),
        None => disagreements::process_name(status),
    });
    names.collect()
}
