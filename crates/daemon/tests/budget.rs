//! Budget of memory and connections that the callers of one process share.

use std::time::Duration;

use daemon::budget::{Budget, Closed, Full, Key, Limits, Stage};
use wire::time::Instant;

const MIB: u64 = 1 << 20;
const LIMITS: Limits = Limits { bytes: 20 * MIB, connections: 100 };

fn after(ms: u64) -> Instant {
    Instant(1_000_000) + Duration::from_millis(ms)
}

fn open(budget: &mut Budget, now: Instant) -> Key {
    budget.open(now).expect("there is room").0
}

/// Opens connections that take so many bytes each.
fn gather(budget: &mut Budget, now: Instant, count: usize, bytes: u64) -> Vec<Key> {
    let take = |budget: &mut Budget| {
        let key = open(budget, now);
        budget.take(now, key, bytes).expect("there is room");
        key
    };
    (0..count).map(|_| take(budget)).collect()
}

fn keys(closed: &[Closed]) -> Vec<Key> {
    closed.iter().map(|(key, _)| *key).collect()
}

/// Guards against an ordinary request that finds no room beside large bodies which don't end.
#[test]
fn an_ordinary_request_gets_the_room_of_a_body_that_stands_still() {
    let mut budget = Budget::new(LIMITS);
    let crowd = gather(&mut budget, after(0), 14, MIB);
    let small = gather(&mut budget, after(5), 80, 16 << 10);
    let ordinary = open(&mut budget, after(10));
    while let Ok(closed) = budget.take(after(10), ordinary, 60 << 10) {
        if let Some(key) = keys(&closed).first() {
            assert!(crowd.contains(key), "a small one was closed for {ordinary:?}");
            return;
        }
    }
    panic!("the request was refused beside {} small ones", small.len());
}

/// Guards against a crowd whose newcomers close the connections of ordinary callers.
#[test]
fn a_large_body_closes_nobody_who_takes_less() {
    let mut budget = Budget::new(LIMITS);
    let ordinary = gather(&mut budget, after(0), 60, 150 << 10);
    for key in &ordinary {
        budget.enter(after(100), *key, Stage::Request);
    }
    let newcomer = open(&mut budget, after(0));
    for _ in 0..20 {
        if let Ok(closed) = budget.take(after(100), newcomer, MIB) {
            assert!(closed.is_empty(), "{closed:?}");
        }
    }
    assert!(budget.connections() > ordinary.len());
}

/// Guards against an ordinary request that gives way to a crowd since its connection was idle before.
#[test]
fn the_time_of_a_request_counts_from_its_first_byte() {
    let mut budget = Budget::new(LIMITS);
    let [first, second] = [0, 0].map(|ms| open(&mut budget, after(ms)));
    let crowd = gather(&mut budget, after(59_000), 13, MIB);
    budget.take(after(59_990), first, MIB).expect("there is room");
    let closed = budget.take(after(60_000), second, 2 * MIB).expect("the crowd gives way");
    assert!(!closed.is_empty());
    assert!(keys(&closed).iter().all(|key| crowd.contains(key)), "{closed:?}");
}

/// Guards against requests that are cut while they may run.
#[test]
fn complete_requests_do_not_give_way() {
    let mut budget = Budget::new(LIMITS);
    for key in gather(&mut budget, after(0), 14, MIB) {
        budget.enter(after(1), key, Stage::Answer);
    }
    let newcomer = open(&mut budget, after(60_000));
    assert_eq!(budget.take(after(60_000), newcomer, 2 * MIB), Err(Full));
}

/// Guards against responses that are cut though their callers read them.
#[test]
fn only_responses_that_are_not_read_give_way() {
    let mut budget = Budget::new(LIMITS);
    let readers = gather(&mut budget, after(0), 14, MIB);
    for (n, key) in readers.iter().enumerate() {
        let last_read = if n == 3 { 0 } else { 1_900 };
        budget.enter(after(last_read), *key, Stage::Delivery);
    }
    let newcomer = open(&mut budget, after(2_000));
    let closed = loop {
        let closed = budget.take(after(2_000), newcomer, 100 << 10).expect("one gives way");
        if !closed.is_empty() {
            break closed;
        }
        assert!(budget.used() <= LIMITS.bytes);
    };
    assert_eq!(keys(&closed), [readers[3]]);
}

/// Guards against a process that has no descriptors left since connections stay open.
#[test]
fn a_connection_that_stands_still_gives_way_to_a_new_one() {
    let mut budget = Budget::new(LIMITS);
    let first = open(&mut budget, after(0));
    for n in 1..LIMITS.connections as u64 {
        open(&mut budget, after(n));
    }
    let (_, closed) = budget.open(after(500)).expect("one gives way");
    assert_eq!(keys(&closed), [first]);
    assert_eq!(budget.connections(), LIMITS.connections);
}

/// Guards against a new connection that is accepted beyond the limit while all others are at work.
#[test]
fn a_connection_is_refused_if_all_others_are_at_work() {
    let mut budget = Budget::new(LIMITS);
    for key in gather(&mut budget, after(0), LIMITS.connections, 1) {
        budget.enter(after(1), key, Stage::Answer);
    }
    assert_eq!(budget.open(after(10_000)), Err(Full));
    assert_eq!(budget.connections(), LIMITS.connections);
}

/// Guards against bytes that are counted on after they were given back, in any order of events.
#[test]
fn random_schedules_keep_the_limits() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut budget = Budget::new(LIMITS);
        let mut keys: Vec<Key> = Vec::new();
        for step in 0..2_000 {
            let now = after(step * 7);
            let key = keys.get(rng.usize(..keys.len().max(1))).copied();
            match (rng.u8(..6), key) {
                (0, _) => keys.extend(budget.open(now).map(|(key, _)| key)),
                (1 | 2, Some(key)) => drop(budget.take(now, key, rng.u64(1..MIB))),
                (3, Some(key)) => budget.give_back(key, rng.u64(1..MIB)),
                (4, Some(key)) => {
                    let stages = [Stage::Request, Stage::Answer, Stage::Delivery];
                    budget.enter(now, key, stages[rng.usize(..3)]);
                }
                (5, Some(key)) => budget.finish(now, key),
                _ => {}
            }
            assert!(budget.used() <= LIMITS.bytes, "seed {seed}, step {step}");
            assert!(budget.connections() <= LIMITS.connections, "seed {seed}, step {step}");
        }
        for key in keys {
            budget.close(key);
        }
        assert_eq!((budget.used(), budget.connections()), (0, 0), "seed {seed}");
    }
}
