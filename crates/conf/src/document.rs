//! Splits INI text into sections and reports syntax errors and duplicate sections.

use std::collections::BTreeSet;

use ini::{Ini, ParseOption, Properties};

use crate::check;

/// Longest document in bytes, the largest value that the configuration service stores.
pub const MAX_BYTES: usize = 1 << 20;

const LINE_FORMAT: &str = "a [section], a key = value, or a comment line that starts with # or ;";

/// One section: `[kind]` or `[kind name]`.
pub(crate) struct Section {
    /// The header as written, for errors.
    pub(crate) header: String,
    pub(crate) kind: String,
    pub(crate) name: String,
    pub(crate) properties: Properties,
}

/// Returns the sections of `text` in the order in which they appear.
pub(crate) fn split(text: &str, report: &mut check::Report) -> Vec<Section> {
    if text.len() > MAX_BYTES {
        let allowed = format!("at most {MAX_BYTES} bytes");
        report.add("", "", &format!("{} bytes", text.len()), &allowed);
        return Vec::new();
    }
    if !check_lines(text, report) {
        return Vec::new();
    }
    let option =
        ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
    match Ini::load_from_str_opt(text, option) {
        Ok(ini) => collect(ini, report),
        Err(error) => {
            report.add("", "", &format!("line {}", error.line), LINE_FORMAT);
            Vec::new()
        }
    }
}

/// Reports lines that the INI parser would join with their neighbours or skip. It reads a key
/// across lines up to the next `=`, and ignores an indented last line without one.
fn check_lines(text: &str, report: &mut check::Report) -> bool {
    let mut valid = true;
    for (number, line) in text.split('\n').enumerate() {
        if !is_line(line.strip_suffix('\r').unwrap_or(line)) {
            report.add("", &format!("line {}", number + 1), line, LINE_FORMAT);
            valid = false;
        }
    }
    valid
}

fn is_line(line: &str) -> bool {
    if line.chars().any(|c| c.is_control() && c != '\t') || line.ends_with('\\') {
        return false;
    }
    if line.starts_with(['#', ';']) {
        return true;
    }
    let line = line.trim();
    if line.is_empty() {
        return true;
    }
    match line.strip_prefix('[') {
        Some(rest) => rest.find(']') == Some(rest.len().wrapping_sub(1)),
        None => {
            let end = line.find(['=', ':']).unwrap_or(0);
            !line.starts_with(['#', ';']) && !line[..end].trim().is_empty()
        }
    }
}

fn collect(ini: Ini, report: &mut check::Report) -> Vec<Section> {
    let mut seen = BTreeSet::new();
    let mut sections = Vec::new();
    for (header, properties) in ini {
        let Some(header) = header else {
            for (key, value) in &properties {
                report.add("", key, value, "keys inside a section only");
            }
            continue;
        };
        let (kind, name) = header.split_once(char::is_whitespace).unwrap_or((&header, ""));
        let (kind, name) = (kind.to_owned(), name.trim().to_owned());
        if !seen.insert((kind.clone(), name.clone())) {
            report.add(&header, "", "", "each section once");
            continue;
        }
        sections.push(Section { header, kind, name, properties });
    }
    sections
}
