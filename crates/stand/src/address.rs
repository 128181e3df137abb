//! Free addresses for the processes that tests start.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
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

/// Number of loopback hosts of each process.
pub const HOSTS: u8 = 4;

/// Returns a loopback host that belongs to this process alone. A port of a host that several test
/// processes shared could be taken by another one while the process that uses it is down.
///
/// # Panics
///
/// Panics if `index` is not below `HOSTS`.
pub fn host(index: u8) -> IpAddr {
    assert!(index < HOSTS, "a process has {HOSTS} hosts");
    // Process identifiers have at most 22 bits, and loopback addresses differ in 24.
    let number = process::id() * u32::from(HOSTS) + u32::from(index);
    IpAddr::V4(Ipv4Addr::from(u32::from(Ipv4Addr::new(127, 0, 0, 0)) | number))
}

/// Returns an address of this process's first host that was not in use when it was probed. Its port
/// is below the range that the system uses for outgoing connections, so none of these takes it
/// before the process binds it.
pub fn find_free() -> SocketAddr {
    static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);
    let _lock = lock_spawn();
    loop {
        let offset = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::new(host(0), 10_000 + (offset % 20_000) as u16);
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
