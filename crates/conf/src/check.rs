//! Errors found in settings. All errors of a document are reported together.

use std::fmt;

/// Longest text that an error repeats, in characters; longer ones are truncated.
const MAX_SHOWN_CHARS: usize = 120;

/// Most errors reported for one document; a binary file could otherwise yield one for each line.
const MAX_ERRORS: usize = 1_000;

/// One error: its location, the value found and the values allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// File path or branch name.
    pub file: String,
    pub section: String,
    pub key: String,
    pub value: String,
    /// Allowed values, with unit and range.
    pub allowed: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Error { file, section, key, value, allowed } = self;
        write!(f, "{file}: [{section}] {key} = {value:?}: allowed is {allowed}")
    }
}

/// Collects the errors of one document.
#[derive(Debug)]
pub(crate) struct Report {
    file: String,
    errors: Vec<Error>,
}

impl Report {
    /// Returns an empty report about `file`.
    pub(crate) fn new(file: &str) -> Report {
        Report { file: shorten(file), errors: Vec::new() }
    }

    /// Adds one error.
    pub(crate) fn add(&mut self, section: &str, key: &str, value: &str, allowed: &str) {
        if self.errors.len() >= MAX_ERRORS {
            return;
        }
        self.errors.push(Error {
            file: self.file.clone(),
            section: shorten(section),
            key: shorten(key),
            value: shorten(value),
            allowed: allowed.to_owned(),
        });
    }

    /// Returns `value` if nothing was reported.
    pub(crate) fn finish<T>(self, value: Option<T>) -> Result<T, Vec<Error>> {
        match value {
            Some(value) if self.errors.is_empty() => Ok(value),
            _ => Err(self.errors),
        }
    }
}

fn shorten(text: &str) -> String {
    text.chars().take(MAX_SHOWN_CHARS).collect()
}
