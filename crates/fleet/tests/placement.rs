//! Placement and the view it reads.

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

fn view_of(records: &[host::Record]) -> View {
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
    /// Guards against prompts that move between engines that stay because a third one leaves.
    fn the_order_of_two_hosts_does_not_depend_on_a_third(hosts: Vec<(u8, bool)>, affinity: u64, gone: usize) -> bool {
        let all = records(&hosts);
        if all.is_empty() {
            return true;
        }
        let gone = gone % all.len();
        let mut rest = all.clone();
        let removed = rest.remove(gone);
        let mut drained = view_of(&all);
        drained.set_drains([&removed.host]);
        let mut expected = order(&view_of(&all), affinity);
        expected.retain(|name| *name != removed.host);
        order(&view_of(&rest), affinity) == expected && order(&drained, affinity) == expected
    }

    /// Guards against processes that learned of the same hosts in another order and place the
    /// same prompt elsewhere.
    fn processes_with_the_same_view_agree(hosts: Vec<(u8, bool)>, affinity: u64) -> bool {
        let all = records(&hosts);
        let mut late = View::default();
        for end in 0..=all.len() {
            let mut part = all[..end].to_vec();
            part.reverse();
            late.set_hosts(&part);
        }
        order(&late, affinity) == order(&view_of(&all), affinity)
    }

    /// Guards against candidates that leave, and against a walk that differs from the order.
    fn the_walk_visits_each_live_host_once(hosts: Vec<(u8, bool)>, affinity: u64) -> bool {
        let view = view_of(&records(&hosts));
        let mut walk = Vec::new();
        while let Some(key) =
            placement::choose_agent(&view, b"appraisal", affinity, b"zone-1", |key| walk.contains(&key))
        {
            walk.push(key);
        }
        let live = hosts.iter().take(60).filter(|(_, leaving)| !leaving).count();
        walk.len() == live && names(&view, &walk) == order(&view, affinity)
    }
}

/// Guards against slow hardware that gets as many first places as fast hardware.
#[test]
fn first_places_follow_the_speed_class() {
    let mut hosts: Vec<_> = (0..3).map(|index| record(index, 0, false)).collect();
    for (host, speed) in hosts.iter_mut().zip([100, 200, 300]) {
        host.speed = speed;
    }
    let view = view_of(&hosts);
    let mut places = HashMap::new();
    for affinity in 0..12_000 {
        *places.entry(order(&view, affinity)[0].clone()).or_insert(0) += 1;
    }
    for host in &hosts {
        let expected = 20 * host.speed as i32;
        assert!((places[&host.host] - expected).abs() < expected / 10, "{places:?}");
    }
}

/// Guards against lost state of a host that moves, and against lookups by an old address.
#[test]
fn a_host_keeps_its_key_at_a_new_address() {
    let mut hosts = vec![record(1, 0, false), record(2, 0, false)];
    let mut view = view_of(&hosts);
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

/// Guards against processes that keep different agents for short requests, and against a
/// small pool that loses its only agents to them.
#[test]
fn kept_agents_are_a_fixed_part_of_the_pool() {
    let all = records(&[(50, false); 18]);
    let mut reversed = all.clone();
    reversed.reverse();
    let kept = |records: &[host::Record]| {
        let view = view_of(records);
        names(&view, &placement::reserved_for_short(&view, b"appraisal", 25))
    };
    assert_eq!(kept(&all).len(), 4);
    assert_eq!(kept(&all), kept(&reversed));
    assert!(kept(&all[..3]).is_empty());
}
