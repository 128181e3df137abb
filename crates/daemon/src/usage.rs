//! Memory that the process takes.

use std::fs;

const KIBIBYTE: u64 = 1 << 10;

/// Returns the resident memory of the process in bytes, if the system states it.
pub fn resident_bytes() -> Option<u64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kibibytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kibibytes * KIBIBYTE)
}
