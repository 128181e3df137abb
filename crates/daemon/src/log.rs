//! Logs: one line of key=value pairs on standard output for each event.
//!
//! A separate thread writes the lines, so that decisions never wait for the output, even if nothing
//! reads it. The number of lines per second is limited; lines of successful requests are left out
//! first.

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

/// Most lines per second for successful requests. A gateway in a large deployment responds to up to
/// about 120 requests per second at peak load.
pub const MAX_SUCCESS_LINES_PER_S: u64 = 200;
/// Most lines per second in total, about 200 KB.
pub const MAX_LINES_PER_S: u64 = 1_000;
/// Most lines that wait for the writer, about 1 MB.
const MAX_BUFFERED_LINES: usize = 4_096;
/// Event name of a successful request.
const SUCCESS_EVENT: &str = "answered";

/// Lines left out by the limit since the start of the process.
static SUPPRESSED_LINES: AtomicU64 = AtomicU64::new(0);
/// Counter of lines dropped because the writer's buffer was full.
static WRITER_DROPS: OnceLock<ErrorCounter> = OnceLock::new();

/// Starts logging at a level such as `info`. Buffered lines are written when the guard is dropped.
pub fn start(level: &str) -> WorkerGuard {
    let (writer, worker) = writer();
    WRITER_DROPS.get_or_init(|| writer.error_counter());
    let layer = tracing_logfmt::builder().with_target(false).layer();
    let layer = layer.with_writer(writer).with_filter(LineLimit::new());
    // A second start in the same process keeps the first subscriber.
    let _ = tracing_subscriber::registry().with(levels(level)).with(layer).try_init();
    worker
}

/// Returns the levels of the crates that log decisions and dependencies at `level`; all others log
/// warnings and errors.
pub fn levels(level: &str) -> EnvFilter {
    EnvFilter::new(format!("warn,daemon={level},quincespoked={level},gate={level},agent={level}"))
}

fn writer() -> (NonBlocking, WorkerGuard) {
    let builder =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_BUFFERED_LINES);
    builder.finish(std::io::stdout())
}

/// Returns the number of lines left out or dropped since the start of the process.
pub fn dropped_lines() -> u64 {
    let writer_drops = WRITER_DROPS.get().map_or(0, ErrorCounter::dropped_lines);
    SUPPRESSED_LINES.load(Ordering::Relaxed) + writer_drops as u64
}

/// Limit on the lines of each second.
#[derive(Debug)]
pub struct LineLimit {
    started: Instant,
    second: AtomicU64,
    successes: AtomicU64,
    lines: AtomicU64,
}

impl Default for LineLimit {
    fn default() -> LineLimit {
        LineLimit::new()
    }
}

impl LineLimit {
    /// Returns a limit that has admitted no line.
    pub fn new() -> LineLimit {
        LineLimit {
            started: Instant::now(),
            second: AtomicU64::new(0),
            successes: AtomicU64::new(0),
            lines: AtomicU64::new(0),
        }
    }

    /// Returns whether a line may be written `elapsed` after the start.
    pub fn admits(&self, elapsed: Duration, is_success: bool) -> bool {
        let second = elapsed.as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.successes.store(0, Ordering::Relaxed);
            self.lines.store(0, Ordering::Relaxed);
        }
        let exceeded = self.lines.load(Ordering::Relaxed) >= MAX_LINES_PER_S
            || is_success && self.successes.load(Ordering::Relaxed) >= MAX_SUCCESS_LINES_PER_S;
        if exceeded {
            SUPPRESSED_LINES.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        self.lines.fetch_add(1, Ordering::Relaxed);
        self.successes.fetch_add(u64::from(is_success), Ordering::Relaxed);
        true
    }
}

impl<S: Subscriber> Filter<S> for LineLimit {
    fn enabled(&self, _metadata: &Metadata<'_>, _context: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _context: &Context<'_, S>) -> bool {
        let mut visitor = SuccessVisitor::default();
        event.record(&mut visitor);
        self.admits(self.started.elapsed(), visitor.is_success)
    }
}

/// Checks whether the name of an event is `SUCCESS_EVENT`.
#[derive(Default)]
struct SuccessVisitor {
    is_success: bool,
}

impl field::Visit for SuccessVisitor {
    fn record_str(&mut self, field: &field::Field, value: &str) {
        self.is_success |= field.name() == "event" && value == SUCCESS_EVENT;
    }

    fn record_debug(&mut self, _field: &field::Field, _value: &dyn fmt::Debug) {}
}
