//! Prompt parts that crash each backend server which begins to answer a request with them. No two
//! requests are alike, and sound ones share their account and their other parts.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{
    MS, TestGateway,
    cluster::{Cluster, Crash},
    request,
};
use gate::{
    Event,
    event::{AttemptResult, CONTINUATION_TIME},
    quarantine,
    refusal::Reason,
    request::Request,
    suspects::Suspects,
};
use wire::time::Instant;

/// Model servers of the smallest deployment with reports of such requests.
const SERVERS: usize = 18;
/// Time after the fifth crash from which requests with the part are counted, and most of them, as
/// the platform states them for gateways that are not disturbed while the store is reachable.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const MAX_LATE_RUNS: usize = 3;
/// Parts that sound requests share with those that crash servers.
const SHARED_PARTS: [&str; 3] = ["system", "manual", "branch"];

/// Returns a request with prompt parts that no other request equals.
fn with_parts(path: &str, number: u64, parts: &[&str]) -> Request {
    let parts = parts.iter().map(|part| Bytes::copy_from_slice(part.as_bytes())).collect();
    Request { fingerprint: 1_000 + number, parts, ..request(path) }
}

/// Times between requests, and the place of the bad part among the others.
#[derive(Clone, Copy, Debug)]
struct Storm {
    path: &'static str,
    bad_period: Duration,
    sound_period: Duration,
    place: usize,
    span: Duration,
}

const STORM: Storm = Storm {
    path: "tag",
    bad_period: Duration::from_millis(700),
    sound_period: Duration::from_millis(60),
    place: 1,
    span: Duration::from_secs(30),
};

/// Sends requests with a bad part through random gateways, and sound ones that share all parts but
/// that one, some of the parts, or none.
fn play(cluster: &mut Cluster, storm: Storm, rng: &mut fastrand::Rng) {
    cluster.bad_parts = vec!["bad".into()];
    let mut bad_parts: Vec<&str> = SHARED_PARTS[..storm.place.max(1)].to_vec();
    bad_parts.insert(storm.place, "bad");
    let (end, mut next_sound) = (cluster.now + storm.span, cluster.now);
    let mut next_bad = cluster.now + storm.bad_period.mul_f64(rng.f64());
    let mut number = cluster.now.0;
    while cluster.now < end {
        let gateway = rng.usize(..cluster.gateways.len());
        number += 1;
        if cluster.now >= next_bad {
            next_bad = cluster.now + storm.bad_period.mul_f64(0.5 + rng.f64());
            cluster.send(gateway, with_parts(storm.path, number, &bad_parts));
        } else if cluster.now >= next_sound {
            next_sound = cluster.now + storm.sound_period.mul_f64(0.5 + rng.f64());
            let shared = rng.usize(..=SHARED_PARTS.len());
            let own = format!("session-{}", rng.u32(..40));
            let mut parts = SHARED_PARTS[..shared].to_vec();
            parts.push(&own);
            cluster.send(gateway, with_parts(storm.path, number, &parts));
        }
        cluster.advance(10 * MS);
    }
}

/// Returns the share of sound requests sent after a time that began to be answered, of those with
/// the first shared part.
fn begun_share(cluster: &Cluster, after: Instant) -> f64 {
    let is_counted = |sound: &&common::cluster::Sound| {
        sound.sent_at > after && sound.request.parts[0] == SHARED_PARTS[0]
    };
    let sound: Vec<_> = cluster.sound.iter().filter(is_counted).collect();
    assert!(sound.len() >= 20, "{} requests", sound.len());
    sound.iter().filter(|sound| sound.began).count() as f64 / sound.len() as f64
}

fn assert_contained(cluster: &Cluster, name: &str) {
    let late = cluster.late_runs(CONTACT_TIME, |_, _| true);
    let crashes = cluster.crashes.len();
    assert!(late <= MAX_LATE_RUNS, "{name}: {late} late requests, {crashes} crashes");
    let after = cluster.crashes.get(4).or(cluster.crashes.last()).expect("a crash");
    let share = begun_share(cluster, *after + CONTACT_TIME * 2);
    assert!(share >= 0.5, "{name}: {share:.2} of the sound requests began");
}

