//! The two attempts of a hedged request, from its log lines.

use serde_json::{Value, json};

use crate::{logs::Line, output};

/// One attempt at a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    pub process: String,
    pub server: String,
    /// Time after the first attempt at which this one was sent; `None` for the first one.
    pub hedged_after_ms: Option<String>,
    /// How it ended: `answered`, `cancelled`, or how it failed; `open` if no line says so.
    pub end: String,
}

/// Returns the attempts of each hedge among the lines of a request.
pub fn find(request_lines: &[&Line]) -> Vec<Attempt> {
    let mut attempts = Vec::new();
    for (index, line) in request_lines.iter().enumerate() {
        if line.get("event") != Some("hedge") {
            continue;
        }
        let later = &request_lines[index + 1..];
        let attempt = |name, hedged_after_ms: Option<&str>| {
            let server = line.get(name).unwrap_or_default();
            Attempt {
                process: line.process.clone(),
                server: server.to_owned(),
                hedged_after_ms: hedged_after_ms.map(str::to_owned),
                end: end(later, &line.process, server),
            }
        };
        attempts.push(attempt("first", None));
        attempts.push(attempt("second", line.get("waited_ms")));
    }
    attempts
}

/// Returns how the attempt at a server ended, by the first later line of the process that says so.
fn end(later: &[&Line], process: &str, server: &str) -> String {
    let mut lines = later.iter().filter(|line| line.process == process);
    let end = lines.find_map(|line| {
        let is_at = |name| line.get(name) == Some(server);
        match line.get("event")? {
            "answered" if is_at("replica") => Some("answered".to_owned()),
            "attempt_failed" if is_at("replica") => line.get("how").map(str::to_owned),
            "hedge_ended" if is_at("cancelled") => Some("cancelled".to_owned()),
            _ => None,
        }
    });
    end.unwrap_or_else(|| "open".to_owned())
}

/// Returns the attempts as a text table.
pub fn text(attempts: &[Attempt]) -> String {
    let rows = attempts.iter().map(|attempt| {
        let sent = match &attempt.hedged_after_ms {
            Some(ms) => format!("hedge after {ms} ms"),
            None => "first".to_owned(),
        };
        vec![attempt.process.clone(), attempt.server.clone(), sent, attempt.end.clone()]
    });
    output::table(&["process", "server", "attempt", "end"], rows.collect())
}

/// Returns the attempts as JSON.
pub fn json(attempts: &[Attempt]) -> Value {
    let values = attempts.iter().map(|attempt| {
        json!({
            "process": attempt.process,
            "server": attempt.server,
            "hedged_after_ms": attempt.hedged_after_ms,
            "end": attempt.end,
        })
    });
    values.collect()
}
