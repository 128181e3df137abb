//! How many random schedules a test plays, and from which seed.

use std::env;

/// Returns the number of schedules and their seed, and prints both. `SCHEDULES` and
/// `SCHEDULES_SEED` replace what CI plays.
///
/// # Panics
///
/// Panics if one of the variables is no number: a run over other schedules than those asked
/// for would show nothing.
pub fn read(count: u64, seed: u64) -> (u64, u64) {
    let number = |name, default| {
        env::var(name).map_or(default, |text| match text.parse() {
            Ok(number) => number,
            Err(error) => panic!("{name}={text}: {error}"),
        })
    };
    let (count, seed) = (number("SCHEDULES", count), number("SCHEDULES_SEED", seed));
    println!("SCHEDULES={count} SCHEDULES_SEED={seed}");
    (count, seed)
}
