//! State machine that distributes settings branches and the host list.
//!
//! A branch revision comes into force if it is valid and higher than the one in force. The
//! watchers, a few processes of each zone, get new revisions by blocking reads of the
//! configuration service; all other processes get them by gossip. A branch that was deleted in
//! the service stays as a tombstone, a revision with empty text, so that an older copy can't
//! bring it back.
//!
//! Memory is bounded by the constants in [`limit`]. Processes trust each other about content: a
//! valid branch with a high revision is accepted from any peer.

mod exchange;
mod join;
pub mod limit;
mod peers;
mod read;
mod store;
mod summary;
mod suspects;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use conf::tree;
use wire::{host, id, sync, time::Instant};

/// An event for the machine to handle.
#[derive(Clone, Debug)]
pub enum Event {
    /// A timer is due.
    Tick,
    /// The process started; settings are requested from the seeds and the service.
    Start,
    /// The configuration service replied to a read with its branches.
    Read {
        branches: Vec<sync::Branch>,
        index: u64,
    },
    ReadFailed,
    /// The host list was read.
    Hosts {
        revision: u64,
        text: Bytes,
    },
    HostsFailed,
    /// A peer sent an exchange; the `Action::Reply` with the same `link` replies to it.
    Received {
        link: u64,
        exchange: sync::Exchange,
    },
    /// A peer replied to an exchange that this process sent.
    Replied {
        peer: SocketAddr,
        exchange: sync::Exchange,
    },
    SendFailed {
        peer: SocketAddr,
    },
    /// A message from another process contained this digest hash.
    DigestHash {
        peer: SocketAddr,
        hash: u64,
    },
    /// The process was paused; its settings are compared with those of other processes at once.
    Refresh,
    /// Suspects found by the local process, to be sent to others.
    Suspects(Vec<sync::Suspect>),
}

/// An action for the driver to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Read the configuration service; with `index`, wait for a change up to `wait`.
    Read {
        index: Option<u64>,
        wait: Duration,
    },
    /// Read the host list.
    ReadHosts,
    Send {
        peer: SocketAddr,
        exchange: sync::Exchange,
    },
    Reply {
        link: u64,
        exchange: sync::Exchange,
    },
    /// A new tree is in force.
    Settings(Arc<tree::Tree>),
    /// A new host list is in force.
    Hosts(Vec<host::Record>),
    /// Suspects from other processes that are new here or newly cleared.
    Suspects(Vec<sync::Suspect>),
    /// The process may serve.
    Ready,
    /// A `Refresh` ended: all revisions of one other process are in force here or were refused.
    Refreshed,
    /// A branch revision was refused.
    Refused {
        branch: Bytes,
        revision: u64,
        errors: Vec<conf::check::Error>,
    },
}

/// Identity and fixed parameters of the machine.
#[derive(Clone, Debug)]
pub struct Setup {
    pub process: id::Process,
    pub host: Bytes,
    pub availability_zone: Bytes,
    pub address: SocketAddr,
    /// Processes from which settings are requested at the start.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Most merge errors logged for one change.
const MAX_LOGGED_ERRORS: usize = 20;

/// Distribution of settings at one process.
#[derive(Debug)]
pub struct Machine {
    setup: Setup,
    rng: fastrand::Rng,
    store: store::Store,
    suspects: suspects::Suspects,
    peers: peers::Peers,
    read_schedule: read::Schedule,
    join: join::Join,
    settings: Option<Arc<tree::Tree>>,
    /// Branches requested from a peer, with the revision and the time of the request.
    requested: BTreeMap<Bytes, (u64, Instant)>,
    /// Time of the last complete exchange, after which the sender had no newer revisions.
    last_exchange: Instant,
    /// Whether no exchange was complete for [`limit::ISOLATED_AFTER`].
    is_isolated: bool,
    /// Whether a `Refresh` waits for a complete exchange.
    is_refreshing: bool,
    /// Peer of the digest exchange in progress.
    exchange_peer: Option<SocketAddr>,
    exchange_retries: u32,
    follow_ups: u32,
    next_exchange: Instant,
    next_hash_exchange: Instant,
    now: Instant,
}

impl Machine {
    /// Returns a machine with nothing in force.
    pub fn new(setup: Setup) -> Machine {
        Machine {
            rng: fastrand::Rng::with_seed(setup.seed),
            store: store::Store::default(),
            suspects: suspects::Suspects::default(),
            peers: peers::Peers::new(&setup),
            read_schedule: read::Schedule::default(),
            join: join::Join::default(),
            settings: None,
            requested: BTreeMap::new(),
            last_exchange: Instant::default(),
            is_isolated: false,
            is_refreshing: false,
            exchange_peer: None,
            exchange_retries: 0,
            follow_ups: 0,
            next_exchange: Instant::default(),
            next_hash_exchange: Instant::default(),
            now: Instant::default(),
            setup,
        }
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Tick => {}
            Event::Start => self.start(now, actions),
            Event::Read { branches, index } => self.handle_read(now, branches, index, actions),
            Event::ReadFailed => self.read_schedule.record_failure(now, &mut self.rng),
            Event::Hosts { revision, text } => self.handle_host_list(now, revision, text, actions),
            Event::HostsFailed => self.join.record_host_list_read(),
            Event::Received { link, exchange } => {
                self.handle_exchange(now, link, exchange, actions)
            }
            Event::Replied { peer, exchange } => self.handle_reply(now, peer, exchange, actions),
            Event::SendFailed { peer } => self.handle_send_failure(now, peer, actions),
            Event::DigestHash { peer, hash } => self.compare_digest_hash(now, peer, hash, actions),
            Event::Refresh => self.start_refresh(now, actions),
            Event::Suspects(suspects) => self.share_suspects(now, &suspects, actions),
        }
        self.run_timers(now, actions);
        if self.join.finish(now, self.store.has_settings()) {
            actions.push(Action::Ready);
        }
    }

