//! Number of random schedules that a test runs, and their seed.

use std::env;

/// Returns the number of schedules and their seed, and prints both. The environment variables
/// `SCHEDULES` and `SCHEDULES_SEED` override `count` and `seed`, the values used in CI.
///
/// # Panics
///
/// Panics if one of the variables is not a number: with a default value in its place, the test
/// would run other schedules than the requested ones.
pub fn read(count: u64, seed: u64) -> (u64, u64) {
    let parse = |name, default| {
        env::var(name).map_or(default, |text| match text.parse() {
            Ok(number) => number,
            Err(error) => panic!("{name}={text}: {error}"),
        })
    };
    let (count, seed) = (parse("SCHEDULES", count), parse("SCHEDULES_SEED", seed));
    println!("SCHEDULES={count} SCHEDULES_SEED={seed}");
    (count, seed)
}
