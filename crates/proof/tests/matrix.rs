//! Fault matrix: each fault and each pair of faults at each step of a request.

use std::time::Duration;

use proof::{
    check, engine,
    fault::{self, Fault},
    plan::Runner,
    record::Response,
    scenario,
    simulation::Simulation,
};

/// A step of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Received,
    QueuedAtEntry,
    Offered,
    QueuedAtAgent,
    Granted,
    Dispatched,
    FirstToken,
    MidStream,
    LastByte,
    Answered,
}

const STEPS: [Step; 10] = [
    Step::Received,
    Step::QueuedAtEntry,
    Step::Offered,
    Step::QueuedAtAgent,
    Step::Granted,
    Step::Dispatched,
    Step::FirstToken,
    Step::MidStream,
    Step::LastByte,
    Step::Answered,
];

/// Time within which a request without faults reaches each step.
const STEP_LIMIT: Duration = Duration::from_secs(20);
/// Time between the faults of a pair.
const PAIR_GAP: Duration = Duration::from_millis(40);
/// Time for which a fault lasts.
const FAULT_TIME: Duration = Duration::from_millis(1_500);

/// Kind of the observed request. A bid must run at most once.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Model,
    Bid,
}

fn is_reached(simulation: &Simulation, caller: u64, step: Step) -> bool {
    let record = &simulation.record;
    let Some(request) = record.requests.get(&caller) else { return false };
    let Some(id) = request.id else { return step == Step::Received };
    let length = engine::response(&request.body).len();
    let run = record.runs.iter().find(|run| run.request == id);
    match step {
        Step::Received | Step::QueuedAtEntry => true,
        Step::Offered => record.heads.contains_key(&id),
        Step::QueuedAtAgent => record.offers_received.contains(&id),
        Step::Granted => record.commits_received.contains(&id),
        Step::Dispatched => run.is_some(),
        Step::FirstToken => request.started,
        Step::MidStream => request.received.len() * 2 >= length,
        Step::LastByte => {
            let ended = |s: &engine::Stream| s.head.request == id && s.ended;
            simulation.engines.iter().any(|e| e.streams.values().any(ended))
        }
        Step::Answered => !request.responses.is_empty(),
    }
}

/// Runs one cell. Returns the name of the response, or `None` if the step was not reached.
fn run_cell(kind: Kind, step: Step, faults: &[Fault], seed: u64) -> Result<Option<String>, String> {
    let tree = scenario::tree(200, 1_000);
    let mut runner = Runner::new(Simulation::new(seed, tree, scenario::POOL, 2, 3));
    let key_request = runner.request_key(1);
    for n in 0..12 {
        runner.send_request(n % 2, n % 3);
    }
    runner.advance(Duration::from_millis(30));
    let caller = match kind {
        Kind::Model => runner.send_request(0, 1),
        Kind::Bid => {
            let key = runner.simulation.record.keys[&key_request]
                .clone()
                .expect("keys are issued without faults");
            runner.send_bid(0, &key.to_string().into())
        }
    };
    let end = runner.simulation.now + STEP_LIMIT;
    while !is_reached(&runner.simulation, caller, step) {
        if !runner.step(end) {
            return Ok(None);
        }
    }
    let record = &runner.simulation.record;
    let id = record.requests[&caller].id;
    let run = record.runs.iter().find(|run| Some(run.request) == id);
    let agent = run.map_or(0, |run| run.engine);
    for fault in faults {
        runner.inject(*fault, 0, agent, FAULT_TIME);
        runner.advance(PAIR_GAP);
    }
    runner.run_to_completion();
    let record = &runner.simulation.record;
    let violations = check::violations(record);
    if !violations.is_empty() {
        return Err(violations.join("; "));
    }
    let request = &record.requests[&caller];
    Ok(Some(match request.responses.first() {
        Some((_, Response::Complete(_))) => "whole".into(),
        Some((_, Response::Refused(refusal))) => refusal.outcome.to_string(),
        None => "caller lost".into(),
    }))
}

/// Runs all cells, prints a table of responses, and fails if a cell has violations or did not reach
/// its step.
fn run_matrix(kind: Kind, rows: &[Vec<Fault>]) {
    let mut failures = Vec::new();
    let mut uncovered = 0;
    let mut cells = 0;
    for faults in rows {
        let mut row = Vec::new();
        for (column, step) in STEPS.into_iter().enumerate() {
            cells += 1;
            let seed = 7_000 + cells;
            match run_cell(kind, step, faults, seed) {
                Ok(Some(response)) => row.push(response),
                Ok(None) => {
                    uncovered += 1;
                    row.push("not covered".into());
                }
                Err(error) => {
                    row.push("VIOLATED".into());
                    failures.push(format!(
                        "{faults:?} at {step:?}, column {column}, seed {seed}: {error}"
                    ));
                }
            }
        }
        if faults.len() == 1 {
            println!("{faults:?}: {}", row.join(" | "));
        }
    }
    println!("{kind:?}: {cells} cells, {uncovered} not covered, {} violated", failures.len());
    assert!(failures.is_empty(), "{}", failures.join("\n"));
    assert_eq!(uncovered, 0, "cells not covered");
}

fn singles() -> Vec<Vec<Fault>> {
    fault::ALL.map(|fault| vec![fault]).into()
}

fn pairs() -> Vec<Vec<Fault>> {
    let second = |first: Fault| fault::ALL.map(|second| vec![first, second]);
    fault::ALL.into_iter().flat_map(second).collect()
}

/// Guards against a fault that breaks a guarantee for a model request at one of its steps.
#[test]
fn model_request_under_each_fault() {
    run_matrix(Kind::Model, &singles());
}

/// Guards against a bid that runs twice, or is refused with a false outcome, because of a fault at
/// one of its steps.
#[test]
fn bid_under_each_fault() {
    run_matrix(Kind::Bid, &singles());
}

/// Guards against faults that break a guarantee only in combination.
#[test]
fn model_request_under_two_faults() {
    run_matrix(Kind::Model, &pairs());
}

/// Guards against pairs of faults that make a bid run twice.
#[test]
fn bid_under_two_faults() {
    run_matrix(Kind::Bid, &pairs());
}
