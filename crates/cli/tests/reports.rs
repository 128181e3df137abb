//! Tests of the reports on several processes.

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;
use cli::{clock, command, disagreements, drain, fetch, latency, options, poison, revisions};
use cli::{stragglers, trace};
use futures_util::future::{FutureExt, LocalBoxFuture, ready};
use quickcheck::quickcheck;
use wire::status;

fn status(host: &str) -> status::Status {
    status::Status { host: host.to_owned(), role: "entry".to_owned(), ..Default::default() }
}

fn host(name: &str, ready_ms_p50: f64) -> status::Host {
    let (host, pool) = (name.to_owned(), "p".to_owned());
    status::Host { host, pool, ready_ms_p50, ..Default::default() }
}

quickcheck! {
    /// Guards against a revision difference that is not reported, or is reported although all
    /// processes have the same revision.
    fn revisions_disagree_only_if_they_differ(held: Vec<Option<u8>>) -> bool {
        let statuses: Vec<_> = held.iter().map(|revision| {
            let revisions = revision.map(|revision| ("b".to_owned(), u64::from(revision)));
            status::Status { revisions: revisions.into_iter().collect(), ..status("h") }
        }).collect();
        let distinct: BTreeSet<_> = held.iter().collect();
        let reported = disagreements::revisions(&statuses);
        reported.len() == usize::from(distinct.len() > 1)
            && reported.iter().all(|branch| branch.held.len() == distinct.len())
    }

    /// Guards against a drain reported as complete while work remains, or while a process doesn't
    /// report that it is leaving.
    fn drains_are_complete_only_without_work(processes: Vec<(bool, u8, u8)>) -> bool {
        let statuses: Vec<_> = processes.iter().map(|(leaving, queued, running)| status::Status {
            leaving: *leaving,
            queued: BTreeMap::from([(1, u64::from(*queued % 2))]),
            running: u64::from(*running % 2),
            ..status("h")
        }).collect();
        let done = processes.iter().all(|(leaving, queued, running)| {
            *leaving && queued % 2 == 0 && running % 2 == 0
        });
        let drained = drain::progress("h", &statuses) == drain::Progress::Drained;
        drained == (done && !processes.is_empty()) && !finds_other_host(&statuses)
    }

    /// Guards against a trace with missing events, or with events of a host out of order.
    fn traces_are_ordered_by_host_and_time(events: Vec<Vec<(bool, u64)>>) -> bool {
        let traces: Vec<Vec<_>> = events.iter().map(|events| events.iter().map(|(host, at_us)| {
            status::Trace { host: host.to_string(), at_us: *at_us, ..Default::default() }
        }).collect()).collect();
        let count: usize = events.iter().map(Vec::len).sum();
        let merged = trace::merge(traces);
        merged.len() == count
            && merged.is_sorted_by_key(|event| (event.host.clone(), event.at_us))
    }
}

fn finds_other_host(statuses: &[status::Status]) -> bool {
    drain::progress("other", statuses) != drain::Progress::Absent
}

/// Guards against a report without the state that a host reports of itself, and against processes
/// counted for hosts that they don't list.
#[test]
fn leaving_hosts_are_listed_if_processes_disagree() {
    let mut entry = status("e");
    entry.hosts = vec![host("h", 0.0), host("agreed", 0.0)];
    let mut agent = status("h");
    agent.leaving = true;
    let reported = disagreements::leaving(&[entry, agent, status("agreed")]);
    assert_eq!(
        reported,
        [disagreements::Leaving {
            host: "h".to_owned(),
            leaving_by: vec!["h/entry".to_owned()],
            live_by: vec!["e/entry".to_owned()],
        }]
    );
}

