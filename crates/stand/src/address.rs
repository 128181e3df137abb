//! Free addresses for the processes that tests start.

use std::{
    net::{SocketAddr, TcpListener},
    process,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
};

static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Acquires the lock that serialises probing an address and starting a process.
///
/// Tests must hold it while they start a process: between fork and exec, the new process holds a
/// copy of a socket with which another test probes an address, so that the address stays in use.
pub fn lock_spawn() -> MutexGuard<'static, ()> {
    // The lock guards no data, so a test that panicked while holding it does no harm.
    SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns an address that was not in use when it was probed. Its port is below the range that
/// the system uses for outgoing connections, so none of these takes it before the process binds it.
pub fn find_free() -> SocketAddr {
    static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);
    let _lock = lock_spawn();
    loop {
        let offset = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed);
        let sequence = process::id().wrapping_mul(613).wrapping_add(offset);
        let address = SocketAddr::from(([127, 0, 0, 1], 10_000 + (sequence % 20_000) as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
