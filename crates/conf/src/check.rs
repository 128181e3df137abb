//! Errors found in settings, all of them at once.

use std::fmt;

/// One error: where it is, what was found and what is allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// File path or branch name.
    pub file: String,
    pub section: String,
    pub key: String,
    pub value: String,
    /// What is allowed, with unit and range.
    pub allowed: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Error { file, section, key, value, allowed } = self;
        write!(f, "{file}: [{section}] {key} = {value:?}: allowed is {allowed}")
    }
}
