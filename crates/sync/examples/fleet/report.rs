//! Results of one run as one line.

use std::fmt::Write;

use crate::net::Net;

/// Returns the results of a run of `seconds`, per process and for the fleet.
pub fn line(net: &Net, seconds: u64) -> String {
    let counts = &net.counts;
    let seconds = seconds as f64;
    let each = net.count() as f64 * seconds;
    let mut spread = counts.spread_ms.clone();
    spread.sort_unstable();
    let at = |part: f64| spread.get((spread.len() as f64 * part) as usize).copied().unwrap_or(0);
    let busy_ns: u64 = net.event_times().map(|(_, _, ns)| ns).sum();
    let mut line = format!(
        "processes={} seconds={seconds} messages_per_process_s={:.2} sent_bytes_per_process_s={:.0} \
         busiest_sent_and_received_bytes_s={:.0} watches_per_s={:.1} other_reads_per_s={:.1} \
         most_waiting={} service_bytes_per_s={:.0} host_reads_per_s={:.1} cpu_percent_of_core={:.4} \
         changes_spread={} unspread={} spread_p50_ms={} spread_max_ms={}",
        net.count(),
        counts.messages as f64 / each,
        counts.bytes as f64 / each,
        net.max_process_bytes() as f64 / seconds,
        counts.watches as f64 / seconds,
        counts.other_reads as f64 / seconds,
        counts.most_waiting,
        counts.read_bytes as f64 / seconds,
        counts.host_reads as f64 / seconds,
        busy_ns as f64 / each / 1e7,
        spread.len(),
        net.pending_changes(),
        at(0.5),
        spread.last().copied().unwrap_or(0),
    );
    for (kind, count, ns) in net.event_times().filter(|(_, count, _)| *count > 0) {
        let _ = write!(line, " {kind}_us={:.1}", ns as f64 / count as f64 / 1_000.0);
    }
    line
}
