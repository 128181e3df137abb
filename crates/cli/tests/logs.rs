//! Tests of the lines of a request in saved logs.

use cli::{attempts, logs::Logs};

const LOGS: &str = r#"
   0.01 front-1 ts=2026-10-04T09:50:50Z level=info event=started host=front-1
   0.02 front-1 ts=2026-10-04T09:50:51Z level=info event=configuration_read version=1
   0.03 front-2 ts=2026-10-04T09:50:40Z level=info event=configuration_read version=2
   0.04 front-1 ts=2026-10-04T09:50:52Z level=warn event=store_lost error="receive 10.0.0.1:8129: \"timed out\""
   0.05 front-1 ts=2026-10-04T09:50:49Z level=info event=refused id=a1 reason=stale age_ms=5010
panicked at src/main.rs
   0.06 front-2 ts=2026-10-04T09:50:41Z level=info event=answered id=b2 replica=i-1 status=200
   0.07 front-1 ts=2026-10-04T09:50:53Z level=info event=store_reached revision=7
"#;

fn events<'a>(logs: &'a Logs, id: &str) -> Vec<(&'a str, &'a str)> {
    let lines = logs.request_lines(id);
    lines.iter().map(|line| (line.process.as_str(), line.get("event").unwrap_or(""))).collect()
}

/// Guards against a report without the state of the process before the request, and against one
/// ordered by time: a host's clock may be set back, and clocks of hosts differ.
#[test]
fn request_lines_follow_earlier_state_changes_of_their_process() {
    let mut logs = Logs::default();
    logs.add("all", LOGS);
    assert_eq!(
        events(&logs, "a1"),
        [
            ("front-1", "started"),
            ("front-1", "configuration_read"),
            ("front-1", "store_lost"),
            ("front-1", "refused"),
        ]
    );
    assert_eq!(events(&logs, "b2"), [("front-2", "configuration_read"), ("front-2", "answered")]);
    assert!(logs.request_lines("c3").is_empty());
    assert_eq!(logs.skipped, 1);
    let error = logs.request_lines("a1")[2].get("error");
    assert_eq!(error, Some("receive 10.0.0.1:8129: \"timed out\""));
}

/// Guards against lines without a collector's prefix that are skipped or have no process. Each
/// process then has its own file, and the file name gives the process.
#[test]
fn lines_without_prefix_belong_to_the_process_of_the_file() {
    let mut logs = Logs::default();
    logs.add("front-9", "ts=1 level=info event=refused id=a1 reason=overload\nts=2 x\n");
    assert_eq!(events(&logs, "a1"), [("front-9", "refused")]);
    assert_eq!(logs.skipped, 1, "a field without a value");
}

/// Guards against a report from which one can't tell what became of each attempt of a hedged
/// request, and against a cancelled attempt that counts as the one that answered.
#[test]
fn both_attempts_of_a_hedged_request_are_shown() {
    let mut logs = Logs::default();
    logs.add(
        "front-1",
        "ts=1 level=info event=hedge id=a1 first=i-1 second=i-2 waited_ms=71 quantile_ms=70\n\
         ts=2 level=info event=hedge_ended id=a1 replica=i-2 cancelled=i-1 how=answered\n\
         ts=3 level=info event=answered id=a1 replica=i-2 attempt=2\n\
         ts=4 level=info event=hedge id=b2 first=i-3 second=i-1 waited_ms=80 quantile_ms=70\n\
         ts=5 level=info event=attempt_failed id=b2 replica=i-1 how=rejected attempt=2\n",
    );
    let ends = |id| {
        let attempts = attempts::find(&logs.request_lines(id)).into_iter();
        let ends = attempts.map(|a| (a.server, a.hedged_after_ms.is_some(), a.end));
        ends.collect::<Vec<_>>()
    };
    let end = |server: &str, is_hedge, end: &str| (server.to_owned(), is_hedge, end.to_owned());
    assert_eq!(ends("a1"), [end("i-1", false, "cancelled"), end("i-2", true, "answered")]);
    assert_eq!(ends("b2"), [end("i-3", false, "open"), end("i-1", true, "rejected")]);
}
