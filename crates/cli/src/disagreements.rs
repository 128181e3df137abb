//! Differences between the states of the fleet that processes report.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use wire::status;

use crate::output;

/// A branch that has different revisions in force at different processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Revision {
    pub branch: String,
    pub held: Vec<RevisionHolders>,
}

/// The processes that have one revision in force; the revision is none if they don't have the
/// branch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RevisionHolders {
    pub revision: Option<u64>,
    pub processes: Vec<String>,
}

/// A host that some processes report as leaving and others don't.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Leaving {
    pub host: String,
    pub leaving_by: Vec<String>,
    pub live_by: Vec<String>,
}

/// Returns the name under which a process is listed. It contains the role, since one host may
/// run an entry and an agent.
pub fn process_name(status: &status::Status) -> String {
    format!("{}/{}", status.host, status.role)
}

/// Returns the branches that don't have the same revision in force at all processes.
pub fn revisions(statuses: &[status::Status]) -> Vec<Revision> {
    let branches: BTreeSet<&String> =
        statuses.iter().flat_map(|status| status.revisions.keys()).collect();
    let mut disagreements = Vec::new();
    for branch in branches {
        let mut held: BTreeMap<Option<u64>, Vec<String>> = BTreeMap::new();
        for status in statuses {
            let revision = status.revisions.get(branch).copied();
            held.entry(revision).or_default().push(process_name(status));
        }
        if held.len() > 1 {
            let held = held
                .into_iter()
                .map(|(revision, processes)| RevisionHolders { revision, processes });
            disagreements.push(Revision { branch: branch.clone(), held: held.collect() });
        }
    }
    disagreements
}

/// Returns the hosts that some processes report as leaving and others as not leaving. What the
/// processes of a host report of themselves counts too; processes that don't list a host are not
/// counted for it.
pub fn leaving(statuses: &[status::Status]) -> Vec<Leaving> {
    let mut views: BTreeMap<&str, (BTreeSet<String>, BTreeSet<String>)> = BTreeMap::new();
    for status in statuses {
        let own_view = (status.host.as_str(), status.leaving);
        let others = status.hosts.iter().filter(|host| host.host != status.host);
        let others = others.map(|host| (host.host.as_str(), host.leaving));
        for (host, leaving) in others.chain([own_view]) {
            let (leaving_by, live_by) = views.entry(host).or_default();
            let reporters = if leaving { leaving_by } else { live_by };
            reporters.insert(process_name(status));
        }
    }
    let differing =
        views.into_iter().filter(|(_, (leaving, live))| !leaving.is_empty() && !live.is_empty());
    differing
        .map(|(host, (leaving_by, live_by))| Leaving {
            host: host.to_owned(),
            leaving_by: leaving_by.into_iter().collect(),
            live_by: live_by.into_iter().collect(),
        })
        .collect()
}

/// Returns table rows with three cells: the branch or host, one state of it, and the processes
/// that report this state.
pub fn rows(revisions: &[Revision], leaving: &[Leaving]) -> Vec<Vec<String>> {
    let mut rows = Vec::new();
    for Revision { branch, held } in revisions {
        for RevisionHolders { revision, processes } in held {
            let view = match revision {
                Some(revision) => format!("revision {revision}"),
                None => "no revision".to_owned(),
            };
            rows.push(vec![format!("branch {branch}"), view, output::join_names(processes)]);
        }
    }
    for Leaving { host, leaving_by, live_by } in leaving {
        for (view, processes) in [("leaving", leaving_by), ("not leaving", live_by)] {
            rows.push(vec![format!("host {host}"), view.to_owned(), output::join_names(processes)]);
        }
    }
    rows
}
