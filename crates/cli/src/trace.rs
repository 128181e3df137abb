//! The merged trace of one request.

use wire::status;

use crate::output;

/// Merges the traces of several processes, ordered by host, then by time. Times of different
/// hosts have different origins and can't be compared.
pub fn merge(traces: Vec<Vec<status::Trace>>) -> Vec<status::Trace> {
    let mut merged: Vec<status::Trace> = traces.into_iter().flatten().collect();
    merged.sort_by(|a, b| (&a.host, a.at_us).cmp(&(&b.host, b.at_us)));
    merged
}

/// Returns the report as a text table.
pub fn text(trace: &[status::Trace]) -> String {
    let cells = trace.iter().map(|event| {
        vec![
            event.host.clone(),
            format!("{:.3}", event.at_us as f64 / 1000.0),
            event.step.clone(),
            event.event.clone(),
            event.peer.clone(),
        ]
    });
    output::table(&["host", "at ms", "step", "event", "peer"], cells.collect())
}
