//! Polls the fleet until a condition holds.

use std::collections::BTreeSet;

use indicatif::ProgressBar;
use serde_json::{Value, json};
use wire::status;

use crate::{clock, drain, error, fetch, options, output, revisions};

/// What one poll tells about the condition.
#[derive(Debug)]
pub enum State {
    Met {
        text: String,
        json: Value,
    },
    /// Not met yet; the text tells why.
    Waiting(String),
    /// Further polls are of no use.
    Hopeless(error::Error),
}

/// Judges the answers of one poll.
pub trait Condition {
    /// Returns whether the condition holds.
    fn judge(&mut self, answers: &fetch::Answers<status::Status>) -> State;
}

/// Polls until the condition holds or the time limit of the options is reached.
pub async fn run(
    options: &options::Options,
    source: &dyn fetch::Source,
    clock: &dyn clock::Clock,
    condition: &mut dyn Condition,
) -> output::Report {
    // Draws on standard error, and nothing at all unless that is a terminal.
    let progress = ProgressBar::new_spinner();
    let start = clock.elapsed();
    loop {
        let answers = fetch::ask_status(source, &options.at).await;
        let waiting = match condition.judge(&answers) {
            State::Met { text, json } => {
                progress.finish_and_clear();
                return output::Report { text, json, error: None };
            }
            State::Hopeless(error) => return failed(&progress, error),
            State::Waiting(text) => text,
        };
        progress.set_message(output::printable(&waiting));
        progress.tick();
        let mut pause = options.interval;
        if let Some(within) = options.within {
            let left = within.saturating_sub(clock.elapsed().saturating_sub(start));
            if left.is_zero() {
                let error = error::Error::NotMet { seconds: within.as_secs(), state: waiting };
                return failed(&progress, error);
            }
            pause = pause.min(left);
        }
        clock.wait(pause).await;
    }
}

fn failed(progress: &ProgressBar, error: error::Error) -> output::Report {
    progress.finish_and_clear();
    let json = json!({"met": false, "state": error.to_string()});
    output::Report { text: String::new(), json, error: Some(error) }
}

/// The host is leaving and has nothing queued or running.
#[derive(Debug)]
pub struct Drain<'a> {
    pub host: &'a str,
    /// Addresses at which a process of the host answered before.
    pub seen: BTreeSet<String>,
}

impl Condition for Drain<'_> {
    fn judge(&mut self, answers: &fetch::Answers<status::Status>) -> State {
        let statuses: Vec<status::Status> =
            answers.answers.iter().map(|answer| answer.value.clone()).collect();
        for answer in answers.answers.iter().filter(|answer| answer.value.host == self.host) {
            self.seen.insert(answer.address.clone());
        }
        let progress = drain::progress(self.host, &statuses);
        // A process of the host that stopped answering may still have work in progress.
        let lost = answers.failures.iter().find(|failed| self.seen.contains(&failed.address));
        if let Some(lost) = lost {
            let text = format!("{} at {}: {}", self.host, lost.address, lost.failure);
            return State::Waiting(text);
        }
        match progress {
            drain::Progress::Drained => State::Met {
                text: format!("{}: {progress}\n", self.host),
                json: json!({"met": true, "host": self.host, "state": progress.to_string()}),
            },
            drain::Progress::Absent if self.seen.is_empty() && answers.failures.is_empty() => {
                State::Hopeless(error::Error::NoSuchHost { host: self.host.to_owned() })
            }
            _ => State::Waiting(format!("{}: {progress}", self.host)),
        }
    }
}

/// All processes have at least a revision of a branch in force.
#[derive(Debug)]
pub struct Revision<'a> {
    pub branch: &'a str,
    pub revision: u64,
}

impl Condition for Revision<'_> {
    fn judge(&mut self, answers: &fetch::Answers<status::Status>) -> State {
        let statuses: Vec<status::Status> =
            answers.answers.iter().map(|answer| answer.value.clone()).collect();
        let mut behind = revisions::behind(&statuses, self.branch, self.revision);
        let silent = answers.failures.iter();
        behind.extend(silent.map(|failed| format!("{} ({})", failed.address, failed.failure)));
        let Revision { branch, revision } = self;
        let asked = answers.asked();
        if behind.is_empty() {
            let text = format!("{branch}: revision {revision} in force at {asked} processes\n");
            let json = json!({
                "met": true, "branch": branch, "revision": revision, "processes": asked,
            });
            return State::Met { text, json };
        }
        let count = asked - behind.len();
        let names = output::names(&behind);
        State::Waiting(format!(
            "{branch}: revision {revision} in force at {count} of {asked} processes, \
             not at {names}"
        ))
    }
}
