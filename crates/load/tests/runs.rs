//! Short runs of all policies.

use std::time::Duration;

use load::{
    deployment::Deployment,
    matrix,
    policy::Policy,
    scenario::{Fault, HeavyAccount, Scenario},
    workload,
};

fn short(load: f64) -> Scenario {
    Scenario { span: Duration::from_secs(12), ..Scenario::steady("short", load) }
}

fn deployment() -> Deployment {
    Deployment::find("popayan").expect("the deployment exists")
}

/// Guards against figures that depend on more than the seed, such as the iteration order of a map.
#[test]
fn equal_seeds_give_equal_figures() {
    for policy in Policy::ALL {
        let run = |seed| matrix::run_one(&deployment(), &short(0.8), policy, seed).2;
        assert_eq!(run(7), run(7), "{}", policy.name());
        assert_ne!(run(7), run(8), "{}", policy.name());
    }
}

/// Guards against requests without an outcome or with two, under overload and when hosts fail.
#[test]
fn each_request_has_one_outcome() {
    let loss = Some((Duration::from_secs(6), Fault::Loss));
    for scenario in [short(1.6), Scenario { fault: loss, ..short(0.6) }] {
        for policy in Policy::ALL {
            let (requests, record, _) = matrix::run_one(&deployment(), &scenario, policy, 3);
            assert_eq!(requests.len(), record.requests.len());
            for (index, progress) in record.requests.iter().enumerate() {
                assert!(progress.outcome.is_some(), "{}: request {index}", policy.name());
                assert_eq!(progress.extra_outcomes, 0, "{}: request {index}", policy.name());
            }
        }
    }
}

/// Guards against comparing runs with different arrivals: an account that sends more must not
/// change the requests of the others.
#[test]
fn a_heavy_account_leaves_other_requests_as_they_were() {
    let heavy = Scenario {
        heavy_account: Some(HeavyAccount { account: 1, factor: 10.0, class: None }),
        ..short(0.8)
    };
    let others = |scenario| {
        let requests = workload::generate(&deployment(), scenario, 5);
        let requests = requests.into_iter().filter(|request| request.account != 1);
        requests.map(|request| (request.sent, request.account, request.prompt)).collect::<Vec<_>>()
    };
    assert_eq!(others(&short(0.8)), others(&heavy));
}