    /// Returns when the next `Tick` is due.
    pub fn next_timer(&self) -> Option<Instant> {
        if !self.join.is_started() {
            return None;
        }
        let isolation = (!self.is_isolated).then(|| self.last_exchange + limit::ISOLATED_AFTER);
        let timers = [
            Some(self.next_exchange),
            self.join.next_timer(self.now),
            self.read_schedule.next_timer(self.is_reader()),
            isolation,
        ];
        timers.into_iter().flatten().min()
    }

    /// Returns the revisions in force.
    pub fn digest(&self) -> &sync::Digest {
        self.store.digest()
    }

    /// Returns the hash of the digest, kept up to date with it.
    pub fn digest_hash(&self) -> u64 {
        self.store.hash()
    }

    fn start(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.store.rehash();
        let setup = &self.setup;
        let is_other = |seed: &SocketAddr| *seed != setup.address;
        let seeds: Vec<SocketAddr> = setup.seeds.iter().copied().filter(is_other).collect();
        self.join.start(now, &seeds);
        self.last_exchange = now;
        self.next_exchange = now + limit::EXCHANGE_PERIOD.mul_f64(self.rng.f64());
        self.read_schedule.read_now(now, actions);
    }

    fn run_timers(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.join.is_started() {
            return;
        }
        for peer in self.join.take_due_peers(now) {
            actions.push(Action::Send { peer, exchange: self.build_full_exchange(now) });
        }
        if now >= self.next_exchange {
            self.next_exchange = now + limit::EXCHANGE_PERIOD;
            self.exchange_retries = 0;
            self.follow_ups = 0;
            self.exchange_with_random_peer(now, actions);
        }
        if !self.is_isolated && now >= self.last_exchange + limit::ISOLATED_AFTER {
            self.is_isolated = true;
            if !self.peers.is_watcher() {
                self.read_schedule.delay_next_read(
                    now,
                    limit::MAX_ISOLATED_READ_DELAY,
                    &mut self.rng,
                );
            }
        }
        let (is_reader, host_count) = (self.is_reader(), self.peers.host_count());
        self.read_schedule.issue_due_reads(now, is_reader, host_count, &mut self.rng, actions);
    }

    /// Returns whether this process reads the service itself, beyond backup reads: as a watcher,
    /// while it is isolated, and at the start until it has settings.
    fn is_reader(&self) -> bool {
        self.peers.is_watcher() || self.is_isolated || !self.store.has_settings()
    }

    fn handle_read(
        &mut self,
        now: Instant,
        branches: Vec<sync::Branch>,
        index: u64,
        actions: &mut Vec<Action>,
    ) {
        self.read_schedule.record_reply(now, index);
        self.store.record_listing(&branches, index);
        let changed = self.apply_branches(store::Source::Service, branches, actions);
        self.push_changes(now, &changed, b"", actions);
    }

