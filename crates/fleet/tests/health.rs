//! Outlier ejection.

use std::time::Duration;

use bytes::Bytes;
use fleet::{
    Health, View,
    health::Context,
    view::{self, Key},
};
use quickcheck::quickcheck;
use wire::{host, time::Instant};

fn build_view(count: u8, leaving: &[u8]) -> View {
    let records: Vec<_> = (0..count)
        .map(|index| host::Record {
            host: Bytes::from(format!("replica-{index:02}")),
            role: host::Role::Agent,
            address: ([10, 0, 0, index], 7000).into(),
            availability_zone: Bytes::new(),
            pool: Bytes::from("appraisal"),
            speed: 100,
            state: match leaving.contains(&index) {
                true => host::State::Leaving,
                false => host::State::Live,
            },
        })
        .collect();
    let mut view = view::View::default();
    view.set_hosts(&records);
    view
}

fn agents(view: &View) -> Vec<Key> {
    view.agents(b"appraisal").to_vec()
}

fn at(ms: u64) -> Instant {
    Instant(ms * 1000)
}

quickcheck! {
    /// Guards against ejections of more than the allowed share of a pool, also while hosts leave
    /// and the share is lowered.
    fn ejections_stay_within_the_allowed_share(steps: Vec<(u8, u8, u16)>, percent: u8) -> bool {
        let mut view = build_view(20, &[]);
        let mut health = Health::default();
        let mut percent = u32::from(percent % 101);
        let mut leaving = Vec::new();
        let mut now = 0;
        let keys = agents(&view);
        for (agent, kind, ms) in steps {
            now += u64::from(ms);
            let key = keys[usize::from(agent) % keys.len()];
            let context = Context { now: at(now), view: &view, max_percent: percent };
            match kind % 16 {
                0..8 => health.record_failure(context, key),
                8..11 => health.record_withdrawal(context, key, Duration::from_secs(5)),
                11..13 => health.record_offer(at(now), key),
                13 => health.record_ready(context, key, Duration::from_millis(u64::from(ms))),
                14 => {
                    leaving.push(agent % 20);
                    view = build_view(20, &[]);
                    let names: Vec<_> =
                        leaving.iter().map(|i| Bytes::from(format!("replica-{i:02}"))).collect();
                    view.set_drains(&names);
                    health.refresh(&view, |_| percent);
                }
                _ => {
                    percent = percent.saturating_sub(5);
                    health.refresh(&view, |_| percent);
                }
            }
            let active = keys.iter().filter(|&&key| view.accepts_work(key));
            let ejected = active.clone().filter(|&&key| health.is_ejected(key)).count();
            if ejected * 100 > active.count() * percent as usize {
                return false;
            }
        }
        true
    }
}

/// Guards against agents that stay ejected after they recovered, and against failing agents that
/// get requests again too soon.
#[test]
fn an_ejected_agent_is_readmitted_by_a_probe() {
    let view = build_view(6, &[]);
    let key = agents(&view)[0];
    let mut health = Health::default();
    let context = |ms| Context { now: at(ms), view: &view, max_percent: 34 };
    for _ in 0..3 {
        assert!(health.is_eligible(at(0), key));
        health.record_failure(context(0), key);
    }
    assert!(!health.is_eligible(at(999), key) && health.is_eligible(at(1000), key));
    health.record_offer(at(1000), key);
    assert!(!health.is_eligible(at(1001), key), "one probe at a time");
    health.record_failure(context(1100), key);
    assert!(
        !health.is_eligible(at(3099), key) && health.is_eligible(at(3100), key),
        "time doubles"
    );
    health.record_offer(at(3100), key);
    health.record_ready(context(3200), key, Duration::from_millis(100));
    assert!(!health.is_ejected(key));
    for _ in 0..3 {
        health.record_failure(context(200_000), key);
    }
    assert!(health.is_eligible(at(201_000), key), "a long time in service undoes the doublings");
}

/// Guards against slow or unresponsive agents that stay in placement because none of their
/// requests fails.
#[test]
fn slow_and_unresponsive_agents_are_ejected() {
    let view = build_view(6, &[]);
    let keys = agents(&view);
    let mut health = Health::default();
    for round in 0..24 {
        let context = Context { now: at(round * 200), view: &view, max_percent: 34 };
        for &key in &keys[2..] {
            health.record_ready(context, key, Duration::from_millis(20));
        }
        health.record_ready(context, keys[0], Duration::from_millis(900));
        health.record_withdrawal(context, keys[1], Duration::from_millis(25));
    }
    let ejected: Vec<_> = keys.iter().map(|&key| health.is_ejected(key)).collect();
    assert_eq!(ejected, [true, true, false, false, false, false]);
}
