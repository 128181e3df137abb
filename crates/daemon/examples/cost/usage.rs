//! Processor time, memory and loopback traffic as the system counts them.

use std::fs;

/// Clock ticks in a second, the unit of processor time in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Processor time of a process since a start time.
pub struct Usage {
    pid: u32,
    start_seconds: f64,
}

impl Usage {
    /// Starts to count the processor time of a process.
    pub fn start(pid: u32) -> Usage {
        Usage { pid, start_seconds: processor_seconds(pid) }
    }

    /// Returns the processor time in seconds since the start.
    pub fn used_seconds(&self) -> f64 {
        processor_seconds(self.pid) - self.start_seconds
    }
}

fn processor_seconds(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The fields after the closing parenthesis of the command start with field 3; user and system
    // time are fields 14 and 15.
    let fields = text.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    ticks.filter_map(|ticks| ticks.parse::<f64>().ok()).sum::<f64>() / TICKS_PER_SECOND
}

/// Returns the resident memory of a process.
pub fn resident_kb(pid: u32) -> i64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|text| text.trim().split(' ').next()?.parse().ok()).unwrap_or(0)
}

/// Returns the bytes received on the loopback interface, with headers.
pub fn loopback_bytes() -> u64 {
    let text = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    line.and_then(|text| text.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