    fn handle_host_list(
        &mut self,
        now: Instant,
        revision: u64,
        text: Bytes,
        actions: &mut Vec<Action>,
    ) {
        let name = Bytes::from_static(sync::HOSTS_BRANCH);
        let branch = sync::Branch { name, revision, text };
        let changed = self.apply_branches(store::Source::Hosts, [branch], actions);
        self.join.record_host_list_read();
        // If no seed has replied, processes of the host list are used in place of the seeds.
        if self.join.has_no_reply() && !changed.is_empty() {
            let peers = self.peers.choose(&mut self.rng, limit::FANOUT, b"");
            self.join.add_peers(now, &peers);
        }
        self.push_changes(now, &changed, b"", actions);
    }

    /// Applies branches and the deletions that follow from them, and returns the names of those
    /// that changed.
    fn apply_branches(
        &mut self,
        source: store::Source,
        branches: impl IntoIterator<Item = sync::Branch>,
        actions: &mut Vec<Action>,
    ) -> Vec<Bytes> {
        let mut changed = Vec::new();
        self.accept_branches(source, branches, &mut changed, actions);
        if source != store::Source::Hosts {
            let deleted = self.store.find_deleted();
            self.accept_branches(store::Source::Service, deleted, &mut changed, actions);
        }
        if !changed.is_empty() {
            self.store.rehash();
        }
        if changed.iter().any(|name| name == sync::HOSTS_BRANCH) {
            self.peers.update(&self.setup, self.store.hosts());
            actions.push(Action::Hosts(self.store.hosts().to_vec()));
        }
        if changed.iter().any(|name| name != sync::HOSTS_BRANCH) {
            self.merge_settings(actions);
        }
        changed
    }

    fn accept_branches(
        &mut self,
        source: store::Source,
        branches: impl IntoIterator<Item = sync::Branch>,
        changed: &mut Vec<Bytes>,
        actions: &mut Vec<Action>,
    ) {
        for branch in branches {
            let (name, revision) = (branch.name.clone(), branch.revision);
            match self.store.accept(source, branch) {
                store::Decision::Accepted => changed.push(name),
                store::Decision::Ignored => {}
                store::Decision::Refused(errors) => {
                    actions.push(Action::Refused { branch: name, revision, errors });
                }
            }
        }
    }

    fn merge_settings(&mut self, actions: &mut Vec<Action>) {
        let (tree, errors) = self.store.merge();
        for error in errors.iter().take(MAX_LOGGED_ERRORS) {
            tracing::warn!(%error, "section left out of the settings in force");
        }
        if self.settings.as_deref() != Some(&tree) {
            let tree = Arc::new(tree);
            self.settings = Some(Arc::clone(&tree));
            actions.push(Action::Settings(tree));
        }
    }

    fn handle_send_failure(&mut self, now: Instant, peer: SocketAddr, actions: &mut Vec<Action>) {
        if self.exchange_peer == Some(peer) && self.exchange_retries < limit::MAX_EXCHANGE_RETRIES {
            self.exchange_retries += 1;
            self.exchange_with_random_peer(now, actions);
        }
    }

    fn compare_digest_hash(
        &mut self,
        now: Instant,
        peer: SocketAddr,
        hash: u64,
        actions: &mut Vec<Action>,
    ) {
        if hash != self.store.hash() && now >= self.next_hash_exchange {
            self.next_hash_exchange = now + limit::MIN_HASH_EXCHANGE_INTERVAL;
            actions.push(Action::Send { peer, exchange: self.build_full_exchange(now) });
        }
    }

    fn start_refresh(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.is_refreshing = true;
        for peer in self.peers.choose(&mut self.rng, limit::FANOUT, b"") {
            actions.push(Action::Send { peer, exchange: self.build_summary_exchange(now, &[]) });
        }
    }

    fn share_suspects(
        &mut self,
        now: Instant,
        suspects: &[sync::Suspect],
        actions: &mut Vec<Action>,
    ) {
        if self.suspects.add(now, suspects, false).is_empty() {
            return;
        }
        for peer in self.peers.choose(&mut self.rng, limit::SUSPECT_FANOUT, b"") {
            actions.push(Action::Send { peer, exchange: self.build_summary_exchange(now, &[]) });
        }
    }
}
