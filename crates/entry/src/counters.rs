//! Counters in the status reports for operators.

use std::collections::BTreeMap;

use wire::outcome;

/// Counts of events by name, and of refusals by outcome and reason.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    events: BTreeMap<&'static str, u64>,
    refusals: BTreeMap<(outcome::Outcome, outcome::Reason), u64>,
}

impl Counters {
    /// Counts one event.
    pub fn count(&mut self, event: &'static str) {
        *self.events.entry(event).or_default() += 1;
    }

    /// Counts one refusal sent to a caller.
    pub fn count_refusal(&mut self, refusal: &outcome::Refusal) {
        *self.refusals.entry((refusal.outcome, refusal.reason)).or_default() += 1;
    }

    /// Adds all counters to a report.
    pub fn add_to(&self, report: &mut BTreeMap<String, u64>) {
        for (&event, &count) in &self.events {
            report.insert(event.to_owned(), count);
        }
        for ((outcome, reason), &count) in &self.refusals {
            report.insert(format!("refused_{outcome}_{reason}"), count);
        }
    }
}
