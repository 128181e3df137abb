//! Placement and the view of hosts.

use std::collections::HashMap;

use bytes::Bytes;
use fleet::{View, placement, view};
use quickcheck::quickcheck;
use wire::host;

fn record(index: u8, speed: u8, leaving: bool) -> host::Record {
    host::Record {
        host: Bytes::from(format!("replica-{index}")),
        role: host::Role::Agent,
        address: ([10, 0, 0, index], 7000).into(),
        availability_zone: Bytes::from(format!("zone-{}", index % 4)),
        pool: Bytes::from("appraisal"),
        speed: 50 + u32::from(speed),
        state: if leaving { host::State::Leaving } else { host::State::Live },
    }
}

fn records(hosts: &[(u8, bool)]) -> Vec<host::Record> {
    let numbered = hosts.iter().enumerate().take(60);
    numbered.map(|(index, &(speed, leaving))| record(index as u8, speed, leaving)).collect()
}

fn build_view(records: &[host::Record]) -> View {
    let mut view = View::default();
    view.set_hosts(records);
    view
}

fn names(view: &View, keys: &[view::Key]) -> Vec<Bytes> {
    keys.iter().map(|&key| view.get(key).unwrap().record.host.clone()).collect()
}

fn order(view: &View, affinity: u64) -> Vec<Bytes> {
    names(view, &placement::rank_agents(view, b"appraisal", affinity, b"zone-1"))
}

quickcheck! {
    /// Guards against prompts that move between two remaining hosts because a third one leaves.
    fn the_order_of_two_hosts_does_not_depend_on_a_third(hosts: Vec<(u8, bool)>, affinity: u64, index: usize) -> bool {
        let all = records(&hosts);
        if all.is_empty() {
            return true;
        }
        let index = index % all.len();
        let mut remaining = all.clone();
        let removed = remaining.remove(index);
        let mut drained = build_view(&all);
        drained.set_drains([&removed.host]);
        let mut expected = order(&build_view(&all), affinity);
        expected.retain(|name| *name != removed.host);
        order(&build_view(&remaining), affinity) == expected && order(&drained, affinity) == expected
    }

    /// Guards against processes that received the same host records in a different order and
    /// place the same prompt on different hosts.
    fn processes_with_the_same_view_agree(hosts: Vec<(u8, bool)>, affinity: u64) -> bool {
        let all = records(&hosts);
        let mut incremental = View::default();
        for end in 0..=all.len() {
            let mut part = all[..end].to_vec();
            part.reverse();
            incremental.set_hosts(&part);
        }
        order(&incremental, affinity) == order(&build_view(&all), affinity)
    }

    /// Guards against hosts that are leaving among the candidates, and against repeated choices
    /// in an order other than that of `rank_agents`.
    fn repeated_choices_follow_the_ranking(hosts: Vec<(u8, bool)>, affinity: u64) -> bool {
        let view = build_view(&records(&hosts));
        let mut chosen = Vec::new();
        while let Some(key) =
            placement::choose_agent(&view, b"appraisal", affinity, b"zone-1", |key| chosen.contains(&key))
        {
            chosen.push(key);
        }
        let active = hosts.iter().take(60).filter(|(_, leaving)| !leaving).count();
        chosen.len() == active && names(&view, &chosen) == order(&view, affinity)
    }
}

/// Guards against slow hardware that is ranked first as often as fast hardware.
#[test]
fn first_ranks_are_in_proportion_to_speed() {
    let mut hosts: Vec<_> = (0..3).map(|index| record(index, 0, false)).collect();
    for (host, speed) in hosts.iter_mut().zip([100, 200, 300]) {
        host.speed = speed;
    }
    let view = build_view(&hosts);
    let mut first_ranks = HashMap::new();
    for affinity in 0..12_000 {
        *first_ranks.entry(order(&view, affinity)[0].clone()).or_insert(0) += 1;
    }
    for host in &hosts {
        let expected = 20 * host.speed as i32;
        assert!((first_ranks[&host.host] - expected).abs() < expected / 10, "{first_ranks:?}");
    }
}

/// Guards against lost state of a host that changes its address, and against lookups by its old
/// address.
#[test]
fn a_host_keeps_its_key_at_a_new_address() {
    let mut hosts = vec![record(1, 0, false), record(2, 0, false)];
    let mut view = build_view(&hosts);
    let key = view.by_name(b"replica-1").unwrap();
    let old = hosts[0].address;
    hosts[0].address = ([10, 0, 1, 1], 7000).into();
    view.set_hosts(&hosts);
    assert_eq!(view.by_name(b"replica-1"), Some(key));
    assert_eq!(view.by_address(hosts[0].address), Some(key));
    assert_eq!(view.by_address(old), None);
    view.set_hosts(&hosts[1..]);
    assert!(view.get(key).is_none() && view.by_name(b"replica-1").is_none());
}

/// Guards against processes that reserve different agents for short requests, and against a
/// small pool that reserves all its agents for them.
#[test]
fn reserved_agents_are_a_fixed_share_of_the_pool() {
    let all = records(&[(50, false); 18]);
    let mut reversed = all.clone();
    reversed.reverse();
    let reserved = |records: &[host::Record]| {
        let view = build_view(records);
        names(&view, &placement::reserved_for_short(&view, b"appraisal", 25))
    };
    assert_eq!(reserved(&all).len(), 4);
    assert_eq!(reserved(&all), reserved(&reversed));
    assert!(reserved(&all[..3]).is_empty());
}
