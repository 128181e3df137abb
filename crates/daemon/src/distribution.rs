//! Settings distribution: carries out the actions of `sync::Machine`.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
};

use compio::runtime;
use futures_channel::oneshot;
use wire::{frame, status, sync::Exchange};

use crate::{
    driver::{Driver, Execute},
    peer,
    role::{Identity, Role},
    sources,
};

/// Settings distribution of one process.
pub struct Distribution {
    driver: Rc<Driver<sync::Machine>>,
    role: Rc<dyn Role>,
    sources: sources::Client,
    peers: peer::Client,
    links: RefCell<HashMap<u64, oneshot::Sender<Exchange>>>,
    next_link: Cell<u64>,
    refused_revisions: RefCell<BTreeMap<String, String>>,
    ready: Cell<bool>,
}

impl Distribution {
    /// Starts distribution for a role.
    pub fn start(
        process: &conf::process::Settings,
        identity: &Identity,
        role: Rc<dyn Role>,
    ) -> Rc<Distribution> {
        let setup = sync::Setup {
            process: identity.process,
            host: identity.host.clone(),
            availability_zone: identity.availability_zone.clone(),
            address: identity.address,
            seeds: process.seeds.clone(),
            seed: identity.seed,
        };
        let distribution = Rc::new(Distribution {
            driver: Driver::new(sync::Machine::new(setup)),
            role,
            sources: sources::Client::new(process),
            peers: peer::Client::new(identity.address),
            links: RefCell::default(),
            next_link: Cell::new(0),
            refused_revisions: RefCell::default(),
            ready: Cell::new(false),
        });
        distribution.feed(sync::Event::Start);
        distribution
    }

    /// Feeds an event to the state machine.
    pub fn feed(self: &Rc<Self>, event: sync::Event) {
        let executor = Rc::new(Executor(self.clone()));
        self.driver.feed(&executor, event);
    }

    /// Handles an exchange of another process and returns the reply, if there is one.
    pub async fn handle_exchange(self: &Rc<Self>, exchange: Exchange) -> Option<Exchange> {
        let link = self.next_link.replace(self.next_link.get() + 1);
        let (sender, receiver) = oneshot::channel();
        self.links.borrow_mut().insert(link, sender);
        self.feed(sync::Event::Received { link, exchange });
        let reply = receiver.await.ok();
        self.links.borrow_mut().remove(&link);
        reply
    }

    /// Returns the hash of the digest of the settings in force.
    pub fn digest_hash(&self) -> u64 {
        self.driver.read(sync::Machine::digest_hash)
    }

    /// Fills in readiness and revisions.
    pub fn report(&self, status: &mut status::Status) {
        self.driver.read(|machine| {
            for (name, revision) in &machine.digest().0 {
                let name = String::from_utf8_lossy(name).into_owned();
                status.revisions.insert(name, *revision);
            }
        });
        status.ready = self.ready.get();
        status.refused_revisions = self.refused_revisions.borrow().clone();
    }

    fn send_exchange(self: &Rc<Self>, peer: SocketAddr, exchange: Exchange) {
        let distribution = self.clone();
        runtime::spawn(async move {
            let (limit, most) = (peer::EXCHANGE_TIMEOUT, frame::MAX_MESSAGE_BYTES);
            let reply = distribution.peers.exchange(peer, "/sync", &exchange, limit, most).await;
            distribution.feed(match reply {
                Ok(exchange) => sync::Event::Replied { peer, exchange },
                Err(error) => {
                    tracing::debug!(event = "exchange_failed", %error);
                    sync::Event::SendFailed { peer }
                }
            });
        })
        .detach();
    }

    fn read_branches(self: &Rc<Self>, index: Option<u64>, wait: std::time::Duration) {
        let distribution = self.clone();
        runtime::spawn(async move {
            let read = distribution.sources.read_branches(index, wait).await;
            distribution.feed(match read {
                Ok((branches, index)) => sync::Event::Read { branches, index },
                Err(error) => {
                    tracing::warn!(event = "configuration_read_failed", %error);
                    sync::Event::ReadFailed
                }
            });
        })
        .detach();
    }

    fn read_hosts(self: &Rc<Self>) {
        let distribution = self.clone();
        runtime::spawn(async move {
            let read = distribution.sources.read_hosts().await;
            distribution.feed(match read {
                Ok((revision, text)) => sync::Event::Hosts { revision, text },
                Err(error) => {
                    tracing::warn!(event = "host_list_read_failed", %error);
                    sync::Event::HostsFailed
                }
            });
        })
        .detach();
    }

    fn record_refusal(&self, branch: &[u8], revision: u64, errors: &[conf::check::Error]) {
        let branch = String::from_utf8_lossy(branch).into_owned();
        let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
        let reason = errors.join("; ");
        tracing::error!(event = "settings_refused", branch, revision, reason);
        self.refused_revisions
            .borrow_mut()
            .insert(branch, format!("revision {revision}: {reason}"));
    }
}

struct Executor(Rc<Distribution>);

impl Execute<sync::Action> for Executor {
    fn execute(&self, action: sync::Action) {
        let distribution = &self.0;
        match action {
            sync::Action::Read { index, wait } => distribution.read_branches(index, wait),
            sync::Action::ReadHosts => distribution.read_hosts(),
            sync::Action::Send { peer, exchange } => distribution.send_exchange(peer, exchange),
            sync::Action::Reply { link, exchange } => {
                if let Some(sender) = distribution.links.borrow_mut().remove(&link) {
                    let _ = sender.send(exchange);
                }
            }
            sync::Action::Settings(tree) => {
                tracing::info!(event = "settings_in_force", routes = tree.routes.len());
                distribution.role.clone().apply_settings(tree);
            }
            sync::Action::Hosts(hosts) => distribution.role.clone().apply_hosts(hosts),
            sync::Action::Suspects(suspects) => distribution.role.clone().apply_suspects(suspects),
            sync::Action::Ready => {
                tracing::info!(event = "ready");
                distribution.ready.set(true);
                distribution.role.clone().start_serving();
            }
            sync::Action::Refreshed => distribution.role.clone().mark_refreshed(),
            sync::Action::Refused { branch, revision, errors } => {
                distribution.record_refusal(&branch, revision, &errors);
            }
        }
    }
}