/// Guards against requests with one prompt part that crash server after server, however many
/// gateways they arrive at and at whatever place the part is.
#[test]
fn a_part_that_crashes_servers_is_contained() {
    for gateways in [1, 4, 28] {
        for place in 0..3 {
            let mut cluster = Cluster::new(gateways, SERVERS, Crash::BeforeFirstEvent);
            let mut rng = fastrand::Rng::with_seed(place as u64);
            play(&mut cluster, Storm { place, ..STORM }, &mut rng);
            assert_contained(&cluster, &format!("{gateways} gateways, place {place}"));
        }
    }
}

/// Guards against crashes that don't count for a part because of how they appear.
#[test]
fn a_part_is_contained_however_its_crashes_appear() {
    use Crash::{AfterFirstEvent, AfterRestart, Silent, Unframed};
    for crash in [AfterFirstEvent, AfterRestart, Silent, Unframed] {
        for path in ["tag", "resumable"] {
            let mut cluster = Cluster::new(4, SERVERS, crash);
            let mut rng = fastrand::Rng::with_seed(1);
            play(&mut cluster, Storm { path, ..STORM }, &mut rng);
            assert_contained(&cluster, &format!("{crash:?}, {path}"));
        }
    }
}

/// Guards against a burst of requests with a bad part, all of which are sent before the first
/// server has ended.
#[test]
fn a_burst_with_a_bad_part_is_contained() {
    let mut cluster = Cluster::new(4, SERVERS, Crash::BeforeFirstEvent);
    let storm = Storm { bad_period: 40 * MS, sound_period: 30 * MS, ..STORM };
    play(&mut cluster, storm, &mut fastrand::Rng::with_seed(2));
    assert_contained(&cluster, "burst");
}

/// Guards against sound requests that are refused for long since they stood beside a bad part, and
/// against callers that are told something else than that their request has not run.
#[test]
fn requests_with_a_bad_part_are_refused_at_once() {
    let mut cluster = Cluster::new(4, SERVERS, Crash::BeforeFirstEvent);
    play(&mut cluster, STORM, &mut fastrand::Rng::with_seed(3));
    let number = cluster.send(2, with_parts("tag", 1, &["system", "bad"]));
    let refusal = cluster.gateways[2].refused(number).expect("refused at once");
    assert_eq!(refusal.reason, Reason::Poison);
    assert!(refusal.retry_after.is_some());
    let number = cluster.send(2, with_parts("tag", 2, &["system", "good"]));
    cluster.advance(50 * MS);
    assert_eq!(cluster.gateways[2].reason(number), None);
}

/// Guards against verdicts that gateways lose which restart in turn, are paused or are cut off from
/// the others.
#[test]
fn a_part_stays_contained_while_gateways_are_disturbed() {
    let mut cluster = Cluster::new(4, SERVERS, Crash::BeforeFirstEvent);
    let mut rng = fastrand::Rng::with_seed(4);
    let short = Storm { span: Duration::from_secs(6), ..STORM };
    play(&mut cluster, short, &mut rng);
    cluster.paused[0] = true;
    cluster.parts[1] = 1;
    let start = cluster.now;
    for gateway in 2..4 {
        cluster.restart(gateway);
        cluster.advance(Duration::from_secs(2));
    }
    cluster.paused.fill(false);
    cluster.parts.fill(0);
    cluster.advance(CONTACT_TIME);
    play(&mut cluster, STORM, &mut rng);
    assert_contained(&cluster, "disturbed gateways");
    let late = cluster.runs.iter().filter(|(at, _)| *at > start + CONTACT_TIME).count();
    assert!(late <= MAX_LATE_RUNS, "{late} late requests");
}

