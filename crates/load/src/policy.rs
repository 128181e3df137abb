//! The scheduling policies that are compared.

/// How the engine of a request is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Policy {
    /// The entry and agent state machines.
    Quincespoke,
    RoundRobin,
    /// The engine with the fewest requests in flight from the same entry.
    LeastOutstanding,
    /// The less loaded of two random engines, by delayed load reports.
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
