//! Versions of the configuration, also of a store that comes back from an older copy.

use std::{cmp::Ordering, rc::Rc, time::Duration};

use wire::time::Instant;

use super::{Machine, OpenRequest, State};
use crate::{Action, catalog::Catalog, event::RequestNumber, refusal::Reason};

/// Time for which an older version in a store that came back from an older copy is not put in force,
/// also if it was written since then. Operators' versions only increase, so the versions that the
/// store lost are being written again, one after the other.
const OLDER_VERSION_GRACE: Duration = Duration::from_secs(10);

impl Machine {
    /// Records that the store came back from an older copy.
    pub(super) fn record_restore(&mut self) {
        self.restores += 1;
        self.older_catalog = None;
        self.backends.record_restore();
    }

    /// Puts an older version in force once its grace time has passed.
    pub(super) fn use_older_catalog(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some((catalog, _)) = self.older_catalog.take_if(|(_, at)| now >= *at) {
            tracing::warn!(event = "version_reverted", version = catalog.version);
            self.put_in_force(now, catalog, actions);
        }
    }

    /// Puts a version that the store holds in force if it is newer. After the store came back from
    /// an older copy, an older version has to be the published one for a while.
    pub(super) fn install_catalog(
        &mut self,
        now: Instant,
        catalog: Rc<Catalog>,
        actions: &mut Vec<Action>,
    ) {
        let Some(current) = &self.catalog else {
            self.put_in_force(now, catalog, actions);
            return;
        };
        let is_restored = self.catalog_restores < self.restores;
        match catalog.version.cmp(&current.version) {
            Ordering::Greater => self.put_in_force(now, catalog, actions),
            Ordering::Equal if is_restored && catalog != *current => {
                self.put_in_force(now, catalog, actions);
            }
            Ordering::Equal => {
                self.catalog_restores = self.restores;
                self.older_catalog = None;
            }
            Ordering::Less if is_restored && !self.is_pending(catalog.version) => {
                let (version, in_force) = (catalog.version, current.version);
                tracing::warn!(event = "version_older", version, in_force);
                self.older_catalog = Some((catalog, now + OLDER_VERSION_GRACE));
            }
            Ordering::Less => {}
        }
    }

    /// Returns whether this older version waits to be put in force, so that a repeated read doesn't
    /// change its time.
    fn is_pending(&self, version: u64) -> bool {
        self.older_catalog.as_ref().is_some_and(|(pending, _)| pending.version == version)
    }

    fn put_in_force(&mut self, now: Instant, catalog: Rc<Catalog>, actions: &mut Vec<Action>) {
        self.older_catalog = None;
        self.catalog_restores = self.restores;
        self.quotas.set_accounts(catalog.accounts.iter());
        self.configure_warm_ups(&catalog);
        self.catalog = Some(catalog);
        self.recheck_api_keys(now, actions);
    }

    /// Refuses waiting requests whose API key was withdrawn.
    fn recheck_api_keys(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let withdrawn = |open: &OpenRequest| {
            let checked = self.check_api_key(now, &open.entry);
            open.state == State::Waiting && checked == Err(Reason::UnknownKey)
        };
        let withdrawn_numbers = self.open_requests.iter().filter(|(_, open)| withdrawn(open));
        let withdrawn_numbers: Vec<RequestNumber> =
            withdrawn_numbers.map(|(number, _)| *number).collect();
        for number in withdrawn_numbers {
            self.refuse_waiting(now, number, Reason::UnknownKey, actions);
        }
    }
}