/// Guards against two bad parts at the same time that share their other parts, so that neither
/// explains all ends.
#[test]
fn two_bad_parts_are_contained() {
    let mut cluster = Cluster::new(4, SERVERS, Crash::BeforeFirstEvent);
    let mut rng = fastrand::Rng::with_seed(5);
    cluster.bad_parts = vec!["bad".into(), "worse".into()];
    let mut number = 0;
    for step in 0..120 {
        for shared in [["system", "bad"], ["system", "worse"], ["system", "good"]] {
            number += 1;
            let gateway = rng.usize(..4);
            if step % 3 == 0 || shared[1] == "good" {
                cluster.send(gateway, with_parts("tag", number, &shared));
            }
            cluster.advance(60 * MS);
        }
    }
    assert_contained(&cluster, "two parts");
}

/// Guards against sound parts that are refused since servers end for other reasons.
#[test]
fn ends_for_other_reasons_accuse_no_part() {
    for seed in 0..6 {
        let mut cluster = Cluster::new(4, SERVERS, Crash::BeforeFirstEvent);
        let mut rng = fastrand::Rng::with_seed(seed);
        let quiet = Storm { bad_period: Duration::from_secs(1_000), place: 1, ..STORM };
        cluster.bad_parts = vec!["bad".into()];
        for round in 0..20 {
            let storm = Storm { span: Duration::from_millis(700), ..quiet };
            play(&mut cluster, storm, &mut rng);
            let servers = if round % 5 == 0 { 6 } else { 1 };
            (0..servers).for_each(|_| cluster.crash_other(rng.usize(..SERVERS)));
        }
        assert!(cluster.runs.is_empty(), "no request had a bad part");
        let refused: usize = cluster.gateways.iter_mut().map(count_poison).sum();
        let sent = cluster.sound.len();
        assert!(refused * 50 <= sent, "seed {seed}: {refused} of {sent} refused as poison");
    }
}

fn count_poison(gateway: &mut common::TestGateway) -> usize {
    let is_poison = |action: &&gate::Action| match action {
        gate::Action::Refuse { refusal, .. } => refusal.reason == Reason::Poison,
        _ => false,
    };
    gateway.actions.iter().filter(is_poison).count()
}

/// Number of random schedules in CI; see `stand::schedules`.
const SCHEDULES: u64 = 12;

/// Plays a storm in parts beside restarts, pauses, partitions, an unreachable store and servers that
/// end for other reasons. Returns the late requests of gateways that were not disturbed within
/// `CONTACT_TIME`, and the share of sound requests at such gateways that began.
fn run_schedule(seed: u64) -> (usize, f64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let crash = [
        Crash::BeforeFirstEvent,
        Crash::AfterFirstEvent,
        Crash::AfterRestart,
        Crash::Silent,
        Crash::Unframed,
    ][rng.usize(..5)];
    let gateways = rng.usize(1..9);
    let mut cluster = Cluster::new(gateways, rng.usize(8..30), crash);
    let storm = Storm {
        path: ["tag", "resumable", "essay"][rng.usize(..3)],
        bad_period: Duration::from_millis(rng.u64(80..1_200)),
        sound_period: Duration::from_millis(rng.u64(30..120)),
        place: rng.usize(..3),
        span: Duration::from_millis(600),
    };
    let mut disturbed: Vec<Vec<Instant>> = vec![Vec::new(); gateways];
    for _ in 0..50 {
        let gateway = rng.usize(..gateways);
        match rng.u32(..40) {
            0 => {
                cluster.restart(gateway);
                disturbed[gateway].push(cluster.now);
            }
            1 => cluster.paused[gateway] = true,
            2 => {
                let cut = rng.usize(..gateways);
                cluster.parts = (0..gateways).map(|gateway| u8::from(gateway < cut)).collect();
            }
            3..9 => {
                cluster.parts.fill(0);
                cluster.paused.fill(false);
            }
            9 => cluster.set_store(!cluster.store_up),
            10..14 => cluster.set_store(true),
            14 => cluster.crash_other(rng.usize(..8)),
            _ => {}
        }
        play(&mut cluster, storm, &mut rng);
        let is_partitioned = cluster.parts.iter().any(|part| *part != cluster.parts[0]);
        for (gateway, disturbed) in disturbed.iter_mut().enumerate() {
            if cluster.paused[gateway] || is_partitioned || !cluster.store_up {
                disturbed.push(cluster.now);
            }
        }
    }
    let is_calm = |at: Instant, gateway: usize| {
        let is_near = |since: &Instant| {
            *since + CONTACT_TIME > at && *since < at + Duration::from_millis(700)
        };
        !disturbed[gateway].iter().any(is_near)
    };
    let late = cluster.late_runs(CONTACT_TIME, is_calm);
    let after = cluster.crashes.get(4).or(cluster.crashes.last()).map(|at| *at + CONTACT_TIME * 2);
    let is_counted = |sound: &&common::cluster::Sound| {
        after.is_some_and(|after| sound.sent_at > after)
            && sound.request.parts[0] == SHARED_PARTS[0]
            && is_calm(sound.sent_at, sound.gateway)
    };
    let sound: Vec<_> = cluster.sound.iter().filter(is_counted).collect();
    let began = sound.iter().filter(|sound| sound.began).count();
    (late, if sound.len() < 20 { 1.0 } else { began as f64 / sound.len() as f64 })
}

