//! Periods and bounds of the distribution.

use std::time::Duration;

/// Longest text of a branch in bytes, the largest value of the configuration service.
pub const MAX_BRANCH_BYTES: usize = conf::document::MAX_BYTES;

/// Longest text of the host list in bytes: 12,610 records take 1.8 MB, and the list has to fit
/// in one exchange.
pub const MAX_HOSTS_BYTES: usize = 3 << 20;

/// Most branches held, tombstones included.
pub const MAX_BRANCHES: usize = 4_096;

/// Most bytes of branch text held.
pub const MAX_TOTAL_BYTES: usize = 32 << 20;

/// Longest branch name in bytes.
pub const MAX_NAME_BYTES: usize = 256;

/// Most bytes of branch text in one exchange; a longer difference takes several.
pub const MAX_EXCHANGE_BYTES: usize = 4 << 20;

/// Most names in `wanted` of one exchange.
pub const MAX_WANTED: usize = 64;

/// Refused revisions remembered.
pub const MAX_REFUSED: usize = 256;

/// Suspects remembered.
pub const MAX_SUSPECTS: usize = 4_096;

/// Most suspects in one exchange, sent or taken.
pub const MAX_SUSPECTS_SENT: usize = 1_024;

/// Processes in each zone that watch the service.
pub const WATCHERS: usize = 2;

/// Peers to which a new revision is pushed at once.
pub const FANOUT: usize = 4;

/// Peers to which suspects of the local agent are pushed at once.
pub const SUSPECT_FANOUT: usize = 64;

/// Longest text in bytes that is pushed unasked. A longer one is announced by its
/// revision, so that a process receives it about once rather than from each neighbour.
pub const PUSH_BYTES: usize = 1_024;

/// Follow-up messages sent between two digest exchanges.
pub const MAX_FOLLOW_UPS: u32 = 64;

/// Other peers tried at once when the peer of a digest exchange is unreachable.
pub const EXCHANGE_RETRIES: u32 = 2;

/// Time between digest exchanges.
pub const EXCHANGE_PERIOD: Duration = Duration::from_secs(1);

/// Time without an exchange after which a process reads the service itself.
pub const ORPHAN_AFTER: Duration = Duration::from_secs(2);

/// Upper bound of the random delay before an orphan's first read, which keeps the
/// processes of a cut-off zone from reading at the same moment.
pub const ORPHAN_SPREAD: Duration = Duration::from_millis(500);

/// Time after which a process serves without an answer from every seed.
pub const JOIN_TIME: Duration = Duration::from_secs(2);

/// Time between attempts to reach a seed that has not answered.
pub const SEED_RETRY: Duration = Duration::from_millis(300);

/// Time before a branch asked of one peer is asked of another.
pub const ASK_AGAIN: Duration = Duration::from_millis(300);

/// Longest wait of a blocking read.
pub const READ_WAIT: Duration = Duration::from_secs(10);

/// Time after which a read without reply counts as failed.
pub const READ_LIMIT: Duration = Duration::from_secs(12);

/// Time between reads that make progress.
pub const READ_GAP: Duration = Duration::from_millis(20);

/// Time between reads that don't, so that a service that ignores the index is not read in
/// a tight loop.
pub const IDLE_READ_GAP: Duration = Duration::from_millis(250);

/// First and longest delay after failed reads.
pub const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));

/// Time between polls of the host list by a watcher.
pub const HOSTS_PERIOD: Duration = Duration::from_secs(1);

/// Mean time between backup reads in the whole fleet. They find changes when the host list
/// lags and names watchers that no longer run, or when the watchers' reads hang.
pub const BACKUP_PERIOD: Duration = Duration::from_millis(500);

/// Shortest mean time between backup reads of one process.
pub const MIN_BACKUP_PERIOD: Duration = Duration::from_secs(2);

/// Time between exchanges caused by digest hashes that differ.
pub const SEEN_GAP: Duration = Duration::from_millis(50);

/// Time for which a suspect is included in exchanges.
pub const SUSPECT_SHARED: Duration = Duration::from_secs(10);

/// Time for which a suspect is remembered. It exceeds the time for which the last process
/// to learn it shares it, else processes would pass it around for ever.
pub const SUSPECT_KEPT: Duration = Duration::from_secs(60);
