//! Prints reports as text tables or JSON, and errors as one line.

use std::io::{self, Write};

use serde_json::{Value, json};

use crate::{error, exit_codes};

/// Names that [`join_names`] lists; it only counts the others.
const MAX_LISTED_NAMES: usize = 4;

/// Result of a subcommand.
#[derive(Debug)]
pub struct Report {
    /// Text output.
    pub text: String,
    /// The same as JSON; null if there is only text.
    pub json: Value,
    /// Set if the exit code is not 0.
    pub error: Option<error::Error>,
}

impl Report {
    /// Returns a report on several processes. Those that `error` names as unreachable are listed
    /// at the end of the text and in the JSON under `unreachable`.
    pub fn with_unreachable(
        mut text: String,
        mut json: Value,
        error: Option<error::Error>,
    ) -> Report {
        if let Some(error::Error::Unreachable { failures, .. }) = &error {
            let rows = failures
                .iter()
                .map(|failure| vec![failure.address.clone(), failure.cause.to_string()])
                .collect();
            text.push_str("\nNo answer from:\n");
            text.push_str(&table(&["address", "cause"], rows));
            json["unreachable"] = failures
                .iter()
                .map(|failure| {
                    json!({"address": failure.address, "cause": failure.cause.to_string()})
                })
                .collect();
        } else {
            json["unreachable"] = json!([]);
        }
        Report { text, json, error }
    }
}

/// Formats a table with a line of headings and one line per row.
pub fn table(headings: &[&str], rows: Vec<Vec<String>>) -> String {
    let mut table = comfy_table::Table::new();
    table.load_preset(comfy_table::presets::NOTHING);
    table.set_header(headings.iter().map(|heading| heading.to_uppercase()));
    for row in rows {
        table.add_row(row.iter().map(|cell| printable(cell)));
    }
    let lines = table.lines().map(|line| {
        // The library pads every column with a blank on the left, the first one included.
        line.strip_prefix(' ').unwrap_or(&line).trim_end().to_owned()
    });
    lines.collect::<Vec<_>>().join("\n") + "\n"
}

/// Replaces control characters, so that text from processes can't send control sequences to the
/// terminal, and empty text by `-`, so that scripts that split lines at blanks find all columns.
pub fn printable(text: &str) -> String {
    if text.is_empty() {
        return "-".to_owned();
    }
    text.chars()
        .map(|char| if char.is_control() { char::REPLACEMENT_CHARACTER } else { char })
        .collect()
}

/// Returns the first `MAX_LISTED_NAMES` names and the count of the others.
pub fn join_names(names: &[String]) -> String {
    let listed = names.iter().take(MAX_LISTED_NAMES).cloned().collect::<Vec<_>>().join(", ");
    match names.len().saturating_sub(MAX_LISTED_NAMES) {
        0 => listed,
        others => format!("{listed} and {others} more"),
    }
}

/// Returns a count with its noun, as in `1 file` or `2 files`.
pub fn pluralize(count: usize, noun: &str) -> String {
    let plural = if count == 1 { "" } else { "s" };
    format!("{count} {noun}{plural}")
}

/// Returns `yes` or `no`.
pub fn yes_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

/// Prints a report and returns the exit code.
///
/// # Errors
///
/// Returns an error if standard output can't be written, but not if a reader such as `head`
/// has closed it early.
pub fn print(report: &Report, json: bool) -> Result<exit_codes::Code, error::Error> {
    let text = if json && !report.json.is_null() {
        format!("{:#}\n", report.json)
    } else {
        report.text.clone()
    };
    let mut stdout = io::stdout().lock();
    match stdout.write_all(text.as_bytes()).and_then(|()| stdout.flush()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => Err(error::Error::Output(error)),
        _ => Ok(report.error.as_ref().map_or(exit_codes::Code::Ok, report_error)),
    }
}

/// Prints an error on standard error and returns its exit code.
pub fn report_error(error: &error::Error) -> exit_codes::Code {
    let line = printable(&error.to_string());
    // A failure to write to standard error can't be reported anywhere.
    let _ = writeln!(io::stderr(), "quincespoke: {line}");
    error.code()
}