/// Guards against a straggler that is not found in a small pool, and against a fast host listed
/// as slow.
#[test]
fn stragglers_are_ejected_or_far_slower_than_their_pool() {
    let mut entry = status("e");
    entry.hosts = vec![host("fast", 10.0), host("slow", 31.0), host("idle", 0.0)];
    entry.hosts[2].ejected = true;
    let names = |factor| -> Vec<_> {
        let found = stragglers::find(std::slice::from_ref(&entry), factor);
        found.into_iter().map(|straggler| (straggler.host, straggler.slow_by.len())).collect()
    };
    assert_eq!(names(3.0), [("idle".to_owned(), 0), ("slow".to_owned(), 1)]);
    assert_eq!(names(3.2), [("idle".to_owned(), 0)]);
}

/// Guards against a lower crash count or time that replaces a higher one of another process.
#[test]
fn fingerprints_keep_the_largest_values() {
    let with = |crashes, seconds_left| status::Status {
        quarantined: vec![status::Quarantine { fingerprint: "f".into(), crashes, seconds_left }],
        ..status("h")
    };
    let merged = poison::merge(&[with(1, 90), with(2, 10)]);
    assert_eq!(merged.len(), 1);
    assert_eq!((merged[0].crashes, merged[0].seconds_left), (2, 90));
}

/// Guards against a merged percentile below that of one of the processes.
#[test]
fn merged_percentiles_are_upper_bounds() {
    let histogram = |count, p50, p95| status::Histogram { count, p50, p95, ..Default::default() };
    let parts = vec![vec![histogram(3, 5.0, 6.0)], vec![histogram(4, 1.0, 9.0)]];
    let rows = latency::merge(parts, None, None);
    assert_eq!(rows.len(), 1);
    assert_eq!((rows[0].count, rows[0].p50, rows[0].p95), (7, 5.0, 9.0));
}

/// Guards against a process that counts as up to date although it refused the branch or never
/// had it.
#[test]
fn processes_without_the_revision_are_behind() {
    let with = |revision| status::Status {
        revisions: BTreeMap::from([("b".to_owned(), revision)]),
        ..status("h")
    };
    let mut refused = status("r");
    refused.refused_revisions.insert("b".to_owned(), "5: bad".to_owned());
    let behind = revisions::processes_behind(&[with(5), with(6), with(4), refused], "b", 5);
    assert_eq!(behind, ["h/entry", "r/entry (refused: 5: bad)"]);
}

/// Source that returns one of the given statuses for each poll, then fails.
struct StatusSequence(Cell<usize>, Vec<status::Status>);

impl fetch::Source for StatusSequence {
    fn get<'a>(
        &'a self,
        _address: &'a str,
        _path: &'a str,
    ) -> LocalBoxFuture<'a, Result<Bytes, fetch::Cause>> {
        let poll = self.0.replace(self.0.get() + 1);
        let status = self.1.get(poll).ok_or(fetch::Cause::Status(503));
        ready(status.map(|status| serde_json::to_vec(status).unwrap().into())).boxed_local()
    }
}

/// Clock that advances only by waits.
#[derive(Default)]
struct SimulatedClock(Cell<Duration>);

impl clock::Clock for SimulatedClock {
    fn elapsed(&self) -> Duration {
        self.0.get()
    }

    fn wait(&self, duration: Duration) -> LocalBoxFuture<'_, ()> {
        self.0.set(self.0.get() + duration);
        ready(()).boxed_local()
    }
}

/// Guards against a host that is reported as drained although it stopped responding with work in
/// progress, and against a watch that continues after its time limit.
#[test]
fn unresponsive_hosts_are_not_drained() {
    let args = ["watch-drain", "--at", "h:1", "--within", "7", "--interval-ms", "2000", "h"];
    let options = options::parse(args.map(Into::into)).unwrap();
    let source = StatusSequence(Cell::new(0), vec![status::Status { running: 1, ..status("h") }]);
    let clock = SimulatedClock::default();
    let run = command::run(&options, &source, &clock);
    let report = run.now_or_never().unwrap().unwrap();
    let error = report.error.unwrap();
    assert_eq!(error.code(), cli::exit_codes::Code::Failed);
    assert!(error.to_string().contains("503"), "{error}");
    assert_eq!(clock.0.get(), Duration::from_secs(7));
    assert_eq!(source.0.get(), 5);
}