/// Guards against late requests with a bad part, and sound ones that don't begin, in any order of
/// crashes, restarts, pauses, partitions and outages.
#[test]
fn a_part_is_contained_in_random_schedules() {
    let (count, first) = stand::schedules::read(SCHEDULES, 1);
    for seed in first..first + count {
        let (late, share) = run_schedule(seed);
        assert!(late <= MAX_LATE_RUNS, "seed {seed}: {late} late requests");
        assert!(share >= 0.5, "seed {seed}: {share:.2} of the sound requests began");
    }
}

/// Records the ends of backend servers, given by run, under requests or parts.
fn suspects(ends: &[(u64, &[u64])]) -> Suspects {
    let mut suspects = Suspects::default();
    for (key, runs) in ends {
        for run in *runs {
            let at = Instant(run * 1_000_000);
            suspects.record_end(at, *key, *run, at);
        }
    }
    suspects
}

/// Guards against a request that is refused since it was sent again after it had stood beside a bad
/// part twice.
#[test]
fn a_request_beside_a_bad_part_is_not_refused_when_it_comes_again() {
    let bad = quarantine::part_key(b"bad");
    let again = with_parts("tag", 1, &["system", "session"]);
    let now = Instant(9_000_000);
    let beside = suspects(&[(bad, &[1, 2, 3]), (again.fingerprint, &[1, 3])]);
    assert_eq!(beside.verdict(now, &again), None);
    let alone = suspects(&[(again.fingerprint, &[1, 3])]);
    assert!(alone.verdict(now, &again).is_some_and(|verdict| verdict.part.is_none()));
}

/// Guards against a shared part that stays in quarantine beside a bad one although no request
/// acquits it, and against one that is taken for sound because of the other.
#[test]
fn a_shared_part_is_not_refused_for_the_ends_of_a_bad_one() {
    let [bad, system] = [b"bad".as_slice(), b"system"].map(quarantine::part_key);
    let now = Instant(9_000_000);
    let sound = with_parts("tag", 1, &["system", "good"]);
    let both = with_parts("tag", 2, &["system", "bad"]);
    let beside = suspects(&[(bad, &[1, 2, 3]), (system, &[1, 2, 3, 4])]);
    assert_eq!(beside.verdict(now, &sound), None);
    assert!(beside.verdict(now, &both).is_some());
    let cause = suspects(&[(bad, &[1, 2, 3]), (system, &[1, 2, 3, 4, 5])]);
    assert!(cause.verdict(now, &sound).is_some_and(|verdict| verdict.part == Some(0)));
}

