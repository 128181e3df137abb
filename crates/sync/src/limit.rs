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

/// Most bytes of branch text in one exchange; a larger difference takes several.
pub const MAX_EXCHANGE_BYTES: usize = 4 << 20;

/// Most branches that one exchange requests in `wanted` or lists in a summary.
pub const MAX_WANTED: usize = 64;

/// Most refused revisions kept, so that each is reported once.
pub const MAX_REFUSED: usize = 256;

/// Most suspects kept.
pub const MAX_SUSPECTS: usize = 4_096;

/// Most suspects sent in one exchange, or read from one.
pub const MAX_SUSPECTS_SENT: usize = 1_024;

/// Processes in each zone that watch the service.
pub const WATCHERS_PER_ZONE: usize = 2;

/// Peers to which a new revision is pushed immediately.
pub const FANOUT: usize = 4;

/// Peers to which suspects found by the local process are pushed immediately.
pub const SUSPECT_FANOUT: usize = 64;

/// Longest text in bytes that is pushed without a request. Of a longer one only the revision is
/// pushed, so that a process receives the text about once, on request, and not from each peer.
pub const MAX_PUSH_BYTES: usize = 1_024;

/// Most follow-up messages sent between two digest exchanges.
pub const MAX_FOLLOW_UPS: u32 = 64;

/// Most other peers tried immediately when the peer of a digest exchange is unreachable.
pub const MAX_EXCHANGE_RETRIES: u32 = 5;

/// Time between digest exchanges.
pub const EXCHANGE_PERIOD: Duration = Duration::from_secs(1);

/// Time without a complete exchange after which a process counts as isolated and reads the service
/// itself.
pub const ISOLATED_AFTER: Duration = Duration::from_secs(2);

/// Upper bound of the random delay before the first read of an isolated process, which keeps
/// the processes of a partitioned zone from reading at the same moment.
pub const MAX_ISOLATED_READ_DELAY: Duration = Duration::from_millis(500);

/// Time after which a process serves although not every seed has replied.
pub const JOIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between attempts to reach a seed that has not replied.
pub const SEED_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Time before a branch requested from one peer is requested from another.
pub const WANTED_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Longest wait of a blocking read.
pub const READ_WAIT: Duration = Duration::from_secs(10);

/// Time after which a read without a reply counts as failed. Longer than `READ_WAIT`.
pub const READ_TIMEOUT: Duration = Duration::from_secs(12);

/// Time between a read that returned a new index and the next one.
pub const MIN_READ_INTERVAL: Duration = Duration::from_millis(20);

/// Time between a read that returned no new index and the next one, so that a service that
/// ignores the index is not read in a tight loop.
pub const MIN_IDLE_READ_INTERVAL: Duration = Duration::from_millis(250);

/// First and longest delay after failed reads.
pub const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));

/// Time between reads of the host list by a watcher.
pub const HOSTS_PERIOD: Duration = Duration::from_secs(1);

/// Mean time between backup reads in the whole fleet. They find changes when the host list
/// is outdated and names watchers that no longer run, or when the watchers' reads hang.
pub const BACKUP_PERIOD: Duration = Duration::from_millis(500);

/// Shortest mean time between backup reads of one process.
pub const MIN_BACKUP_PERIOD: Duration = Duration::from_secs(2);

/// Shortest time between exchanges caused by digest hashes that differ.
pub const MIN_HASH_EXCHANGE_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which a suspect is included in exchanges.
pub const SUSPECT_SHARING_PERIOD: Duration = Duration::from_secs(10);

/// Time for which a suspect is kept for processes that start, as long as agents refuse a quarantined
/// request by default. It has to be longer than `SUSPECT_SHARING_PERIOD`, or a process that removed
/// a suspect would add and send it again, forever.
pub const SUSPECT_RETENTION: Duration = Duration::from_secs(600);
