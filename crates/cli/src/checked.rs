//! Result of a check of settings or of a configuration, as text and JSON.

use conf::{
    change::{self, Change},
    check,
};
use platform::findings::{self, Severity};
use serde_json::{Value, json};

use crate::output;

/// One finding in a file.
#[derive(Clone, Debug)]
pub struct Finding {
    pub severity: Severity,
    /// Place, value and what is allowed, without the severity.
    pub line: String,
    pub json: Value,
}

/// Result of a check.
#[derive(Clone, Debug, Default)]
pub struct Checked {
    pub files: usize,
    pub findings: Vec<Finding>,
    /// Changes against the version in force; `None` if there is none to compare with, or one of
    /// the two can't be read.
    pub changes: Option<Vec<Change>>,
}

impl Checked {
    /// Adds a finding about settings.
    pub fn add(&mut self, severity: Severity, finding: &check::Error) {
        let check::Error { file, section, key, value, allowed } = finding;
        let json = json!({
            "file": file, "section": section, "key": key, "value": value, "allowed": allowed,
        });
        self.findings.push(Finding { severity, line: finding.to_string(), json });
    }

    /// Adds a finding about a configuration.
    pub fn add_configuration(&mut self, file: &str, finding: &findings::Finding) {
        let findings::Finding { place, value, kind } = finding;
        let json = json!({"file": file, "place": place, "value": value, "allowed": kind.allowed()});
        let line = format!("{file}: {finding}");
        self.findings.push(Finding { severity: kind.severity(), line, json });
    }

    /// Returns the number of findings of a severity.
    pub fn count(&self, severity: Severity) -> usize {
        self.findings.iter().filter(|finding| finding.severity == severity).count()
    }
}

/// Returns one line for each finding and change, and a last line if there are no errors.
pub fn text(checked: &Checked) -> String {
    let mut lines: Vec<String> = checked.findings.iter().map(finding_line).collect();
    for change in checked.changes.iter().flatten() {
        lines.push(format!("change: {change}"));
    }
    if checked.count(Severity::Error) == 0 {
        lines.push(summary(checked));
    }
    lines.iter().map(|line| output::printable(line) + "\n").collect()
}

fn finding_line(finding: &Finding) -> String {
    match finding.severity {
        Severity::Error => finding.line.clone(),
        Severity::Warning => format!("warning: {}", finding.line),
    }
}

fn summary(checked: &Checked) -> String {
    let mut summary = format!("{}, no errors", output::pluralize(checked.files, "file"));
    match checked.count(Severity::Warning) {
        0 => {}
        count => summary += &format!(", {}", output::pluralize(count, "warning")),
    }
    match checked.changes.as_ref().map(Vec::len) {
        None => {}
        Some(0) => summary += ", no change for callers",
        Some(count) => {
            summary += &format!(", {} for callers", output::pluralize(count, "change"));
        }
    }
    summary
}

/// Returns the result as JSON.
pub fn json(checked: &Checked) -> Value {
    let list = |severity: Severity| -> Vec<&Value> {
        let findings = checked.findings.iter().filter(|finding| finding.severity == severity);
        findings.map(|finding| &finding.json).collect()
    };
    let changes = checked.changes.as_ref();
    json!({
        "files": checked.files,
        "errors": list(Severity::Error),
        "warnings": list(Severity::Warning),
        "changes": changes.map(|changes| changes.iter().map(change_json).collect::<Vec<_>>()),
    })
}

fn change_json(change: &Change) -> Value {
    let mut json = json!({"subject": change.subject, "change": change.kind.name()});
    match &change.kind {
        change::Kind::Begins | change::Kind::Ends => {}
        change::Kind::KeysEnd { count } | change::Kind::KeysBegin { count } => {
            json["count"] = json!(count);
        }
        change::Kind::KeysMove { count, to } => {
            json["count"] = json!(count);
            json["to"] = json!(to);
        }
        change::Kind::Falls { property, from, to }
        | change::Kind::Rises { property, from, to }
        | change::Kind::Becomes { property, from, to } => {
            json["property"] = json!(property);
            json["from"] = json!(from);
            json["to"] = json!(to);
        }
    }
    json
}