/// Guards against a part that many servers lost requests with at the same moment.
#[test]
fn ends_at_one_moment_count_once_for_a_part() {
    let mut suspects = Suspects::default();
    let system = quarantine::part_key(b"system");
    let at = |ms: u64| Instant(1_000_000 + ms * 1_000);
    for run in 0..9 {
        suspects.record_end(at(run * 20), system, run, at(0));
    }
    let request = with_parts("tag", 1, &["system"]);
    assert_eq!(suspects.verdict(at(200), &request), None);
    suspects.record_end(at(500), system, 9, at(400));
    assert!(suspects.verdict(at(500), &request).is_some());
    suspects.acquit_part(at(900), system, at(600));
    assert_eq!(suspects.verdict(at(900), &request), None);
}

/// Returns the ends that count against the part `system` at a gateway.
fn total(gateway: &TestGateway) -> u32 {
    gateway.machine.suspects().total(gateway.now, quarantine::part_key(b"system"))
}

/// Sends a request with the part `system` and returns its number once it was dispatched.
fn send_system(gateway: &mut TestGateway) -> u64 {
    let number = gateway.arrive(with_parts("tag", gateway.now.0, &["system"]));
    gateway.dispatched(number).expect("dispatched");
    number
}

/// Loses the connection of a request with the part `system` and lets its server be used again.
fn lose_connection(gateway: &mut TestGateway) {
    let number = send_system(gateway);
    gateway.end(number, AttemptResult::Broken);
    gateway.advance_confirmed(Duration::from_secs(4));
}

/// Guards against a part that is accused although short responses to it completed in between.
#[test]
fn a_completed_response_acquits_its_parts() {
    let mut gateway = TestGateway::with_backends(common::MODEL, 6);
    for _ in 0..4 {
        lose_connection(&mut gateway);
        assert_eq!(total(&gateway), 1);
        let number = send_system(&mut gateway);
        gateway.feed(Event::FirstEvent { number });
        gateway.advance(20 * MS);
        gateway.end(number, AttemptResult::Complete);
        assert_eq!(total(&gateway), 0);
    }
}

/// Guards against a part that is accused although a response to it ended with its connection and
/// the server went on.
#[test]
fn a_response_that_ends_with_its_connection_acquits_once_its_server_answers() {
    let mut gateway = TestGateway::with_backends(common::MODEL, 1);
    lose_connection(&mut gateway);
    let number = send_system(&mut gateway);
    gateway.feed(Event::FirstEvent { number });
    gateway.advance(20 * MS);
    gateway.end(number, AttemptResult::Unframed);
    assert_eq!(total(&gateway), 1, "the server may have ended");
    gateway.advance(100 * MS);
    let number = send_system(&mut gateway);
    gateway.feed(Event::FirstEvent { number });
    assert_eq!(total(&gateway), 0);
}

/// Guards against a part that is accused of the end of a server which answered other requests since.
#[test]
fn a_request_whose_caller_left_is_not_accused_once_its_server_answers() {
    for answers in [false, true] {
        let mut gateway = TestGateway::with_backends(common::MODEL, 1);
        let number = send_system(&mut gateway);
        gateway.feed(Event::Closed { number });
        gateway.advance(100 * MS);
        if answers {
            let number = gateway.arrive(request("tag"));
            gateway.dispatched(number).expect("dispatched");
            gateway.feed(Event::FirstEvent { number });
        }
        gateway.feed(Event::Record { id: "r0".into(), record: None });
        assert_eq!(total(&gateway), u32::from(!answers));
    }
}

/// Guards against a part that is accused of the end of a server that went on to answer it.
#[test]
fn a_response_that_went_on_accuses_no_part() {
    for (wait, ends) in [(100 * MS, 1), (CONTINUATION_TIME, 0)] {
        let mut gateway = TestGateway::with_backends(common::MODEL, 1);
        let number = send_system(&mut gateway);
        gateway.feed(Event::FirstEvent { number });
        gateway.advance(wait);
        gateway.end(number, AttemptResult::Broken);
        assert_eq!(total(&gateway), ends, "{wait:?} after the first event");
    }
}
