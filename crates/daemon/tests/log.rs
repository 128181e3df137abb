//! Bounds on the volume of logs.

use std::time::Duration;

use daemon::log::{LineLimit, MAX_LINES_PER_S, MAX_SUCCESS_LINES_PER_S};

const FIRST: Duration = Duration::from_millis(300);

fn admitted(volume: &LineLimit, elapsed: Duration, is_ordinary: bool, lines: u64) -> u64 {
    (0..lines).filter(|_| volume.admits(elapsed, is_ordinary)).count() as u64
}

/// Guards against logs that grow with the load, and against lines of failures that are left out
/// while requests that went well are logged.
#[test]
fn ordinary_lines_are_left_out_first() {
    let volume = LineLimit::new();
    assert_eq!(admitted(&volume, FIRST, true, 5_000), MAX_SUCCESS_LINES_PER_S);
    assert_eq!(admitted(&volume, FIRST, false, 5_000), MAX_LINES_PER_S - MAX_SUCCESS_LINES_PER_S);
    assert_eq!(admitted(&volume, FIRST, true, 10), 0);
    let next = Duration::from_secs(1);
    assert_eq!(admitted(&volume, next, true, 10), 10, "each second has its own bound");
}
