//! Logs: one line of key=value pairs on standard output for each event.
//!
//! The writer never blocks a decision, also when nobody reads the pipe, and the volume is
//! bounded. Lines of requests that went well are left out first.

use std::{
    fmt,
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use tracing::{Event, Metadata, Subscriber, field};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{
    EnvFilter, Layer,
    layer::{Context, Filter, SubscriberExt},
    util::SubscriberInitExt,
};

/// Lines a second of requests that went well. A gateway answers up to about 120 a second at the
/// peak of the grown deployments.
pub const MAX_ORDINARY: u64 = 200;
/// Lines a second in all, about 200 KB.
pub const MAX_LINES: u64 = 1_000;
/// Lines that wait for the writer, about 1 MB.
const MAX_BUFFERED: usize = 4_096;
/// Event of a request that went well.
const ORDINARY: &str = "answered";

/// Lines left out since the start to keep to the bounds.
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);
/// Lines lost since the writer could not keep up.
static UNWRITTEN: OnceLock<ErrorCounter> = OnceLock::new();

/// Starts logging at a level such as `info`. What is left is written when the guard is dropped.
pub fn start(level: &str) -> WorkerGuard {
    let levels = EnvFilter::new(format!("warn,daemon={level},quincespoked={level}"));
    let (writer, worker) = writer();
    UNWRITTEN.get_or_init(|| writer.error_counter());
    let layer = tracing_logfmt::builder().with_target(false).layer();
    let layer = layer.with_writer(writer).with_filter(Volume::new());
    // A second start in the same process keeps the first subscriber.
    let _ = tracing_subscriber::registry().with(levels).with(layer).try_init();
    worker
}

fn writer() -> (NonBlocking, WorkerGuard) {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_BUFFERED);
    builder.finish(std::io::stdout())
}

/// Returns the lines that were left out or lost since the start.
pub fn dropped() -> u64 {
    let unwritten = UNWRITTEN.get().map_or(0, ErrorCounter::dropped_lines);
    LEFT_OUT.load(Ordering::Relaxed) + unwritten as u64
}

/// Bound on the lines of each second.
#[derive(Debug)]
pub struct Volume {
    started: Instant,
    second: AtomicU64,
    ordinary: AtomicU64,
    lines: AtomicU64,
}

impl Default for Volume {
    fn default() -> Volume {
        Volume::new()
    }
}

impl Volume {
    /// Returns a bound that has admitted no line.
    pub fn new() -> Volume {
        Volume {
            started: Instant::now(),
            second: AtomicU64::new(0),
            ordinary: AtomicU64::new(0),
            lines: AtomicU64::new(0),
        }
    }

    /// Returns whether a line may be written `elapsed` after the start.
    pub fn admits(&self, elapsed: Duration, is_ordinary: bool) -> bool {
        let second = elapsed.as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.ordinary.store(0, Ordering::Relaxed);
            self.lines.store(0, Ordering::Relaxed);
        }
        let over = self.lines.load(Ordering::Relaxed) >= MAX_LINES
            || is_ordinary && self.ordinary.load(Ordering::Relaxed) >= MAX_ORDINARY;
        if over {
            LEFT_OUT.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        self.lines.fetch_add(1, Ordering::Relaxed);
        self.ordinary.fetch_add(u64::from(is_ordinary), Ordering::Relaxed);
        true
    }
}

impl<S: Subscriber> Filter<S> for Volume {
    fn enabled(&self, _metadata: &Metadata<'_>, _context: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _context: &Context<'_, S>) -> bool {
        let mut name = Name::default();
        event.record(&mut name);
        self.admits(self.started.elapsed(), name.is_ordinary)
    }
}

/// Finds the name of an event.
#[derive(Default)]
struct Name {
    is_ordinary: bool,
}

impl field::Visit for Name {
    fn record_str(&mut self, field: &field::Field, value: &str) {
        self.is_ordinary |= field.name() == "event" && value == ORDINARY;
    }

    fn record_debug(&mut self, _field: &field::Field, _value: &dyn fmt::Debug) {}
}
