//! Arrivals: the checks that a request passes before it waits for a backend server.

use wire::time::Instant;

use super::{Machine, OpenRequest};
use crate::{
    Action, admission,
    event::RequestNumber,
    queue::Entry,
    quota::{self, Admission},
    refusal::{self, Inputs, Reason, Refusal},
    request::Request,
    retry_budget::RetryBudget,
};

/// Tier of requests that exceed their account's quota.
const BEYOND_QUOTA_TIER: u32 = u32::MAX;

impl Machine {
    pub(super) fn handle_arrival(
        &mut self,
        now: Instant,
        number: RequestNumber,
        request: Request,
        actions: &mut Vec<Action>,
    ) {
        let (host, path) = (request.host.clone(), request.path.clone());
        match self.admit(now, request) {
            Ok(mut entry) => {
                entry.urgency = self.record_tier(now, &entry);
                let gateways = self.peers.serving_count(now);
                let bounds = &self.setup.bounds;
                let (first_start, started_at) = (self.setup.first_start, self.started_at);
                let budget = self.retry_budgets.entry(entry.service.clone());
                let budget = budget.or_insert_with(|| match first_start {
                    true => RetryBudget::full(now, bounds, gateways),
                    false => RetryBudget::started(started_at),
                });
                budget.record_request(bounds, gateways);
                self.arrivals.entry(entry.service.clone()).or_default().record(now);
                self.enqueue(number, entry);
                self.record_wait();
                self.throttle(now, number, actions);
                self.find_origin(now, number, actions);
            }
            Err(mut refusal) => {
                let quota = refusal.inputs.quota;
                let route = self.catalog.as_ref().and_then(|catalog| catalog.route(&host, &path));
                let service = route.and_then(|route| Some(route.split.first()?.0.clone()));
                let service = service.unwrap_or_default();
                refusal.inputs = Inputs { quota, ..self.refusal_inputs(now, &service) };
                actions.push(Action::Refuse { number, refusal });
            }
        }
    }

    fn admit(&mut self, now: Instant, request: Request) -> Result<Entry, Refusal> {
        let left = admission::time_left(&request);
        if !self.accepts_requests(now) {
            return Err(admission::retry_later(Reason::Stopping, left, &mut self.rng));
        }
        let catalog = self.catalog.clone();
        let catalog =
            catalog.ok_or_else(|| admission::retry_later(Reason::NotReady, left, &mut self.rng))?;
        if let Some(verdict) = self.verdict(now, &request) {
            let part = verdict.part.and_then(|part| request.parts.get(part));
            tracing::info!(
                event = "quarantined",
                id = %String::from_utf8_lossy(&request.id),
                fingerprint = %format_args!("{:016x}", request.fingerprint),
                part = %String::from_utf8_lossy(part.map_or(&[], |part| &part[..])),
                ends = verdict.ends,
                left_ms = verdict.left.as_millis() as u64,
            );
            let retry_after = Some(verdict.left);
            return Err(Refusal { retry_after, ..Refusal::new(Reason::Poison) });
        }
        if self.may_lack_configuration(now) {
            return Err(admission::retry_later(Reason::Stale, left, &mut self.rng));
        }
        let mut entry = admission::build_entry(
            &catalog,
            &self.lease,
            now,
            request,
            &mut self.deadlines,
            &mut self.rng,
        )?;
        if let Some(account) = &entry.account
            && let Some(account) = catalog.accounts.iter().find(|a| a.name == *account)
        {
            let counts = self.peers.counts(now);
            let units = quota::cost(account, &entry.request);
            match self.quotas.admit(now, account, units, counts, &self.setup.bounds) {
                Ok(Admission::Within) => {}
                Ok(Admission::Beyond) => entry.tier = BEYOND_QUOTA_TIER,
                Err(wait) => {
                    let quota = Some(refusal::Quota {
                        used: self.quotas.used(&account.name),
                        units,
                        granted: quota::granted(account, &self.setup.bounds),
                    });
                    let inputs = Inputs { quota, ..Inputs::default() };
                    return Err(Refusal { reason: Reason::Quota, retry_after: Some(wait), inputs });
                }
            }
            entry.units = units;
        }
        Ok(entry)
    }

    pub(super) fn enqueue(&mut self, number: RequestNumber, entry: Entry) {
        self.queues.entry(entry.service.clone()).or_default().push(&entry, number);
        self.open_requests.insert(number, OpenRequest::waiting(entry));
    }
}
