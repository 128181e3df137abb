//! Levels of the log, and the limit on its lines.

use std::time::Duration;

use daemon::log::{self, LineLimit, MAX_LINES_PER_S, MAX_SUCCESS_LINES_PER_S};

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

/// Guards against decisions that are logged but left out by the level of their crate.
#[test]
fn decisions_of_gateways_and_agents_are_logged() {
    use tracing_subscriber::layer::SubscriberExt;

    let subscriber = tracing_subscriber::registry().with(log::levels("info"));
    tracing::subscriber::with_default(subscriber, || {
        assert!(tracing::enabled!(target: "gate::machine::responses", tracing::Level::INFO));
        assert!(tracing::enabled!(target: "agent::progress", tracing::Level::INFO));
        assert!(tracing::enabled!(target: "daemon::gateway", tracing::Level::INFO));
        assert!(!tracing::enabled!(target: "hyper", tracing::Level::INFO));
    });
}
