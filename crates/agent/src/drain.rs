//! Whether this agent accepts requests, and orders to its engine.

use conf::tree;
use wire::host;

/// Readiness, drain orders and the planned stop.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    pub(crate) ready: bool,
    pub(crate) stopping: bool,
    pub(crate) stopped: bool,
    /// Whether the settings order this host to drain.
    drain_ordered: bool,
    /// Whether the host list has this host as leaving.
    listed_as_leaving: bool,
    last_fence: Option<u64>,
}

impl Drain {
    /// Returns whether new requests are refused because the host is leaving or the agent is
    /// stopping.
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_host_leaving() || self.stopping
    }

    /// Returns whether the host is leaving, so that the end of its engine is planned.
    pub(crate) fn is_host_leaving(&self) -> bool {
        self.drain_ordered || self.listed_as_leaving
    }

    /// Applies settings. Returns the order for this host unless its fence shows that it, or a newer
    /// one, was already returned.
    pub(crate) fn apply_settings(&mut self, tree: &tree::Tree, host: &[u8]) -> Option<tree::Order> {
        self.drain_ordered = tree.drains.contains_key(host);
        let order = tree.orders.get(host)?;
        if self.last_fence.is_some_and(|last| order.fence <= last) {
            return None;
        }
        self.last_fence = Some(order.fence);
        Some(order.clone())
    }

    /// Applies the host list. A list without this host changes nothing, since a host that is being
    /// removed must not accept requests again.
    pub(crate) fn apply_hosts(&mut self, hosts: &[host::Record], host: &[u8]) {
        let is_this_agent =
            |record: &&host::Record| record.host == host && record.role == host::Role::Agent;
        if let Some(record) = hosts.iter().find(is_this_agent) {
            self.listed_as_leaving = record.state == host::State::Leaving;
        }
    }
}
