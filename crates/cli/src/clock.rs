//! Clock of the polling subcommands, a trait so that tests can replace it and needn't wait.

use std::time::{self, Duration};

use futures_util::future::{FutureExt, LocalBoxFuture};

/// Measures elapsed time and waits.
pub trait Clock {
    /// Returns the time since the clock was created.
    fn elapsed(&self) -> Duration;

    /// Completes after `duration`.
    fn wait(&self, duration: Duration) -> LocalBoxFuture<'_, ()>;
}

/// Monotonic clock of the operating system.
#[derive(Debug)]
pub struct System {
    start: time::Instant,
}

impl Default for System {
    fn default() -> System {
        System { start: time::Instant::now() }
    }
}

impl Clock for System {
    fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    fn wait(&self, duration: Duration) -> LocalBoxFuture<'_, ()> {
        compio::time::sleep(duration).boxed_local()
    }
}
