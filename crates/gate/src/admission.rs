//! Checks that a request passes before it may wait for a backend server.

use std::{ops, time::Duration};

use bytes::Bytes;
use wire::time::Instant;

use crate::{
    catalog::{Account, Catalog, Route, RouteKind},
    deadlines::Deadlines,
    lease::Lease,
    origin::Origin,
    plain_load::Urgency,
    queue::Entry,
    refusal::{Reason, Refusal},
    request::Request,
};

/// Longest time for a request if the caller states no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(15);
/// Part of the objective for which a request waits for a backend server.
const MAX_WAIT_SHARE: f64 = 0.6;
/// Number of route tiers within one tier of accounts.
pub const ROUTE_TIERS: u32 = 100;
/// Range of the time to retry after a refusal, as a part of the caller's remaining time. Callers
/// wait for up to a third of their remaining time. A later retry more likely comes after the burst,
/// and the random choice keeps callers that were refused together from retrying together. The least
/// share makes the retry known as such by the caller's remaining time; see `deadlines`.
const RETRY_SHARES: ops::Range<f64> = 0.2..0.32;
/// Part of its remaining time for which a caller waits at most before it retries.
const MAX_RETRY_SHARE: f64 = 1.0 / 3.0;
/// Remaining time assumed for the time to retry after if the caller states no deadline.
const DEFAULT_TIME_LEFT: Duration = Duration::from_secs(4);

/// Returns a refusal with a random time to retry within `left`, the caller's remaining time.
pub fn retry_later(reason: Reason, left: Duration, rng: &mut fastrand::Rng) -> Refusal {
    let share = RETRY_SHARES.start + rng.f64() * (RETRY_SHARES.end - RETRY_SHARES.start);
    Refusal { retry_after: Some(left.mul_f64(share)), ..Refusal::new(reason) }
}

/// Returns the longest time to retry after that a caller with `left` of its time accepts.
pub fn max_retry_after(left: Duration) -> Duration {
    left.mul_f64(MAX_RETRY_SHARE)
}

/// Returns the remaining time that the caller stated, or a default, for the choice of a time to
/// retry after.
pub fn time_left(request: &Request) -> Duration {
    request.deadline.unwrap_or(DEFAULT_TIME_LEFT)
}

/// Returns the queue entry of a request by the configuration in force.
///
/// # Errors
///
/// Returns the refusal of a request that has no route or no valid API key, or whose API key can't
/// be accepted since the configuration was not confirmed recently enough.
pub fn build_entry(
    catalog: &Catalog,
    lease: &Lease,
    now: Instant,
    request: Request,
    deadlines: &mut Deadlines,
    rng: &mut fastrand::Rng,
) -> Result<Entry, Refusal> {
    let left = time_left(&request);
    let deny = |reason: Reason, rng: &mut fastrand::Rng| match lease.may_deny(now) {
        true => Refusal::new(reason),
        // A later configuration may have the route or API key.
        false => retry_later(Reason::Stale, left, rng),
    };
    let Some(route) = catalog.route(&request.host, &request.path) else {
        return Err(deny(Reason::NoRoute, rng));
    };
    let requires_api_key = catalog.requires_api_key && !route.public;
    let account = match requires_api_key {
        true => {
            let account = request.api_key.as_ref().and_then(|key| catalog.account(key));
            let Some(account) = account else { return Err(deny(Reason::UnknownKey, rng)) };
            if !lease.is_valid(now) {
                return Err(retry_later(Reason::Stale, left, rng));
            }
            Some(account)
        }
        false => None,
    };
    let elapsed = deadlines.record(route, request.deadline);
    Ok(Entry {
        overdue: elapsed >= route.objective,
        objective: now + route.objective.saturating_sub(elapsed),
        ..waiting_entry(catalog, route, account, now, request, rng)
    })
}

fn waiting_entry(
    catalog: &Catalog,
    route: &Route,
    account: Option<&Account>,
    now: Instant,
    request: Request,
    rng: &mut fastrand::Rng,
) -> Entry {
    let time_allowed = request.deadline.unwrap_or(DEFAULT_DEADLINE).min(route.timeout);
    let max_wait = route.objective.mul_f64(MAX_WAIT_SHARE).min(time_allowed);
    let service = choose_service(&route.split, rng);
    let tokens_per_event =
        catalog.services.get(&service).and_then(|service| service.tokens_per_event);
    Entry {
        route: route.name.clone(),
        service,
        tokens_per_event: tokens_per_event.unwrap_or(1),
        max_pause: route.max_pause,
        account: account.map(|account| account.name.clone()),
        units: 0.0,
        requires_api_key: account.is_some(),
        kind: route.kind,
        is_repeatable: route.is_repeatable(),
        max_attempts: route.max_attempts.max(1),
        tier: tier(account, route),
        urgency: Urgency::First,
        arrived_at: now,
        objective: now + route.objective,
        objective_duration: route.objective,
        overdue: false,
        deadline: now + time_allowed,
        wait_until: now + max_wait,
        origin: match route.kind == RouteKind::Stream && request.resumption.is_some() {
            true => Origin::Unknown,
            false => Origin::None,
        },
        attempts: 0,
        excluded: Vec::new(),
        request,
    }
}

/// Returns the tier of a request: the account's tier takes precedence over the route's.
fn tier(account: Option<&Account>, route: &Route) -> u32 {
    let account_tier = account.and_then(|account| account.tier).unwrap_or(0);
    account_tier.saturating_mul(ROUTE_TIERS).saturating_add(route.tier.min(ROUTE_TIERS - 1))
}

/// Chooses a service at random by weight.
fn choose_service(split: &[(Bytes, u32)], rng: &mut fastrand::Rng) -> Bytes {
    let total: u32 = split.iter().map(|(_, weight)| *weight).sum();
    let mut point = if total == 0 { 0 } else { rng.u32(0..total) };
    for (service, weight) in split {
        if point < *weight {
            return service.clone();
        }
        point -= weight;
    }
    split.first().map(|(service, _)| service.clone()).unwrap_or_default()
}
