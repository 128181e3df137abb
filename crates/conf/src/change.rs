//! What a new version of a configuration changes for callers.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Display},
    time::Duration,
};

/// One change for the callers of a subject.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Route, account or other entry that changes, as in `route h/a/`.
    pub subject: String,
    pub kind: Kind,
}

/// What changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The subject did not exist before.
    Begins,
    /// The subject no longer exists.
    Ends,
    /// Keys that are no longer accepted.
    KeysEnd { count: usize },
    /// Keys that are accepted from now on.
    KeysBegin { count: usize },
    /// Keys that count as those of another account.
    KeysMove { count: usize, to: String },
    /// A limit is lower than before.
    Falls { property: &'static str, from: String, to: String },
    /// A limit is higher than before.
    Rises { property: &'static str, from: String, to: String },
    /// A property has another value.
    Becomes { property: &'static str, from: String, to: String },
}

impl Kind {
    /// Returns the kind as one word, for programs.
    pub fn name(&self) -> &'static str {
        match self {
            Kind::Begins => "begins",
            Kind::Ends => "ends",
            Kind::KeysEnd { .. } => "keys_end",
            Kind::KeysBegin { .. } => "keys_begin",
            Kind::KeysMove { .. } => "keys_move",
            Kind::Falls { .. } => "falls",
            Kind::Rises { .. } => "rises",
            Kind::Becomes { .. } => "becomes",
        }
    }
}

impl Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.subject)?;
        match &self.kind {
            Kind::Begins => write!(f, "begins"),
            Kind::Ends => write!(f, "ends"),
            Kind::KeysEnd { count: 1 } => write!(f, "1 key ends"),
            Kind::KeysEnd { count } => write!(f, "{count} keys end"),
            Kind::KeysBegin { count: 1 } => write!(f, "1 key begins"),
            Kind::KeysBegin { count } => write!(f, "{count} keys begin"),
            Kind::KeysMove { count: 1, to } => write!(f, "1 key moves to account {to}"),
            Kind::KeysMove { count, to } => write!(f, "{count} keys move to account {to}"),
            Kind::Falls { property, from, to } => {
                write!(f, "{property} falls from {from} to {to}")
            }
            Kind::Rises { property, from, to } => {
                write!(f, "{property} rises from {from} to {to}")
            }
            Kind::Becomes { property, from, to } => {
                write!(f, "{property} was {from}, becomes {to}")
            }
        }
    }
}

/// Collects the changes of one subject.
#[derive(Debug)]
pub struct Subject<'a> {
    name: String,
    changes: &'a mut Vec<Change>,
}

impl Subject<'_> {
    /// Returns a collector that adds the changes of the subject `name` to `changes`.
    pub fn new(name: String, changes: &mut Vec<Change>) -> Subject<'_> {
        Subject { name, changes }
    }

    /// Adds a change.
    pub fn add(&mut self, kind: Kind) {
        self.changes.push(Change { subject: self.name.clone(), kind });
    }

    /// Adds a change of a number of keys, unless it is 0.
    pub fn add_keys(&mut self, count: usize, kind: impl FnOnce(usize) -> Kind) {
        if count > 0 {
            self.add(kind(count));
        }
    }

    /// Compares values that have no order.
    pub fn compare(&mut self, property: &'static str, from: impl Display, to: impl Display) {
        let (from, to) = (from.to_string(), to.to_string());
        if from != to {
            self.add(Kind::Becomes { property, from, to });
        }
    }

    /// Compares limits, of which the lower one gives callers less.
    pub fn compare_limits(&mut self, property: &'static str, unit: &str, from: f64, to: f64) {
        let text = |value: f64| match value.is_infinite() {
            true => "no limit".to_owned(),
            false => format!("{value} {unit}").trim_end().to_owned(),
        };
        let (before, after) = (text(from), text(to));
        if to < from {
            self.add(Kind::Falls { property, from: before, to: after });
        } else if to > from {
            self.add(Kind::Rises { property, from: before, to: after });
        }
    }

    /// Compares durations.
    pub fn compare_durations(&mut self, property: &'static str, from: Duration, to: Duration) {
        self.compare_limits(property, "ms", ms(from), ms(to));
    }
}

/// Compares entries by name, and calls `compare` for those that both versions have.
pub fn compare_entries<'a, K: Ord, T>(
    kind: &str,
    (from, to): (&'a BTreeMap<K, T>, &'a BTreeMap<K, T>),
    text: impl Fn(&K) -> String,
    changes: &mut Vec<Change>,
    mut compare: impl FnMut(&mut Subject<'_>, Option<&'a T>, Option<&'a T>),
) {
    let names: BTreeSet<&K> = from.keys().chain(to.keys()).collect();
    for name in names {
        let mut subject = Subject::new(format!("{kind} {}", text(name)), changes);
        let (before, after) = (from.get(name), to.get(name));
        match (before, after) {
            (None, _) => subject.add(Kind::Begins),
            (_, None) => subject.add(Kind::Ends),
            _ => {}
        }
        compare(&mut subject, before, after);
    }
}

fn ms(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}
