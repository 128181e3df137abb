//! Deployments: availability zones, entries, engines, accounts and settings.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use conf::tree::{Account, Entry, Pool, Route, Tier, Tree};
use stand::model;
use wire::{host, request, tier};

use crate::workload::Class;

/// One-way latency between a caller and an entry.
pub const CALLER_LATENCY: Duration = Duration::from_millis(3);
/// Shortest and longest service time of a plain request, in microseconds.
pub(crate) const SERVICE_TIME_US: (u64, u64) = (4_000, 12_000);
/// One-way latency within an availability zone.
const ZONE_LATENCY: Duration = Duration::from_micros(50);
const ZONES: usize = 4;
/// Name of the pool of model engines.
pub const MODEL_POOL: &str = "model";
/// Name of the pool of plain services.
pub const SERVICE_POOL: &str = "service";
/// Route path of plain requests.
pub const SERVICE_PATH: &str = "/bids";
const CHAT_PATH: &str = "/v1/chat/completions";
/// Model name that selects the model route.
pub const MODEL: &str = "appraiser";

/// The size of a simulated system, its latencies and its accounts.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub name: &'static str,
    pub entries: usize,
    /// Relative speed of each model engine.
    pub speeds: Vec<f64>,
    pub services: usize,
    /// One-way latency between availability zones.
    pub latency: Duration,
    /// Name of each account with its share of the load, which is also its share in the settings.
    pub accounts: Vec<(&'static str, u32)>,
}

impl Deployment {
    /// Returns a deployment by name.
    pub fn find(name: &str) -> Option<Deployment> {
        let accounts = |names: [&'static str; 5]| names.into_iter().zip([35, 30, 15, 10, 10]);
        match name {
            "popayan" => Some(Deployment {
                name: "popayan",
                entries: 3,
                speeds: [1.0, 1.6, 2.4].repeat(3),
                services: 4,
                latency: Duration::from_micros(300),
                accounts: accounts(["caldas", "valencia", "torres", "mosquera", "arboleda"])
                    .collect(),
            }),
            "recife" => Some(Deployment {
                name: "recife",
                entries: 3,
                speeds: [1.0, 1.6].repeat(9),
                services: 4,
                latency: Duration::from_micros(1_200),
                accounts: accounts(["capibaribe", "boa-vista", "derby", "torre", "varzea"])
                    .collect(),
            }),
            _ => None,
        }
    }

    /// Returns the one-way latency between an entry and an agent.
    pub(crate) fn latency_between(&self, entry: usize, agent: usize) -> Duration {
        if entry % ZONES == agent % ZONES { ZONE_LATENCY } else { self.latency }
    }

    /// Returns the settings of one engine.
    pub(crate) fn engine_settings(&self, index: usize) -> model::Settings {
        model::Settings { speed: self.speeds[index], ..model::Settings::default() }
    }

    /// Returns the number of agents. The agents of model engines come before those of services.
    pub(crate) fn agent_count(&self) -> usize {
        self.speeds.len() + self.services
    }

    /// Returns the name of an account.
    pub(crate) fn account_name(&self, index: usize) -> Bytes {
        to_bytes(self.accounts[index].0)
    }

    /// Returns the host list.
    pub(crate) fn host_list(&self) -> Vec<host::Record> {
        (0..self.agent_count())
            .map(|index| {
                let speed = self.speeds.get(index);
                host::Record {
                    host: host_name(index),
                    role: host::Role::Agent,
                    address: address(index),
                    availability_zone: zone(index),
                    pool: to_bytes(if speed.is_some() { MODEL_POOL } else { SERVICE_POOL }),
                    speed: speed.map_or(100, |speed| (speed * 100.0) as u32),
                    state: host::State::Live,
                }
            })
            .collect()
    }

    /// Returns the settings tree.
    pub(crate) fn tree(&self) -> Tree {
        let tiers = Class::MODEL.map(|class| {
            let deadline = class.deadline();
            let rank = tier::Tier(class as u8);
            (to_bytes(class.name()), Tier { rank, deadline, max_deadline: deadline })
        });
        let accounts = self.accounts.iter().map(|&(name, share)| {
            let top_tier = to_bytes(Class::Floor.name());
            (to_bytes(name), Account { top_tier, share, ..Account::default() })
        });
        let model = Route {
            path: to_bytes(CHAT_PATH),
            model: to_bytes(MODEL),
            pool: to_bytes(MODEL_POOL),
            tier: to_bytes(Class::Desk.name()),
            ..Route::default()
        };
        let service = Route {
            path: to_bytes(SERVICE_PATH),
            model: Bytes::new(),
            kind: request::Kind::Service,
            pool: to_bytes(SERVICE_POOL),
            tier: to_bytes(Class::Floor.name()),
            idempotent: false,
            require_key: false,
            ..model.clone()
        };
        Tree {
            tiers: tiers.into_iter().collect(),
            accounts: accounts.collect(),
            routes: BTreeMap::from([(to_bytes("appraise"), model), (to_bytes("bids"), service)]),
            pools: BTreeMap::from([
                (to_bytes(MODEL_POOL), pool()),
                (to_bytes(SERVICE_POOL), pool()),
            ]),
            entry: Entry::default(),
            ..Tree::default()
        }
    }
}

/// Returns the settings of both pools: the defaults with the prefill rate of the slowest engine.
fn pool() -> Pool {
    let rate = model::Settings::default().prefill_rate as u32;
    Pool { prefill_tokens_per_s: rate, ..Pool::default() }
}

/// Returns the host name of an agent.
pub(crate) fn host_name(agent: usize) -> Bytes {
    format!("backend-{agent:02}").into()
}

/// Returns the availability zone of an entry or agent.
pub(crate) fn zone(index: usize) -> Bytes {
    format!("zone-{}", index % ZONES).into()
}

/// Returns the address of an agent.
pub(crate) fn address(agent: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + agent as u16))
}

/// Returns the agent at an address.
pub(crate) fn agent_index(address: SocketAddr) -> usize {
    usize::from(address.port()) - 9_000
}

pub(crate) fn to_bytes(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}
