//! Resources of the host that a process may use.

use crate::section;

/// Section with the resources.
pub(crate) const SECTION: &str = "host";

const MEGABYTE: f64 = 1e6;

/// What a process may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resources {
    /// `[host] memory_mb`: bytes of memory; those of the host if not set.
    pub memory: Option<u64>,
    /// `[host] descriptors`: file descriptors; as many as the system allows if not set.
    pub descriptors: Option<u64>,
}

impl Resources {
    pub(crate) fn read(reader: &mut section::Reader<'_>) -> Resources {
        // 0 stands for a key that is not set.
        let memory = reader.decimal("memory_mb", 0.0, 32..=16_000_000, "MB");
        let descriptors = reader.decimal("descriptors", 0.0, 64..=100_000_000, "descriptors");
        Resources {
            memory: (memory > 0.0).then_some((memory * MEGABYTE) as u64),
            descriptors: (descriptors > 0.0).then_some(descriptors as u64),
        }
    }
}
