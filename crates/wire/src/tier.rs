//! Request tiers.

use serde::{Deserialize, Serialize};

/// The rank of a tier; 0 is the highest and orders first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tier(pub u8);

impl Tier {
    /// Returns whether `self` takes precedence over `other`.
    pub fn outranks(self, other: Tier) -> bool {
        self < other
    }
}
