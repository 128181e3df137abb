//! Random schedules against simulated entries and a simulated backend server that records which
//! requests ran.

mod simulation;
mod support;

use std::{collections::BTreeMap, panic};

/// Schedules in CI; see `stand::schedules`.
const SCHEDULES: u64 = 1500;

/// Guards against rules that hold one by one and fail in combination: at most one run of each
/// request and key, correct refusals, complete responses, tier order, drain, exclusive runs, and
/// the bound on crashes by a poison request.
#[test]
fn random_schedules_preserve_the_invariants() {
    let mut totals = BTreeMap::<String, u64>::new();
    let (count, first) = stand::schedules::read(SCHEDULES, 0);
    for seed in first..first + count {
        let mut simulation = simulation::Simulation::new(seed, seed % 3 == 0);
        let completed = panic::catch_unwind(panic::AssertUnwindSafe(|| simulation.run()));
        assert!(completed.is_ok(), "schedule with seed {seed} failed");
        for (counter, value) in simulation.counters {
            *totals.entry(counter).or_default() += value;
        }
    }
    println!("{totals:#?}");
    let exercised = [
        "adopted",
        "backend_crashes",
        "cancelled",
        "grants_expired",
        "poison_crashes",
        "resumes",
        "refused_displaced",
        "refused_leaving",
        "refused_overload",
        "refused_suspect",
        "shared",
    ];
    for counter in exercised {
        assert!(totals[counter] * SCHEDULES > 100 * count, "{counter} is too rarely exercised");
    }
    assert!(totals["whole_answers"] > count * simulation::REQUESTS / 10);
}
