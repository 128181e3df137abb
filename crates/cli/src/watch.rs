//! Polls the fleet until a condition holds.

use std::collections::BTreeSet;

use indicatif::ProgressBar;
use serde_json::{Value, json};
use wire::status;

use crate::{clock, drain, error, fetch, options, output, revisions};

/// State of the condition after one poll.
#[derive(Debug)]
pub enum State {
    Met {
        text: String,
        json: Value,
    },
    /// Not met yet, with the reason.
    Waiting(String),
    /// Can't be met by further polls.
    Unmeetable(error::Error),
}

/// Condition on the status of the fleet.
pub trait Condition {
    /// Evaluates the condition on the responses of one poll.
    fn evaluate(&mut self, responses: &fetch::Responses<status::Status>) -> State;
}

/// Polls until the condition holds or the time limit of the options is reached.
pub async fn run(
    options: &options::Options,
    source: &dyn fetch::Source,
    clock: &dyn clock::Clock,
    condition: &mut dyn Condition,
) -> output::Report {
    // Drawn on standard error, and only if that is a terminal.
    let progress = ProgressBar::new_spinner();
    let start = clock.elapsed();
    loop {
        let responses = fetch::fetch_statuses(source, &options.at).await;
        let waiting = match condition.evaluate(&responses) {
            State::Met { text, json } => {
                progress.finish_and_clear();
                return output::Report { text, json, error: None };
            }
            State::Unmeetable(error) => return failed_report(&progress, error),
            State::Waiting(text) => text,
        };
        progress.set_message(output::printable(&waiting));
        progress.tick();
        let mut delay = options.interval;
        if let Some(within) = options.within {
            let remaining = within.saturating_sub(clock.elapsed().saturating_sub(start));
            if remaining.is_zero() {
                let error = error::Error::NotMet { seconds: within.as_secs(), state: waiting };
                return failed_report(&progress, error);
            }
            delay = delay.min(remaining);
        }
        clock.wait(delay).await;
    }
}

fn failed_report(progress: &ProgressBar, error: error::Error) -> output::Report {
    progress.finish_and_clear();
    let json = json!({"met": false, "state": error.to_string()});
    output::Report { text: String::new(), json, error: Some(error) }
}

/// Met when the host is leaving and has nothing queued or running.
#[derive(Debug)]
pub struct Drain<'a> {
    pub host: &'a str,
    /// Addresses from which a process of the host has responded.
    pub seen_addresses: BTreeSet<String>,
}

impl Condition for Drain<'_> {
    fn evaluate(&mut self, responses: &fetch::Responses<status::Status>) -> State {
        let statuses: Vec<status::Status> =
            responses.received.iter().map(|response| response.value.clone()).collect();
        for response in
            responses.received.iter().filter(|response| response.value.host == self.host)
        {
            self.seen_addresses.insert(response.address.clone());
        }
        let progress = drain::progress(self.host, &statuses);
        // A process of the host that no longer responds may still have work in progress.
        let unreachable = responses
            .failures
            .iter()
            .find(|failure| self.seen_addresses.contains(&failure.address));
        if let Some(unreachable) = unreachable {
            let text = format!("{} at {}: {}", self.host, unreachable.address, unreachable.cause);
            return State::Waiting(text);
        }
        match progress {
            drain::Progress::Drained => State::Met {
                text: format!("{}: {progress}\n", self.host),
                json: json!({"met": true, "host": self.host, "state": progress.to_string()}),
            },
            drain::Progress::Absent
                if self.seen_addresses.is_empty() && responses.failures.is_empty() =>
            {
                State::Unmeetable(error::Error::NoSuchHost { host: self.host.to_owned() })
            }
            _ => State::Waiting(format!("{}: {progress}", self.host)),
        }
    }
}

/// Met when all processes have the revision of the branch, or a higher one, in force.
#[derive(Debug)]
pub struct Revision<'a> {
    pub branch: &'a str,
    pub revision: u64,
}

impl Condition for Revision<'_> {
    fn evaluate(&mut self, responses: &fetch::Responses<status::Status>) -> State {
        let statuses: Vec<status::Status> =
            responses.received.iter().map(|response| response.value.clone()).collect();
        let mut behind = revisions::processes_behind(&statuses, self.branch, self.revision);
        let unreachable = responses.failures.iter();
        behind
            .extend(unreachable.map(|failure| format!("{} ({})", failure.address, failure.cause)));
        let Revision { branch, revision } = self;
        let queried = responses.queried();
        if behind.is_empty() {
            let text = format!("{branch}: revision {revision} in force at {queried} processes\n");
            let json = json!({
                "met": true, "branch": branch, "revision": revision, "processes": queried,
            });
            return State::Met { text, json };
        }
        let count = queried - behind.len();
        let names = output::join_names(&behind);
        State::Waiting(format!(
            "{branch}: revision {revision} in force at {count} of {queried} processes, \
             not at {names}"
        ))
    }
}
