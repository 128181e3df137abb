//! Filters that check a request before the entry accepts it.

use std::{fmt, time::Duration};

use bytes::Bytes;
use conf::tree;
use wire::{key, outcome::Reason, tier};

use crate::{incoming::IncomingRequest, open_request, route, state::State};

/// A request that is being checked, and the results of the filters so far.
#[derive(Debug)]
pub struct Context<'a> {
    pub incoming: &'a IncomingRequest,
    pub tree: &'a tree::Tree,
    pub route: Option<(&'a Bytes, &'a tree::Route)>,
    pub account: Option<&'a tree::Account>,
    pub tier: tier::Tier,
    pub deadline: Duration,
    pub key: Option<key::Key>,
    /// Open requests of lower tiers that are refused to make capacity for this one.
    pub displaced: Vec<open_request::Key>,
    /// Bytes of stored bodies that they free.
    pub displaced_bytes: u64,
}

impl<'a> Context<'a> {
    /// Returns a context without results.
    pub fn new(incoming: &'a IncomingRequest, tree: &'a tree::Tree) -> Context<'a> {
        Context {
            incoming,
            tree,
            route: None,
            account: None,
            tier: tier::Tier::default(),
            deadline: Duration::ZERO,
            key: None,
            displaced: Vec::new(),
            displaced_bytes: 0,
        }
    }
}

/// One check of a request.
pub trait Filter: fmt::Debug + Send {
    /// Checks a request and stores the results in the context.
    ///
    /// # Errors
    ///
    /// Returns the reason to refuse the request.
    fn check(&self, state: &State, context: &mut Context<'_>) -> Result<(), Reason>;
}

/// Returns the filters in the order in which they run.
pub fn chain() -> Vec<Box<dyn Filter>> {
    vec![
        Box::new(Serving),
        Box::new(Route),
        Box::new(Account),
        Box::new(Tier),
        Box::new(Body),
        Box::new(Key),
        Box::new(AccountLimit),
        Box::new(Capacity),
    ]
}

/// Refuses requests before the machine is ready and after a planned stop was ordered.
#[derive(Debug)]
struct Serving;

impl Filter for Serving {
    fn check(&self, state: &State, _context: &mut Context<'_>) -> Result<(), Reason> {
        if state.stopping {
            return Err(Reason::Leaving);
        }
        if !state.ready {
            return Err(Reason::NotReady);
        }
        Ok(())
    }
}

/// Finds the route.
#[derive(Debug)]
struct Route;

impl Filter for Route {
    fn check(&self, _state: &State, context: &mut Context<'_>) -> Result<(), Reason> {
        let found = route::find(context.tree, &context.incoming.path, &context.incoming.model);
        context.route = Some(found.ok_or(Reason::NoRoute)?);
        Ok(())
    }
}

/// Finds the client account and checks that the caller is authenticated for it.
#[derive(Debug)]
struct Account;

impl Filter for Account {
    fn check(&self, _state: &State, context: &mut Context<'_>) -> Result<(), Reason> {
        let account = context.tree.accounts.get(&context.incoming.account);
        let account = account.ok_or(Reason::UnknownAccount)?;
        if !account.admits(context.incoming.authenticated) {
            return Err(Reason::UnknownAccount);
        }
        context.account = Some(account);
        Ok(())
    }
}

/// Finds the tier and limits the deadline to the tier's maximum. A route's default tier above
/// the account's top tier is lowered to the top tier. If the caller itself names a tier above the
/// top tier, the request is refused.
#[derive(Debug)]
struct Tier;

impl Filter for Tier {
    fn check(&self, _state: &State, context: &mut Context<'_>) -> Result<(), Reason> {
        let (_, route) = context.route.ok_or(Reason::NoRoute)?;
        let account = context.account.ok_or(Reason::UnknownAccount)?;
        let tiers = &context.tree.tiers;
        let top = tiers.get(&account.top_tier).ok_or(Reason::NotReady)?;
        let tier = match &context.incoming.tier {
            Some(name) => {
                let tier = tiers.get(name).ok_or(Reason::BadRequest)?;
                if tier.rank.outranks(top.rank) {
                    let (account, tier) = (&context.incoming.account, name);
                    tracing::info!(
                        ?account,
                        ?tier,
                        top = ?top.rank,
                        "request names a tier above the account's top tier"
                    );
                    return Err(Reason::BadRequest);
                }
                tier
            }
            None => {
                let tier = tiers.get(&route.tier).ok_or(Reason::NotReady)?;
                if tier.rank.outranks(top.rank) { top } else { tier }
            }
        };
        context.tier = tier.rank;
        context.deadline =
            context.incoming.deadline.unwrap_or(tier.deadline).min(tier.max_deadline);
        Ok(())
    }
}

/// Limits the length of the body.
#[derive(Debug)]
struct Body;

impl Filter for Body {
    fn check(&self, _state: &State, context: &mut Context<'_>) -> Result<(), Reason> {
        let (_, route) = context.route.ok_or(Reason::NoRoute)?;
        let max_len = route.max_body_bytes.min(context.tree.entry.max_held_bytes);
        if context.incoming.body_len > max_len {
            return Err(Reason::TooLarge);
        }
        Ok(())
    }
}

/// Parses the idempotency key on routes that are not idempotent. Idempotent routes ignore keys,
/// since common client libraries generate one for every request.
#[derive(Debug)]
struct Key;

impl Filter for Key {
    fn check(&self, _state: &State, context: &mut Context<'_>) -> Result<(), Reason> {
        let (_, route) = context.route.ok_or(Reason::NoRoute)?;
        if route.idempotent {
            return Ok(());
        }
        let Some(text) = &context.incoming.idempotency_key else {
            return if route.require_key { Err(Reason::BadKey) } else { Ok(()) };
        };
        let text = std::str::from_utf8(text).map_err(|_| Reason::BadKey)?;
        context.key = Some(text.parse().map_err(|_| Reason::BadKey)?);
        Ok(())
    }
}

/// Limits the open requests of one account; the account's own requests of lower tiers are
/// displaced.
#[derive(Debug)]
struct AccountLimit;

impl Filter for AccountLimit {
    fn check(&self, state: &State, context: &mut Context<'_>) -> Result<(), Reason> {
        let account = context.account.ok_or(Reason::UnknownAccount)?;
        let name = &context.incoming.account;
        if state.capacity.open_for_account(name) >= account.max_open {
            let lower = state.capacity.newest_waiting_below(name, context.tier);
            let (lower, body_len) = lower.ok_or(Reason::AccountLimit)?;
            context.displaced.push(lower);
            context.displaced_bytes += body_len;
        }
        Ok(())
    }
}

/// Limits open requests and bytes of stored bodies; requests of lower tiers are displaced.
#[derive(Debug)]
struct Capacity;

impl Filter for Capacity {
    fn check(&self, state: &State, context: &mut Context<'_>) -> Result<(), Reason> {
        let limits = &context.tree.entry;
        let limits = (limits.max_open, limits.max_held_bytes);
        let displaced = std::mem::take(&mut context.displaced);
        let admission = state.capacity.plan_admission(
            context.tier,
            context.incoming.body_len,
            limits,
            (displaced, context.displaced_bytes),
        );
        context.displaced = admission.displaced;
        if admission.fits { Ok(()) } else { Err(Reason::Overload) }
    }
}
