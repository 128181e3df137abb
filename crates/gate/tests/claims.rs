//! Division of scarce slots among gateways by the rank of the requests that wait there.

use std::{collections::HashMap, net::SocketAddr};

use gate::{
    claims::{self, Claim, Claims},
    quota,
};

fn gateway(index: usize) -> SocketAddr {
    ([127, 0, 0, 1], index as u16 + 1).into()
}

/// Guards against ranks that earlier builds or other services take for numbers of waiting requests.
#[test]
fn ranks_are_reported_beside_the_totals() {
    let (service, other) = (quota::hash(b"service"), quota::hash(b"other"));
    let waiting = [(service, 5), (claims::key(service, 3), 2), (claims::key(service, 300), 3)];
    let claims: Vec<(u32, u32)> =
        Claim::all(service, gateway(0), &waiting).map(|claim| (claim.rank, claim.count)).collect();
    assert_eq!(claims, [(3, 2), (300, 3)]);
    assert_eq!(Claim::all(other, gateway(0), &waiting).count(), 0);
}

/// Guards against slots that several gateways use or none does, though all have the same reports, and
/// against a less urgent request that gets a slot while a more urgent one waits elsewhere.
#[test]
fn scarce_slots_are_divided_without_a_rest_and_by_rank() {
    let mut rng = fastrand::Rng::with_seed(3);
    for _ in 0..2_000 {
        let gateways = rng.usize(1..20);
        let mut all = Vec::new();
        for index in 0..gateways {
            for rank in 0..3 {
                let count = rng.u32(0..4);
                all.extend((count > 0).then_some(Claim { gateway: gateway(index), rank, count }));
            }
        }
        let waiting: u32 = all.iter().map(|claim| claim.count).sum();
        let servers: Vec<(u64, u32)> =
            (0..rng.usize(1..20)).map(|_| (rng.u64(..), rng.u32(0..3))).collect();
        let free: u32 = servers.iter().map(|(_, free)| free).sum();
        let Some(claims) = Claims::scarce(all.iter().copied(), free) else {
            assert!(waiting <= free, "{waiting} requests, {free} slots");
            continue;
        };
        let mut granted: HashMap<usize, u32> = HashMap::new();
        for (run, free) in &servers {
            let slots: Vec<u32> =
                (0..gateways).map(|index| claims.slots(gateway(index), *run, *free)).collect();
            assert_eq!(slots.iter().sum::<u32>(), *free, "every slot once");
            for (index, slots) in slots.iter().enumerate() {
                *granted.entry(index).or_default() += slots;
            }
        }
        let urgent: u32 = all.iter().filter(|c| c.rank == 0).map(|claim| claim.count).sum();
        for (index, slots) in granted {
            let has_urgent = all.iter().any(|c| c.gateway == gateway(index) && c.rank == 0);
            assert!(slots == 0 || has_urgent || urgent < free, "{slots} for less urgent requests");
        }
    }
}
