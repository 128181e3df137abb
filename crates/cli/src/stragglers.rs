//! Stragglers: hosts that an entry has ejected, or that are far slower than their pool by the
//! measurements of an entry.

use std::collections::BTreeMap;

use serde::Serialize;
use wire::status;

use crate::{disagreements, output};

/// One straggler, merged over the reports of all entries.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Straggler {
    pub host: String,
    pub pool: String,
    pub ejected_by: Vec<String>,
    pub slow_by: Vec<String>,
    /// Largest median time to readiness that an entry measured, in milliseconds.
    pub ready_ms_p50: f64,
    /// Median of the pool as measured by the same entry, in milliseconds.
    pub pool_ready_ms: f64,
}

/// Returns the hosts that an entry has ejected, or whose time to readiness an entry measures
/// as more than `slow_factor` times the median of their pool.
pub fn find(statuses: &[status::Status], slow_factor: f64) -> Vec<Straggler> {
    let mut found: BTreeMap<(&str, &str), Straggler> = BTreeMap::new();
    for status in statuses.iter().filter(|status| status.role == "entry") {
        let medians = pool_medians(&status.hosts);
        for host in &status.hosts {
            let median = medians.get(host.pool.as_str()).copied().unwrap_or_default();
            let is_slow = median > 0.0 && host.ready_ms_p50 > slow_factor * median;
            if !host.ejected && !is_slow {
                continue;
            }
            let straggler = found.entry((&host.pool, &host.host)).or_default();
            straggler.host.clone_from(&host.host);
            straggler.pool.clone_from(&host.pool);
            if host.ejected {
                straggler.ejected_by.push(disagreements::process_name(status));
            }
            if is_slow {
                straggler.slow_by.push(disagreements::process_name(status));
            }
            if host.ready_ms_p50 >= straggler.ready_ms_p50 {
                straggler.ready_ms_p50 = host.ready_ms_p50;
                straggler.pool_ready_ms = median;
            }
        }
    }
    found.into_values().collect()
}

/// Returns the median of the measured times of each pool. For an even number of hosts it is the
/// lower of the two middle times, so that the slower host of a pool of two can be found.
fn pool_medians(hosts: &[status::Host]) -> BTreeMap<&str, f64> {
    let mut times: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for host in hosts.iter().filter(|host| host.ready_ms_p50 > 0.0) {
        times.entry(&host.pool).or_default().push(host.ready_ms_p50);
    }
    let medians = times.into_iter().map(|(pool, mut times)| {
        times.sort_by(f64::total_cmp);
        (pool, times[(times.len() - 1) / 2])
    });
    medians.collect()
}

/// Returns the report as a text table.
pub fn text(stragglers: &[Straggler]) -> String {
    if stragglers.is_empty() {
        return "No stragglers.\n".to_owned();
    }
    let headings = ["host", "pool", "ready ms p50", "pool ms", "ejected by", "slow by"];
    let cells = stragglers.iter().map(|straggler| {
        vec![
            straggler.host.clone(),
            straggler.pool.clone(),
            format!("{:.1}", straggler.ready_ms_p50),
            format!("{:.1}", straggler.pool_ready_ms),
            output::join_names(&straggler.ejected_by),
            output::join_names(&straggler.slow_by),
        ]
    });
    output::table(&headings, cells.collect())
}
