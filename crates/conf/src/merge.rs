//! Merges accepted branches into the settings tree in force.

use std::collections::{BTreeMap, btree_map};

use bytes::Bytes;
use wire::tier;

use crate::{branch, check, tree};

/// The merged tree with the branch that each section came from.
#[derive(Default)]
struct Merge {
    tree: tree::Tree,
    owners: BTreeMap<(&'static str, Bytes), String>,
    errors: Vec<check::Error>,
}

/// Merges branches in name order.
pub(crate) fn merge(branches: &BTreeMap<Bytes, tree::Branch>) -> (tree::Tree, Vec<check::Error>) {
    let mut merge = Merge::default();
    let mut entry_owner = None;
    for (name, tree::Branch(from, has_entry)) in branches {
        let file = branch::to_text(name);
        let Merge { tree, owners, errors } = &mut merge;
        let mut merger = SectionMerger { file: &file, owners, errors };
        merger.merge_sections("tier", &from.tiers, &mut tree.tiers);
        merger.merge_sections("account", &from.accounts, &mut tree.accounts);
        merger.merge_sections("route", &from.routes, &mut tree.routes);
        merger.merge_sections("pool", &from.pools, &mut tree.pools);
        merger.merge_sections("drain", &from.drains, &mut tree.drains);
        merger.merge_sections("order", &from.orders, &mut tree.orders);
        match (has_entry, &entry_owner) {
            (false, _) => {}
            (true, None) => {
                tree.entry = from.entry.clone();
                entry_owner = Some(file);
            }
            (true, Some(owner)) => errors.push(duplicate_section(&file, "entry", owner)),
        }
    }
    merge.report_shared_ranks();
    merge.remove_invalid_accounts();
    merge.remove_invalid_routes();
    (merge.tree, merge.errors)
}

/// Adds the sections of one branch to the tree.
struct SectionMerger<'a> {
    file: &'a str,
    owners: &'a mut BTreeMap<(&'static str, Bytes), String>,
    errors: &'a mut Vec<check::Error>,
}

impl SectionMerger<'_> {
    fn merge_sections<T: Clone>(
        &mut self,
        kind: &'static str,
        from: &BTreeMap<Bytes, T>,
        to: &mut BTreeMap<Bytes, T>,
    ) {
        for (name, value) in from {
            match self.owners.entry((kind, name.clone())) {
                btree_map::Entry::Vacant(owner) => {
                    owner.insert(self.file.to_owned());
                    to.insert(name.clone(), value.clone());
                }
                btree_map::Entry::Occupied(owner) => {
                    let section = format!("{kind} {}", branch::to_text(name));
                    self.errors.push(duplicate_section(self.file, &section, owner.get()));
                }
            }
        }
    }
}

impl Merge {
    fn report_error(
        &mut self,
        kind: &'static str,
        name: &Bytes,
        key: &str,
        value: &[u8],
        allowed: &str,
    ) {
        let file = self.owners.get(&(kind, name.clone())).cloned().unwrap_or_default();
        self.errors.push(check::Error {
            file,
            section: format!("{kind} {}", branch::to_text(name)),
            key: key.to_owned(),
            value: branch::to_text(value),
            allowed: allowed.to_owned(),
        });
    }

    fn owner_file(&self, kind: &'static str, name: &Bytes) -> String {
        self.owners.get(&(kind, name.clone())).cloned().unwrap_or_default()
    }

    /// Returns the names of a kind of section, ordered by branch, then by name.
    fn names_by_owner<'a>(
        &self,
        kind: &'static str,
        names: impl Iterator<Item = &'a Bytes>,
    ) -> Vec<Bytes> {
        let mut names: Vec<Bytes> = names.cloned().collect();
        names.sort_by_cached_key(|name| (self.owner_file(kind, name), name.clone()));
        names
    }

    /// Reports ranks shared by tiers of two branches. Both tiers stay, with equal precedence.
    fn report_shared_ranks(&mut self) {
        let mut ranks: BTreeMap<tier::Tier, Bytes> = BTreeMap::new();
        for name in self.names_by_owner("tier", self.tree.tiers.keys()) {
            let rank = self.tree.tiers[&name].rank;
            if let Some(other) = ranks.get(&rank) {
                let allowed = format!("a rank not used by tier {}", branch::to_text(other));
                self.report_error("tier", &name, "rank", rank.0.to_string().as_bytes(), &allowed);
            } else {
                ranks.insert(rank, name);
            }
        }
    }

    fn remove_invalid_accounts(&mut self) {
        let mut keys: BTreeMap<Bytes, Bytes> = BTreeMap::new();
        for name in self.names_by_owner("account", self.tree.accounts.keys()) {
            let account = &self.tree.accounts[&name];
            let (tier, key) = (account.top_tier.clone(), account.api_key_sha256.clone());
            if !self.tree.tiers.contains_key(&tier) {
                self.report_error("account", &name, "top_tier", &tier, "a tier that is defined");
            } else if let Some(other) = keys.get(&key) {
                let allowed = format!("a key not used by account {}", branch::to_text(other));
                self.report_error("account", &name, "api_key_sha256", &key, &allowed);
            } else {
                if !key.is_empty() {
                    keys.insert(key, name);
                }
                continue;
            }
            self.tree.accounts.remove(&name);
        }
    }

    fn remove_invalid_routes(&mut self) {
        let mut selectors: BTreeMap<(Bytes, Bytes), Bytes> = BTreeMap::new();
        for name in self.names_by_owner("route", self.tree.routes.keys()) {
            let route = self.tree.routes[&name].clone();
            let mut is_valid = true;
            if !self.tree.pools.contains_key(&route.pool) {
                self.report_error("route", &name, "pool", &route.pool, "a pool that is defined");
                is_valid = false;
            }
            if !self.tree.tiers.contains_key(&route.tier) {
                self.report_error("route", &name, "tier", &route.tier, "a tier that is defined");
                is_valid = false;
            }
            let (key, value) = branch::selector(&route);
            if let Some(other) = selectors.get(&(route.path.clone(), route.model.clone())) {
                let allowed = format!("a value not used by route {}", branch::to_text(other));
                self.report_error("route", &name, key, value, &allowed);
                is_valid = false;
            }
            if is_valid {
                selectors.insert((route.path.clone(), route.model.clone()), name);
            } else {
                self.tree.routes.remove(&name);
            }
        }
    }
}

fn duplicate_section(file: &str, section: &str, owner: &str) -> check::Error {
    check::Error {
        file: file.to_owned(),
        section: section.to_owned(),
        key: String::new(),
        value: String::new(),
        allowed: format!("a section not defined in branch {owner}"),
    }
}
