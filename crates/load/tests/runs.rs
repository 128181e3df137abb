//! Short runs of every policy.

use std::time::Duration;

use load::{
    deployment::Deployment,
    matrix,
    policy::Policy,
    scenario::{Fault, Loud, Scenario},
    workload,
};

fn short(load: f64) -> Scenario {
    Scenario { span: Duration::from_secs(12), ..Scenario::steady("short", load) }
}

fn deployment() -> Deployment {
    Deployment::find("popayan").expect("the deployment exists")
}

/// Guards against figures that depend on anything but the seed, such as the order of a map.
#[test]
fn equal_seeds_give_equal_figures() {
    for policy in Policy::ALL {
        let run = |seed| matrix::run_one(&deployment(), &short(0.8), policy, seed).2;
        assert_eq!(run(7), run(7), "{}", policy.name());
        assert_ne!(run(7), run(8), "{}", policy.name());
    }
}

/// Guards against calls that are lost or answered twice, under overload and when hosts die.
#[test]
fn each_call_has_one_outcome() {
    let loss = Some((Duration::from_secs(6), Fault::Loss));
    for scenario in [short(1.6), Scenario { fault: loss, ..short(0.6) }] {
        for policy in Policy::ALL {
            let (calls, ledger, _) = matrix::run_one(&deployment(), &scenario, policy, 3);
            assert_eq!(calls.len(), ledger.entries.len());
            for (index, entry) in ledger.entries.iter().enumerate() {
                assert!(entry.answer.is_some(), "{}: call {index}", policy.name());
                assert_eq!(entry.extra, 0, "{}: call {index}", policy.name());
            }
        }
    }
}

/// Guards against a comparison of different arrivals: an account that sends more must leave
/// the calls of the others as they were.
#[test]
fn a_loud_account_leaves_other_calls_as_they_were() {
    let loud =
        Scenario { loud: Some(Loud { account: 1, factor: 10.0, class: None }), ..short(0.8) };
    let others = |scenario| {
        let calls = workload::calls(&deployment(), scenario, 5);
        let calls = calls.into_iter().filter(|call| call.account != 1);
        calls.map(|call| (call.sent, call.account, call.prompt)).collect::<Vec<_>>()
    };
    assert_eq!(others(&short(0.8)), others(&loud));
}
