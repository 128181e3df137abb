//! Addresses for the processes that tests start.

use std::{
    net::{SocketAddr, TcpListener},
    process,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
};

static SPAWN: Mutex<()> = Mutex::new(());

/// Is held while an address is probed and has to be held while a process is started: a process
/// that another test starts at the same time would hold the probing socket open until it runs
/// its own program.
pub fn lock_spawn() -> MutexGuard<'static, ()> {
    // The lock guards no data, so a test that failed with it leaves nothing broken.
    SPAWN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns an address that was free a moment ago. Its port lies below those that the system
/// gives to outgoing connections, one of which could take it before the process binds it.
pub fn find_free() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let _held = lock_spawn();
    loop {
        let next = NEXT.fetch_add(1, Ordering::Relaxed);
        let count = process::id().wrapping_mul(613).wrapping_add(next);
        let address = SocketAddr::from(([127, 0, 0, 1], 10_000 + (count % 20_000) as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
