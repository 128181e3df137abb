//! Randomised schedules against fake entries and a fake backend that records what ran.

mod support;
mod world;

use std::{collections::BTreeMap, panic};

/// Schedules in CI; see `stand::schedules`.
const SCHEDULES: u64 = 1500;

/// Guards against a rule that holds alone and breaks in combination: dispatch and keyed runs
/// at most once, true refusals, whole answers, tiers, drain, isolation and poison bounds.
#[test]
fn random_schedules_keep_the_rules() {
    let mut totals = BTreeMap::<String, u64>::new();
    let (count, first) = stand::schedules::read(SCHEDULES, 0);
    for seed in first..first + count {
        let mut world = world::World::new(seed, seed % 3 == 0);
        let played = panic::catch_unwind(panic::AssertUnwindSafe(|| world.play()));
        assert!(played.is_ok(), "schedule with seed {seed} failed");
        for (counter, value) in world.counters {
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
        assert!(totals[counter] * SCHEDULES > 100 * count, "{counter} is hardly exercised");
    }
    assert!(totals["whole_answers"] > count * world::REQUESTS / 10);
}
