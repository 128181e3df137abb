//! Fault matrix of drains and planned stops: each fault at each step.

use std::time::Duration;

use proof::{
    check,
    fault::{self, Fault},
    plan::Runner,
    scenario,
    simulation::Simulation,
};
use wire::status::Status;

/// A step of the drain or stop of the first agent or entry.
#[derive(Clone, Copy, Debug)]
enum Step {
    Ordered,
    /// The process received the order.
    Known,
    /// No request is queued at the process.
    QueueReturned,
    /// No request runs at the process.
    Idle,
}

const STEPS: [Step; 4] = [Step::Ordered, Step::Known, Step::QueueReturned, Step::Idle];
const OPERATIONS: [Fault; 3] = [Fault::Drain, Fault::StopAgent, Fault::StopEntry];
/// Time within which a step must be reached.
const STEP_LIMIT: Duration = Duration::from_secs(40);
/// Time for which the operation and the fault last.
const OPERATION_TIME: Duration = Duration::from_secs(60);
const FAULT_TIME: Duration = Duration::from_millis(1_500);

/// Returns the report of the process that is drained or stopped; `None` if it has ended.
fn report(simulation: &Simulation, operation: Fault) -> Option<Status> {
    let mut status = Status::default();
    match operation {
        Fault::StopEntry => {
            simulation.entries[0].machine.as_ref()?.report(simulation.now, &mut status)
        }
        _ => simulation.agents[0].machine.as_ref()?.report(simulation.now, &mut status),
    }
    Some(status)
}

fn is_reached(simulation: &Simulation, operation: Fault, step: Step) -> bool {
    let Some(status) = report(simulation, operation) else { return true };
    let has_order = status.leaving || status.stopping;
    let has_queued = status.queued.values().any(|count| *count > 0);
    match step {
        Step::Ordered => true,
        Step::Known => has_order,
        Step::QueueReturned => has_order && !has_queued,
        Step::Idle => has_order && !has_queued && status.running == 0,
    }
}

/// Runs one cell and returns whether its step was reached.
fn run_cell(
    seed: u64,
    operation: Fault,
    step: Step,
    fault: Option<Fault>,
) -> Result<bool, Vec<String>> {
    let tree = scenario::tree(200, 1_000);
    let mut runner = Runner::new(Simulation::new(seed, tree, scenario::POOL, 2, 3));
    for n in 0..30 {
        runner.send_request(n % 2, n % 3);
    }
    runner.advance(Duration::from_millis(30));
    runner.inject(operation, 0, 0, OPERATION_TIME);
    let end = runner.simulation.now + STEP_LIMIT;
    while !is_reached(&runner.simulation, operation, step) {
        if !runner.step(end) {
            return Ok(false);
        }
    }
    if let Some(fault) = fault {
        runner.inject(fault, 0, 0, FAULT_TIME);
    }
    for n in 0..6 {
        runner.send_request(n % 2, n % 3);
    }
    runner.run_to_completion();
    let mut violations = check::violations(&runner.simulation.record);
    if fault.is_none() {
        violations.extend(check::interrupted_by_stop(&runner.simulation.record));
    }
    if violations.is_empty() { Ok(true) } else { Err(violations) }
}

/// Guards against a drain or stop that breaks a guarantee when a fault occurs at one of its steps.
#[test]
fn drains_and_stops_under_each_fault() {
    let faults = fault::ALL.map(Some).into_iter().chain([None]);
    let mut failures = Vec::new();
    let mut cells = 0;
    for fault in faults {
        for (operation, step) in OPERATIONS.into_iter().flat_map(|o| STEPS.map(|s| (o, s))) {
            cells += 1;
            match run_cell(cells, operation, step, fault) {
                Ok(true) => {}
                Ok(false) => failures.push(format!("{operation:?} {step:?} {fault:?} not covered")),
                Err(found) => failures.push(format!("{operation:?} {step:?} {fault:?}: {found:?}")),
            }
        }
    }
    println!("{cells} cells, {} failed", failures.len());
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
