//! Policies under comparison.

/// Who decides where a request runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Policy {
    /// The entry and agent state machines.
    Quincespoke,
    RoundRobin,
    /// Fewest requests in progress as counted by each entry on its own.
    LeastOutstanding,
    /// The less loaded of two random engines by load reports that lag.
    TwoChoices,
}

impl Policy {
    pub const ALL: [Policy; 4] =
        [Policy::Quincespoke, Policy::RoundRobin, Policy::LeastOutstanding, Policy::TwoChoices];

    /// Returns the name used in tables and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Quincespoke => "quincespoke",
            Policy::RoundRobin => "round-robin",
            Policy::LeastOutstanding => "least-outstanding",
            Policy::TwoChoices => "two-choices",
        }
    }
}
