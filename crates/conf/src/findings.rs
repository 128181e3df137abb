//! Valid settings that can't have the effect that they state: sections that are never used, and
//! limits that contradict each other across sections.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;

use crate::{branch, check, tree};

/// A finding, which processes accept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finding {
    /// No route uses the pool.
    UnusedPool { pool: Bytes },
    /// The tier outranks the top tiers of all accounts.
    UnusedTier { tier: Bytes, rank: u8, top: u8 },
    /// The second agent gets an offer only after all deadlines.
    LateHedge { pool: Bytes, hedge: Duration, longest: Duration },
    /// A key of a route's call expires before the call's deadline.
    ShortKeys { pool: Bytes, key_ttl: Duration, route: Bytes, max_deadline: Duration },
    /// The route accepts longer bodies than an entry holds.
    LargeBody { route: Bytes, bytes: u64, limit: u64 },
}

impl Finding {
    /// Returns the kind of the section and its name.
    fn section(&self) -> (&'static str, &Bytes) {
        match self {
            Finding::UnusedPool { pool }
            | Finding::LateHedge { pool, .. }
            | Finding::ShortKeys { pool, .. } => ("pool", pool),
            Finding::UnusedTier { tier, .. } => ("tier", tier),
            Finding::LargeBody { route, .. } => ("route", route),
        }
    }

    fn key(&self) -> &'static str {
        match self {
            Finding::UnusedPool { .. } => "",
            Finding::UnusedTier { .. } => "rank",
            Finding::LateHedge { .. } => "hedge_ms",
            Finding::ShortKeys { .. } => "key_ttl_ms",
            Finding::LargeBody { .. } => "max_body_bytes",
        }
    }

    fn value(&self) -> String {
        match self {
            Finding::UnusedPool { .. } => String::new(),
            Finding::UnusedTier { rank, .. } => rank.to_string(),
            Finding::LateHedge { hedge, .. } => hedge.as_millis().to_string(),
            Finding::ShortKeys { key_ttl, .. } => key_ttl.as_millis().to_string(),
            Finding::LargeBody { bytes, .. } => bytes.to_string(),
        }
    }

    fn allowed(&self) -> String {
        match self {
            Finding::UnusedPool { .. } => "a pool that a route uses".to_owned(),
            Finding::UnusedTier { top, .. } => {
                format!("at least {top}, the highest rank among the top tiers of accounts")
            }
            Finding::LateHedge { longest, .. } => {
                format!("less than {} ms, the longest deadline of a tier", longest.as_millis())
            }
            Finding::ShortKeys { route, max_deadline, .. } => format!(
                "at least {} ms, max_deadline_ms of the tier of route {}",
                max_deadline.as_millis(),
                branch::to_text(route)
            ),
            Finding::LargeBody { limit, .. } => {
                format!("at most {limit} bytes, max_held_bytes of [entry]")
            }
        }
    }

    /// Returns the finding with its place, value and what is allowed. The file is the branch, of
    /// `branches`, that the section is taken from.
    pub fn describe(&self, branches: &BTreeMap<Bytes, tree::Branch>) -> check::Error {
        let (kind, name) = self.section();
        let owner = branches.iter().find(|(_, tree::Branch(tree, _))| match kind {
            "pool" => tree.pools.contains_key(name),
            "tier" => tree.tiers.contains_key(name),
            _ => tree.routes.contains_key(name),
        });
        check::Error {
            file: owner.map(|(file, _)| branch::to_text(file)).unwrap_or_default(),
            section: format!("{kind} {}", branch::to_text(name)),
            key: self.key().to_owned(),
            value: self.value(),
            allowed: self.allowed(),
        }
    }
}

/// Returns the findings of a merged tree.
pub fn find(tree: &tree::Tree) -> Vec<Finding> {
    let mut findings = Vec::new();
    find_unused_sections(tree, &mut findings);
    find_late_hedges(tree, &mut findings);
    find_short_keys(tree, &mut findings);
    find_large_bodies(tree, &mut findings);
    findings
}

fn find_unused_sections(tree: &tree::Tree, findings: &mut Vec<Finding>) {
    for pool in tree.pools.keys() {
        if !tree.routes.values().any(|route| route.pool == *pool) {
            findings.push(Finding::UnusedPool { pool: pool.clone() });
        }
    }
    let tops = tree.accounts.values().filter_map(|account| tree.tiers.get(&account.top_tier));
    let Some(top) = tops.map(|tier| tier.rank).min() else { return };
    for (name, tier) in &tree.tiers {
        if tier.rank.outranks(top) {
            let (rank, top) = (tier.rank.0, top.0);
            findings.push(Finding::UnusedTier { tier: name.clone(), rank, top });
        }
    }
}

fn find_late_hedges(tree: &tree::Tree, findings: &mut Vec<Finding>) {
    let Some(longest) = tree.tiers.values().map(|tier| tier.max_deadline).max() else { return };
    for (name, pool) in &tree.pools {
        if pool.hedge >= longest {
            let (pool, hedge) = (name.clone(), pool.hedge);
            findings.push(Finding::LateHedge { pool, hedge, longest });
        }
    }
}

/// A caller that repeats a call within its deadline needs the key to be valid for as long.
fn find_short_keys(tree: &tree::Tree, findings: &mut Vec<Finding>) {
    for (name, route) in &tree.routes {
        if route.idempotent || !route.require_key {
            continue;
        }
        let pair = (tree.pools.get(&route.pool), tree.tiers.get(&route.tier));
        let (Some(pool), Some(tier)) = pair else { continue };
        if pool.key_ttl < tier.max_deadline {
            findings.push(Finding::ShortKeys {
                pool: route.pool.clone(),
                key_ttl: pool.key_ttl,
                route: name.clone(),
                max_deadline: tier.max_deadline,
            });
        }
    }
}

fn find_large_bodies(tree: &tree::Tree, findings: &mut Vec<Finding>) {
    let limit = tree.entry.max_held_bytes;
    for (name, route) in &tree.routes {
        if route.max_body_bytes > limit {
            let (route, bytes) = (name.clone(), route.max_body_bytes);
            findings.push(Finding::LargeBody { route, bytes, limit });
        }
    }
}
