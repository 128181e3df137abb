//! The published configuration: routes, services, accounts and limits.

use std::{collections::HashMap, time::Duration};

use bytes::Bytes;

/// Kind of a route, by whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// Runs at most once for each request.
    Unsafe,
    /// A stream of events; runs at most once unless it is resumable.
    Stream,
}

/// Settings for the requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: Bytes,
    /// Host in the caller's request.
    pub host: Bytes,
    /// Begins and ends with a slash.
    pub prefix: Bytes,
    pub kind: RouteKind,
    /// Longest time for a request, also if the caller's deadline is later.
    pub timeout: Duration,
    /// Time within which a response, or a stream's first event, is in time.
    pub objective: Duration,
    /// Longest pause between events of a stream that is in time.
    pub max_pause: Duration,
    /// Urgency; 0 is the most urgent.
    pub tier: u32,
    /// Services with their weights; at least one.
    pub split: Vec<(Bytes, u32)>,
    /// Most backend servers that may run one request.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// Whether a broken stream may continue at another backend server.
    pub resumable: bool,
}

impl Route {
    /// Returns whether a request that may have run may run again.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Stream => self.resumable,
        }
    }
}

/// Settings of a group of interchangeable backend servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Output tokens per event, where the backend servers are model engines.
    pub tokens_per_event: Option<u32>,
    /// How the backend servers warm up, if they do.
    pub warm_up: Option<WarmUp>,
}

/// Warm-up of the backend servers of a service after a start during traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    pub duration: Duration,
    /// Requests a second that a backend server tolerates meanwhile, from all gateways together.
    pub per_s: f64,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    pub name: Bytes,
    /// Takes precedence over the route's tier.
    pub tier: Option<u32>,
    /// Units per second for all gateways together; 0 means no limit.
    pub rate: f64,
    /// Units that may be used at once beyond the rate.
    pub burst: f64,
    /// Whether units are tokens rather than requests.
    pub counts_tokens: bool,
    /// Units of a request that states no tokens.
    pub default_tokens: f64,
}

/// Limits on requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    pub max_body_bytes: u64,
}

/// One published version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Catalog {
    pub version: u64,
    pub routes: Vec<Route>,
    pub services: HashMap<Bytes, Service>,
    pub accounts: Vec<Account>,
    /// Whether requests to routes that are not public need an API key.
    pub requires_api_key: bool,
    /// Accounts by API key, as indices into `accounts`.
    pub api_keys: HashMap<Bytes, usize>,
    pub limits: Limits,
}

impl Catalog {
    /// Returns the route of the host with the longest prefix of `path`.
    pub fn route(&self, host: &[u8], path: &[u8]) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|r| r.host.eq_ignore_ascii_case(host) && path.starts_with(&r.prefix))
            .max_by_key(|r| r.prefix.len())
    }

    /// Returns the account that holds `api_key`.
    pub fn account(&self, api_key: &[u8]) -> Option<&Account> {
        self.api_keys.get(api_key).map(|&index| &self.accounts[index])
    }
}
