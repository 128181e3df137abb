//! How many ends of backend servers put a request or a prompt part in quarantine.

use std::time::Duration;

use wire::time::Instant;

/// Ends that count against a request or a prompt part before it is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Number of ends.
    pub ends: u32,
    /// Time within which several ends count as one.
    pub spacing: Duration,
}

/// Rule for a request of which no copy is known to have completed or gone on.
pub const REQUEST: Rule = Rule { ends: 2, spacing: Duration::ZERO };
/// Rule for a request of which copies completed or went on before. What ends several servers for
/// another reason, such as the loss of hosts, is noticed within the time of some heartbeats.
pub const KNOWN_REQUEST: Rule = Rule { ends: 3, spacing: Duration::from_secs(2) };
/// Rule for a prompt part. Many connections may be lost at once for a reason that has nothing to do
/// with what ran there.
pub const PART: Rule = Rule { ends: 2, spacing: Duration::from_millis(300) };
/// Rule for a part that backend servers have answered requests with. Servers may end for other reasons
/// while several such requests begin.
pub const KNOWN_PART: Rule = Rule { ends: 3, ..PART };

impl Rule {
    /// Returns the rule for a request.
    pub fn for_request(is_known: bool) -> Rule {
        if is_known { KNOWN_REQUEST } else { REQUEST }
    }

    /// Returns the rule for a prompt part.
    pub fn for_part(is_known: bool) -> Rule {
        if is_known { KNOWN_PART } else { PART }
    }

    /// Returns the time of the end from which on enough ends count, if there are enough. `ends` has
    /// the times and numbers of ends, the latest first.
    pub fn deciding_end(
        self,
        ends: impl DoubleEndedIterator<Item = (Instant, u32)>,
    ) -> Option<Instant> {
        let spaced = self.spaced(ends);
        let mut total = 0;
        let decides = |(_, count): &&(Instant, u32)| {
            total += count;
            total >= self.ends
        };
        spaced.iter().rev().find(decides).map(|(at, _)| *at)
    }

    /// Returns the ends without those that followed another one within the spacing, the earliest
    /// first.
    pub fn spaced(
        self,
        ends: impl DoubleEndedIterator<Item = (Instant, u32)>,
    ) -> Vec<(Instant, u32)> {
        let mut spaced: Vec<(Instant, u32)> = Vec::new();
        for (at, count) in ends.rev() {
            if spaced.last().is_none_or(|(last, _)| at.since(*last) >= self.spacing) {
                spaced.push((at, count));
            }
        }
        spaced
    }
}
