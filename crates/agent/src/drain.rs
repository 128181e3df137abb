//! Whether this agent takes work, and orders for its engine.

use conf::tree;
use wire::host;

/// Readiness, drain orders and stop.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    pub(crate) ready: bool,
    pub(crate) stopping: bool,
    pub(crate) stopped: bool,
    /// Whether the settings order a drain.
    drain_ordered: bool,
    /// Whether the host list says so.
    listed_as_leaving: bool,
    last_fence: Option<u64>,
}

impl Drain {
    /// Returns whether no new work may be taken.
    pub(crate) fn is_leaving(&self) -> bool {
        self.drain_ordered || self.listed_as_leaving || self.stopping
    }

    /// Takes over settings and returns an order that was not given yet.
    pub(crate) fn apply_settings(&mut self, tree: &tree::Tree, host: &[u8]) -> Option<tree::Order> {
        self.drain_ordered = tree.drains.contains_key(host);
        let order = tree.orders.get(host)?;
        if self.last_fence.is_some_and(|last| order.fence <= last) {
            return None;
        }
        self.last_fence = Some(order.fence);
        Some(order.clone())
    }

    /// Takes over the host list. A list without this host changes nothing, since a host that
    /// is being removed must not take work again.
    pub(crate) fn apply_hosts(&mut self, hosts: &[host::Record], host: &[u8]) {
        let is_this_agent =
            |record: &&host::Record| record.host == host && record.role == host::Role::Agent;
        if let Some(record) = hosts.iter().find(is_this_agent) {
            self.listed_as_leaving = record.state == host::State::Leaving;
        }
    }
}
