//! Logs: one line of key=value pairs on standard error for each event.

use tracing_subscriber::{EnvFilter, layer::SubscriberExt, util::SubscriberInitExt};

/// Starts logging at a level such as `info`.
pub fn start(level: &str) {
    let filter = EnvFilter::new(format!("warn,daemon={level},quincespoked={level}"));
    let layer = tracing_logfmt::builder().with_target(false).layer().with_writer(std::io::stderr);
    // A second start in the same process keeps the first subscriber.
    let _ = tracing_subscriber::registry().with(layer).with(filter).try_init();
}
