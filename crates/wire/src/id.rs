//! Identifiers of processes, requests and grants.

use std::{fmt, num, str};

use serde::{Deserialize, Serialize};

/// One run of a process: a random number chosen at its start, which distinguishes a replacement
/// on the same host from the process it replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Process(pub u64);

/// A request, numbered by the entry process that received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Request {
    pub process: Process,
    pub seq: u64,
}

/// A grant number. Numbers rise within an agent process and are never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Grant {
    pub process: Process,
    pub seq: u64,
}

macro_rules! text_form {
    ($name:ident) => {
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}-{:x}", self.process.0, self.seq)
            }
        }

        impl str::FromStr for $name {
            type Err = num::ParseIntError;

            fn from_str(text: &str) -> Result<$name, num::ParseIntError> {
                let (process, seq) = text.split_once('-').unwrap_or((text, ""));
                let process = Process(u64::from_str_radix(process, 16)?);
                Ok($name { process, seq: u64::from_str_radix(seq, 16)? })
            }
        }
    };
}

text_form!(Request);
text_form!(Grant);
