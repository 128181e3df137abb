//! Decides whether a host that is being drained has finished its work.

use std::fmt;

use wire::status;

/// Progress of the drain of one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// None of the processes that responded runs on the host.
    Absent,
    /// At least one process of the host doesn't report that it is leaving.
    NotLeaving {
        queued: u64,
        running: u64,
    },
    Draining {
        queued: u64,
        running: u64,
    },
    /// All processes of the host are leaving and have nothing queued or running.
    Drained,
}

impl fmt::Display for Progress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Progress::Absent => write!(f, "does not answer"),
            Progress::NotLeaving { queued, running } => {
                write!(f, "not leaving, {queued} queued, {running} running")
            }
            Progress::Draining { queued, running } => {
                write!(f, "leaving, {queued} queued, {running} running")
            }
            Progress::Drained => write!(f, "drained"),
        }
    }
}

/// Returns the combined progress of all processes on the host.
pub fn progress(host: &str, statuses: &[status::Status]) -> Progress {
    let on_host: Vec<&status::Status> =
        statuses.iter().filter(|status| status.host == host).collect();
    let queued = on_host.iter().flat_map(|status| status.queued.values()).sum();
    let running = on_host.iter().map(|status| status.running).sum();
    if on_host.is_empty() {
        Progress::Absent
    } else if !on_host.iter().all(|status| status.leaving) {
        Progress::NotLeaving { queued, running }
    } else if queued > 0 || running > 0 {
        Progress::Draining { queued, running }
    } else {
        Progress::Drained
    }
}
