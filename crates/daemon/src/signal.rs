//! Signals that begin a planned stop.

use std::{
    io,
    sync::{Arc, OnceLock},
    thread,
};

use futures_channel::oneshot;
use futures_util::{FutureExt, future::Shared};
use signal_hook::iterator::Signals;
use wire::time::Instant;

use crate::clock;

/// Stack of the thread that waits for signals, in bytes.
const STACK_SIZE: usize = 64 << 10;

/// A signal that is handled until the process ends, however often it arrives.
///
/// A thread of its own notes the time of the first arrival, since the process's main thread may be
/// busy then.
#[derive(Clone)]
pub struct Listener {
    received_at: Arc<OnceLock<Instant>>,
    received: Shared<oneshot::Receiver<()>>,
}

impl Listener {
    /// Installs the handler of a signal.
    ///
    /// # Errors
    ///
    /// Returns an error if the handler can't be installed or the thread can't be started.
    pub fn install(signal: i32) -> io::Result<Listener> {
        let mut signals = Signals::new([signal])?;
        let received_at: Arc<OnceLock<Instant>> = Arc::default();
        let (sender, received) = oneshot::channel();
        let first = received_at.clone();
        let wait = move || {
            let mut sender = Some(sender);
            for _ in signals.forever() {
                first.get_or_init(clock::now);
                if let Some(sender) = sender.take() {
                    // Fails only if nobody waits.
                    let _ = sender.send(());
                }
            }
        };
        thread::Builder::new().name("signals".into()).stack_size(STACK_SIZE).spawn(wait)?;
        Ok(Listener { received_at, received: received.shared() })
    }

    /// Returns the time at which the signal first arrived.
    pub fn received_at(&self) -> Option<Instant> {
        self.received_at.get().copied()
    }

    /// Waits for the first arrival of the signal since the handler was installed.
    pub async fn receive(&self) -> Instant {
        // The thread has noted the time before it sends, and runs until the process ends.
        let _ = self.received.clone().await;
        self.received_at().unwrap_or_else(clock::now)
    }
}
