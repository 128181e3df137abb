//! Executes the runs of a comparison on several threads.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use crate::{
    baseline,
    deployment::Deployment,
    policy::Policy,
    record::Record,
    scenario::Scenario,
    summary::{self, Summary},
    system,
    workload::{self, Request},
};

/// The runs of a comparison.
#[derive(Clone, Debug)]
pub struct Plan {
    pub deployment: Deployment,
    pub scenarios: Vec<Scenario>,
    pub policies: Vec<Policy>,
    pub seeds: u64,
    pub jobs: usize,
}

/// Summaries by scenario index and policy, one for each seed.
pub type Results = BTreeMap<(usize, Policy), Vec<Summary>>;

/// Runs one scenario under one policy with one seed.
pub fn run_one(
    deployment: &Deployment,
    scenario: &Scenario,
    policy: Policy,
    seed: u64,
) -> (Vec<Request>, Record, Summary) {
    let requests = workload::generate(deployment, scenario, seed);
    let (record, runs) = match policy {
        Policy::Quincespoke => system::run(deployment, scenario, &requests, seed),
        _ => baseline::run(deployment, scenario, &requests, policy, seed),
    };
    let summary = summary::summarize(scenario, &requests, &record, &runs);
    (requests, record, summary)
}

/// Runs all scenarios under all policies with all seeds.
///
/// # Panics
///
/// Panics if a run panics.
pub fn run(plan: &Plan) -> Results {
    let mut tasks = Vec::new();
    for index in 0..plan.scenarios.len() {
        for &policy in &plan.policies {
            tasks.extend((1..=plan.seeds).map(|seed| (index, policy, seed)));
        }
    }
    let next = AtomicUsize::new(0);
    let results = Mutex::new(BTreeMap::new());
    thread::scope(|scope| {
        for _ in 0..plan.jobs.max(1) {
            scope.spawn(|| {
                while let Some(&(index, policy, seed)) =
                    tasks.get(next.fetch_add(1, Ordering::Relaxed))
                {
                    let scenario = &plan.scenarios[index];
                    let (_, _, summary) = run_one(&plan.deployment, scenario, policy, seed);
                    let mut results = results.lock().expect("no run panics");
                    results.insert((index, policy, seed), summary);
                }
            });
        }
    });
    let mut grouped = Results::new();
    for ((index, policy, _), summary) in results.into_inner().expect("no run panics") {
        grouped.entry((index, policy)).or_default().push(summary);
    }
    grouped
}
