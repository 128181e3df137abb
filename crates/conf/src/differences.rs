//! Compares a settings tree with the one in force, by what changes for callers.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use wire::request;

use crate::{
    branch,
    change::{self, Change, Kind, Subject},
    route, tree,
};

/// Returns what `to` changes for callers if `from` is in force.
pub fn find(from: &tree::Tree, to: &tree::Tree) -> Vec<Change> {
    let mut changes = Vec::new();
    compare_routes(from, to, &mut changes);
    let name = |name: &Bytes| branch::to_text(name);
    let tiers = (&from.tiers, &to.tiers);
    change::compare_entries("tier", tiers, name, &mut changes, |subject, from, to| {
        if let (Some(from), Some(to)) = (from, to) {
            compare_tiers(subject, from, to);
        }
    });
    let accounts = (&from.accounts, &to.accounts);
    change::compare_entries("account", accounts, name, &mut changes, compare_accounts);
    compare_pools(&from.pools, &to.pools, &mut changes);
    let drains = (&from.drains, &to.drains);
    change::compare_entries("drain of host", drains, name, &mut changes, |_, _, _| {});
    compare_entry(&from.entry, &to.entry, &mut changes);
    changes
}

/// Compares the routes that serve each path and model that a route of either tree names.
fn compare_routes(from: &tree::Tree, to: &tree::Tree, changes: &mut Vec<Change>) {
    let routes = from.routes.values().chain(to.routes.values());
    let selectors: BTreeSet<(&Bytes, &Bytes)> =
        routes.map(|route| (&route.path, &route.model)).collect();
    for (path, model) in selectors {
        let find = |tree| route::find(tree, path, model).map(|(_, route)| route);
        let name = match model.is_empty() {
            true => format!("route {}", branch::to_text(path)),
            false => format!("route of model {}", branch::to_text(model)),
        };
        let mut subject = Subject::new(name, changes);
        match (find(from), find(to)) {
            (None, _) => subject.add(Kind::Begins),
            (_, None) => subject.add(Kind::Ends),
            (Some(from), Some(to)) => compare_route(&mut subject, from, to),
        }
    }
}

fn compare_route(subject: &mut Subject<'_>, from: &tree::Route, to: &tree::Route) {
    subject.compare("pool", branch::to_text(&from.pool), branch::to_text(&to.pool));
    subject.compare("kind", kind_name(from.kind), kind_name(to.kind));
    subject.compare("tier", branch::to_text(&from.tier), branch::to_text(&to.tier));
    subject.compare("idempotent", yes_no(from.idempotent), yes_no(to.idempotent));
    subject.compare("require_key", yes_no(from.require_key), yes_no(to.require_key));
    let (before, after) = (from.max_body_bytes as f64, to.max_body_bytes as f64);
    subject.compare_limits("max_body_bytes", "bytes", before, after);
}

fn compare_tiers(subject: &mut Subject<'_>, from: &tree::Tier, to: &tree::Tier) {
    subject.compare("rank", from.rank.0, to.rank.0);
    subject.compare_durations("deadline_ms", from.deadline, to.deadline);
    subject.compare_durations("max_deadline_ms", from.max_deadline, to.max_deadline);
}

fn compare_accounts(
    subject: &mut Subject<'_>,
    from: Option<&tree::Account>,
    to: Option<&tree::Account>,
) {
    let key = |account: Option<&tree::Account>| {
        account.map(|account| account.api_key_sha256.clone()).filter(|key| !key.is_empty())
    };
    let (former, new) = (key(from), key(to));
    if former != new {
        subject.add_keys(usize::from(former.is_some()), |count| Kind::KeysEnd { count });
        subject.add_keys(usize::from(new.is_some()), |count| Kind::KeysBegin { count });
    }
    let (Some(from), Some(to)) = (from, to) else { return };
    subject.compare("key needed", yes_no(!from.admits(false)), yes_no(!to.admits(false)));
    subject.compare("top_tier", branch::to_text(&from.top_tier), branch::to_text(&to.top_tier));
    subject.compare_limits("share", "", f64::from(from.share), f64::from(to.share));
    subject.compare_limits("max_open", "requests", from.max_open.into(), to.max_open.into());
}

/// Compares the pools that both trees have. Those that only one has show in their routes.
fn compare_pools(
    from: &BTreeMap<Bytes, tree::Pool>,
    to: &BTreeMap<Bytes, tree::Pool>,
    changes: &mut Vec<Change>,
) {
    for (name, from) in from {
        let Some(to) = to.get(name) else { continue };
        let mut subject = Subject::new(format!("pool {}", branch::to_text(name)), changes);
        subject.compare_durations("key_ttl_ms", from.key_ttl, to.key_ttl);
        subject.compare_durations("retention_ms", from.retention, to.retention);
        subject.compare_durations("orphan_ttl_ms", from.orphan_ttl, to.orphan_ttl);
        subject.compare_durations("resume_limit_ms", from.resume_limit, to.resume_limit);
        subject.compare_durations("quarantine_ms", from.quarantine, to.quarantine);
        let count = |value: u32| f64::from(value);
        let (before, after) = (count(from.max_running), count(to.max_running));
        subject.compare_limits("max_running", "requests", before, after);
        let (before, after) = (count(from.max_queued), count(to.max_queued));
        subject.compare_limits("max_queued", "requests", before, after);
        let (before, after) = (from.max_prompt_tokens as f64, to.max_prompt_tokens as f64);
        subject.compare_limits("max_prompt_tokens", "tokens", before, after);
        let (before, after) = (from.max_queued_tokens as f64, to.max_queued_tokens as f64);
        subject.compare_limits("max_queued_tokens", "tokens", before, after);
    }
}

fn compare_entry(from: &tree::Entry, to: &tree::Entry, changes: &mut Vec<Change>) {
    let mut subject = Subject::new("entry".to_owned(), changes);
    subject.compare_limits("max_open", "requests", from.max_open.into(), to.max_open.into());
    let (before, after) = (from.max_held_bytes as f64, to.max_held_bytes as f64);
    subject.compare_limits("max_held_bytes", "bytes", before, after);
    let (before, after) = (from.retry_percent.into(), to.retry_percent.into());
    subject.compare_limits("retry_percent", "percent", before, after);
}

fn kind_name(kind: request::Kind) -> &'static str {
    match kind {
        request::Kind::Model => "model",
        request::Kind::Service => "service",
    }
}

fn yes_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}
