//! Finds the lines of one request in saved logs of several processes.
//!
//! Lines are ordered by process and, within a process, as they were written, not by their times:
//! clocks of hosts differ and may be set back or forward.

use std::{collections::BTreeMap, fs, io, io::Read, path::Path};

use serde_json::{Value, json};

use crate::{error, output};

/// Events that change the state on which a process decides about requests. The last of each
/// before the first line of the request is shown.
const CONTEXT_EVENTS: [&str; 6] = [
    "started",
    "configuration_read",
    "store_lost",
    "store_reached",
    "settings_in_force",
    "log_lines_dropped",
];
/// Fields that log lines have in common; the details leave them out.
const COMMON_FIELDS: [&str; 4] = ["ts", "level", "event", "id"];

/// One line of a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    pub process: String,
    /// Number of the line in its file.
    pub number: usize,
    pub fields: Vec<(String, String)>,
}

impl Line {
    /// Returns the value of a field.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// Lines of all logs that were read.
#[derive(Clone, Debug, Default)]
pub struct Logs {
    pub lines: Vec<Line>,
    /// Number of lines that are not log lines.
    pub skipped: usize,
}

impl Logs {
    /// Reads a file, or standard input for `-`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read.
    pub fn read(&mut self, path: &Path) -> Result<(), error::Error> {
        let file_error = |cause| error::Error::File { path: path.to_owned(), cause };
        let bytes = if path == Path::new("-") {
            let mut bytes = Vec::new();
            io::stdin().read_to_end(&mut bytes).map_err(file_error)?;
            bytes
        } else {
            fs::read(path).map_err(file_error)?
        };
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        self.add(&name, &String::from_utf8_lossy(&bytes));
        Ok(())
    }

    /// Adds the text of a log. If a log collector has put a prefix before a line, the last word
    /// of the prefix is the process; lines without a prefix belong to the process `name`.
    pub fn add(&mut self, name: &str, text: &str) {
        for (index, line) in text.lines().enumerate() {
            let start = line
                .find("ts=")
                .filter(|at| *at == 0 || line[..*at].ends_with(char::is_whitespace));
            let fields = start.and_then(|at| parse(&line[at..]));
            let Some((fields, at)) = fields.zip(start) else {
                self.skipped += usize::from(!line.trim().is_empty());
                continue;
            };
            let process = line[..at].split_whitespace().last().unwrap_or(name).to_owned();
            self.lines.push(Line { process, number: index + 1, fields });
        }
    }

    /// Returns the lines of a request by process. The lines of each process follow the last line
    /// of each of `CONTEXT_EVENTS` that the process wrote before them.
    pub fn request_lines(&self, id: &str) -> Vec<&Line> {
        let mut processes: BTreeMap<&str, Vec<&Line>> = BTreeMap::new();
        for line in &self.lines {
            processes.entry(&line.process).or_default().push(line);
        }
        let mut request_lines = Vec::new();
        for lines in processes.values() {
            let is_of_request = |line: &&&Line| line.get("id").or(line.get("request")) == Some(id);
            let Some(first) = lines.iter().position(|line| is_of_request(&line)) else { continue };
            let last_before = |event: &&str| {
                lines[..first].iter().rposition(|line| line.get("event") == Some(*event))
            };
            let mut context: Vec<usize> = CONTEXT_EVENTS.iter().filter_map(last_before).collect();
            context.sort_unstable();
            request_lines.extend(context.into_iter().map(|index| lines[index]));
            request_lines.extend(lines[first..].iter().filter(is_of_request).copied());
        }
        request_lines
    }
}

/// Parses the fields of a line. Returns `None` if it is not a log line.
fn parse(line: &str) -> Option<Vec<(String, String)>> {
    let mut fields = Vec::new();
    let mut rest = line.trim();
    while !rest.is_empty() {
        let (key, after) = rest.split_once('=')?;
        if key.is_empty() || key.contains(char::is_whitespace) {
            return None;
        }
        let (value, after) = match after.strip_prefix('"') {
            Some(quoted) => unquote(quoted)?,
            None => {
                let end = after.find(char::is_whitespace).unwrap_or(after.len());
                (after[..end].to_owned(), &after[end..])
            }
        };
        fields.push((key.to_owned(), value));
        rest = after.trim_start();
    }
    Some(fields)
}

/// Returns the value before the closing quote, unescaped, and the text after the quote.
fn unquote(quoted: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut chars = quoted.char_indices();
    while let Some((at, char)) = chars.next() {
        match char {
            '"' => return Some((value, &quoted[at + 1..])),
            '\\' => match chars.next()?.1 {
                'n' => value.push('\n'),
                escaped => value.push(escaped),
            },
            char => value.push(char),
        }
    }
    None
}

/// Returns the report as a text table.
pub fn text(request_lines: &[&Line], skipped: usize) -> String {
    let rows = request_lines.iter().map(|line| {
        let details = line.fields.iter().filter(|(key, _)| !COMMON_FIELDS.contains(&key.as_str()));
        let details: Vec<String> = details.map(|(key, value)| format!("{key}={value}")).collect();
        let field = |name: &str| line.get(name).unwrap_or_default().to_owned();
        vec![line.process.clone(), field("ts"), field("event"), details.join(" ")]
    });
    let mut text = output::table(&["process", "time", "event", "details"], rows.collect());
    if skipped > 0 {
        text.push_str(&format!("\n{} skipped, no log lines\n", output::pluralize(skipped, "line")));
    }
    text
}

/// Returns the report as JSON.
pub fn json(id: &str, request_lines: &[&Line], skipped: usize) -> Value {
    let lines: Vec<Value> = request_lines
        .iter()
        .map(|line| {
            let fields: BTreeMap<&str, &str> =
                line.fields.iter().map(|(key, value)| (key.as_str(), value.as_str())).collect();
            json!({"process": line.process, "line": line.number, "fields": fields})
        })
        .collect();
    json!({"request": id, "story": lines, "skipped": skipped})
}
