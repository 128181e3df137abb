//! Processor time, memory and loopback traffic as the system counts them.

use std::fs;

/// Clock ticks in a second, in which processor time is counted.
const TICKS: f64 = 100.0;

/// Processor time of a process from some moment on.
pub struct Usage {
    pid: u32,
    seconds: f64,
}

impl Usage {
    /// Starts to count the time of a process.
    pub fn of(pid: u32) -> Usage {
        Usage { pid, seconds: seconds(pid) }
    }

    /// Returns the seconds spent since then.
    pub fn spent(&self) -> f64 {
        seconds(self.pid) - self.seconds
    }
}

fn seconds(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The fields after the command's closing parenthesis; user and system time are 14 and 15.
    let fields = text.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    ticks.filter_map(|ticks| ticks.parse::<f64>().ok()).sum::<f64>() / TICKS
}

/// Returns the resident memory of a process.
pub fn resident_kb(pid: u32) -> i64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|text| text.trim().split(' ').next()?.parse().ok()).unwrap_or(0)
}

/// Returns the bytes that passed the loopback interface, with headers.
pub fn loopback_bytes() -> u64 {
    let text = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    line.and_then(|text| text.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
