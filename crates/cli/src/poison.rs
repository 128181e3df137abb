//! Fingerprints of requests that crashed engines.

use std::collections::BTreeMap;

use serde::Serialize;
use wire::status;

use crate::{disagreements, output};

/// One fingerprint, merged over the processes that report it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Fingerprint {
    pub fingerprint: String,
    /// Largest count of crashes that a process reports.
    pub crashes: u8,
    /// Longest time until a process removes the fingerprint.
    pub seconds_left: u64,
    pub known_by: Vec<String>,
}

/// Returns the fingerprints that crashed engines, those with most crashes first.
pub fn merge(statuses: &[status::Status]) -> Vec<Fingerprint> {
    let mut merged: BTreeMap<&str, Fingerprint> = BTreeMap::new();
    for status in statuses {
        for quarantine in &status.quarantined {
            let entry = merged.entry(&quarantine.fingerprint).or_default();
            entry.fingerprint.clone_from(&quarantine.fingerprint);
            entry.crashes = entry.crashes.max(quarantine.crashes);
            entry.seconds_left = entry.seconds_left.max(quarantine.seconds_left);
            entry.known_by.push(disagreements::process_name(status));
        }
    }
    let mut fingerprints: Vec<Fingerprint> = merged.into_values().collect();
    fingerprints.sort_by_key(|entry| std::cmp::Reverse(entry.crashes));
    fingerprints
}

/// Returns the report as a text table.
pub fn text(fingerprints: &[Fingerprint]) -> String {
    if fingerprints.is_empty() {
        return "No request is suspected or quarantined.\n".to_owned();
    }
    let cells = fingerprints.iter().map(|entry| {
        vec![
            entry.fingerprint.clone(),
            entry.crashes.to_string(),
            entry.seconds_left.to_string(),
            output::join_names(&entry.known_by),
        ]
    });
    output::table(&["fingerprint", "crashes", "seconds left", "known by"], cells.collect())
}
