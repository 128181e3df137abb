//! Latency histograms by account and tier.

use std::collections::BTreeMap;

use serde::Serialize;
use wire::status;

use crate::output;

/// One histogram, merged over processes.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Row {
    pub account: String,
    pub tier: String,
    pub name: String,
    pub processes: u64,
    pub count: u64,
    /// Largest value over the processes, as are the fields below. A quantile of the merged samples
    /// is at most the largest quantile of any process, so this is an upper bound, and exact for a
    /// single process.
    pub p50: f64,
    pub p95: f64,
    pub p99: f64,
    pub max: f64,
}

/// Merges the histograms of several processes and keeps those of the account and tier, if
/// given, ordered by account, tier and name.
pub fn merge(
    histograms: Vec<Vec<status::Histogram>>,
    account: Option<&str>,
    tier: Option<&str>,
) -> Vec<Row> {
    let mut merged: BTreeMap<(String, String, String), Row> = BTreeMap::new();
    let selected = histograms.into_iter().flatten().filter(|histogram| {
        // An empty histogram would raise the number of processes but not change the values.
        histogram.count > 0
            && account.is_none_or(|account| histogram.account == account)
            && tier.is_none_or(|tier| histogram.tier == tier)
    });
    for histogram in selected {
        let status::Histogram { name, account, tier, count, p50, p95, p99, max } = histogram;
        let row = merged.entry((account, tier, name)).or_default();
        row.processes += 1;
        row.count += count;
        row.p50 = row.p50.max(p50);
        row.p95 = row.p95.max(p95);
        row.p99 = row.p99.max(p99);
        row.max = row.max.max(max);
    }
    let rows =
        merged.into_iter().map(|((account, tier, name), row)| Row { account, tier, name, ..row });
    rows.collect()
}

/// Returns the report as a text table.
pub fn text(rows: &[Row]) -> String {
    let headings =
        ["account", "tier", "histogram", "processes", "count", "p50", "p95", "p99", "max"];
    let cells = rows.iter().map(|row| {
        let mut cells = vec![
            row.account.clone(),
            row.tier.clone(),
            row.name.clone(),
            row.processes.to_string(),
            row.count.to_string(),
        ];
        cells.extend([row.p50, row.p95, row.p99, row.max].map(|value| format!("{value:.1}")));
        cells
    });
    output::table(&headings, cells.collect())
}
