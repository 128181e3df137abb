//! Limit on the number of log lines.

use std::time::Duration;

use daemon::log::{LineLimit, MAX_LINES_PER_S, MAX_SUCCESS_LINES_PER_S};

const FIRST: Duration = Duration::from_millis(300);

fn admitted(limit: &LineLimit, elapsed: Duration, is_success: bool, lines: u64) -> u64 {
    (0..lines).filter(|_| limit.admits(elapsed, is_success)).count() as u64
}

/// Guards against logs that grow with the load, and against lines of failures that are left out
/// while successful requests are logged.
#[test]
fn lines_of_successful_requests_are_left_out_first() {
    let limit = LineLimit::new();
    assert_eq!(admitted(&limit, FIRST, true, 5_000), MAX_SUCCESS_LINES_PER_S);
    assert_eq!(admitted(&limit, FIRST, false, 5_000), MAX_LINES_PER_S - MAX_SUCCESS_LINES_PER_S);
    assert_eq!(admitted(&limit, FIRST, true, 10), 0);
    let next = Duration::from_secs(1);
    assert_eq!(admitted(&limit, next, true, 10), 10, "each second has its own limit");
}
