//! State machine that distributes settings branches and the host list.
//!
//! A branch revision comes into force if it is valid and higher than the one held. Watchers
//! learn new revisions by blocking reads of the configuration service and everyone else by
//! gossip. A branch that was deleted in the service stays as a tombstone, a revision with
//! empty text, so that an older copy can't bring it back.
//!
//! Memory is bounded by the constants in [`limit`]. Processes trust each other about
//! content: a peer that invents a valid branch with a high revision is believed.

mod exchange;
mod join;
pub mod limit;
mod peer;
mod read;
mod store;
mod summary;
mod suspect;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use conf::tree;
use wire::{host, id, sync, time::Instant};

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A timer is due.
    Tick,
    /// The process started; asks seeds and the service.
    Start,
    /// The configuration service answered a read with its branches.
    Read {
        branches: Vec<sync::Branch>,
        index: u64,
    },
    ReadFailed,
    /// The host list answered.
    Hosts {
        revision: u64,
        text: Bytes,
    },
    HostsFailed,
    /// A peer sent an exchange; the reply goes back on `link`.
    Received {
        link: u64,
        exchange: sync::Exchange,
    },
    /// A peer answered an exchange that this process sent.
    Replied {
        peer: SocketAddr,
        exchange: sync::Exchange,
    },
    SendFailed {
        peer: SocketAddr,
    },
    /// A message of another process carried this digest hash.
    DigestHash {
        peer: SocketAddr,
        hash: u64,
    },
    /// The process was paused: compares what it holds with other processes at once.
    Refresh,
    /// Suspects learned by the local process, to be passed on.
    Suspects(Vec<sync::Suspect>),
}

/// What the shell has to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Read the service; with `index`, wait for a change up to `wait`.
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
    Suspects(Vec<sync::Suspect>),
    /// The process may serve.
    Ready,
    /// The answer to `Refresh`: everything that another process holds is in force here.
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
    pub seeds: Vec<SocketAddr>,
    pub seed: u64,
}

/// Merge errors logged for one change.
const MAX_LOGGED: usize = 20;

/// Distribution of settings as one process sees it.
#[derive(Debug)]
pub struct Machine {
    setup: Setup,
    rng: fastrand::Rng,
    store: store::Store,
    suspects: suspect::Set,
    peers: peer::Peers,
    reader: read::Reader,
    join: join::Join,
    settings: Option<Arc<tree::Tree>>,
    /// Branches asked of a peer, with the revision and the time of asking.
    asked: BTreeMap<Bytes, (u64, Instant)>,
    /// Time of the last complete exchange.
    contact: Instant,
    is_orphan: bool,
    /// Whether a `Refresh` waits for a complete exchange.
    is_refreshing: bool,
    /// Peer of the digest exchange in progress.
    partner: Option<SocketAddr>,
    retries: u32,
    follow_ups: u32,
    next_exchange: Instant,
    next_seen: Instant,
    now: Instant,
}

impl Machine {
    /// Returns a machine with nothing in force.
    pub fn new(setup: Setup) -> Machine {
        Machine {
            rng: fastrand::Rng::with_seed(setup.seed),
            store: store::Store::default(),
            suspects: suspect::Set::default(),
            peers: peer::Peers::new(&setup),
            reader: read::Reader::default(),
            join: join::Join::default(),
            settings: None,
            asked: BTreeMap::new(),
            contact: Instant::default(),
            is_orphan: false,
            is_refreshing: false,
            partner: None,
            retries: 0,
            follow_ups: 0,
            next_exchange: Instant::default(),
            next_seen: Instant::default(),
            now: Instant::default(),
            setup,
        }
    }

    /// Handles one event and appends what has to be done.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Tick => {}
            Event::Start => self.start(now, actions),
            Event::Read { branches, index } => self.read(now, branches, index, actions),
            Event::ReadFailed => self.reader.failed(now, &mut self.rng),
            Event::Hosts { revision, text } => self.read_hosts(now, revision, text, actions),
            Event::HostsFailed => self.join.hosts_tried(),
            Event::Received { link, exchange } => self.received(now, link, exchange, actions),
            Event::Replied { peer, exchange } => self.replied(now, peer, exchange, actions),
            Event::SendFailed { peer } => self.send_failed(now, peer, actions),
            Event::DigestHash { peer, hash } => self.compare_digest_hash(now, peer, hash, actions),
            Event::Refresh => self.refresh(now, actions),
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
        let orphan = (!self.is_orphan).then(|| self.contact + limit::ORPHAN_AFTER);
        let timers = [
            Some(self.next_exchange),
            self.join.next_timer(self.now),
            self.reader.next_timer(self.is_reader()),
            orphan,
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
        let others = |seed: &SocketAddr| *seed != setup.address;
        let seeds: Vec<SocketAddr> = setup.seeds.iter().copied().filter(others).collect();
        self.join.start(now, &seeds);
        self.contact = now;
        self.next_exchange = now + limit::EXCHANGE_PERIOD.mul_f64(self.rng.f64());
        self.reader.read_now(now, actions);
    }

    fn run_timers(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.join.is_started() {
            return;
        }
        for peer in self.join.due(now) {
            actions.push(Action::Send { peer, exchange: self.full(now) });
        }
        if now >= self.next_exchange {
            self.next_exchange = now + limit::EXCHANGE_PERIOD;
            self.retries = 0;
            self.follow_ups = 0;
            self.exchange_with_any(now, actions);
        }
        if !self.is_orphan && now >= self.contact + limit::ORPHAN_AFTER {
            self.is_orphan = true;
            if !self.peers.is_watcher() {
                self.reader.delay(now, limit::ORPHAN_SPREAD, &mut self.rng);
            }
        }
        let (is_reader, fleet) = (self.is_reader(), self.peers.fleet());
        self.reader.run(now, is_reader, fleet, &mut self.rng, actions);
    }

    /// Returns whether this process reads the service on its own account. A process that is
    /// starting does so until it has settings.
    fn is_reader(&self) -> bool {
        self.peers.is_watcher() || self.is_orphan || !self.store.has_settings()
    }

    fn read(
        &mut self,
        now: Instant,
        branches: Vec<sync::Branch>,
        index: u64,
        actions: &mut Vec<Action>,
    ) {
        self.reader.answered(now, index);
        self.store.note_listing(&branches, index);
        let changed = self.take(store::Source::Service, branches, actions);
        self.push(now, &changed, b"", actions);
    }

    fn read_hosts(&mut self, now: Instant, revision: u64, text: Bytes, actions: &mut Vec<Action>) {
        let name = Bytes::from_static(sync::HOSTS_BRANCH);
        let branch = sync::Branch { name, revision, text };
        let changed = self.take(store::Source::Hosts, [branch], actions);
        self.join.hosts_tried();
        // Without an answer from a seed, processes of the list stand in for the seeds.
        if self.join.is_alone() && !changed.is_empty() {
            let peers = self.peers.choose(&mut self.rng, limit::FANOUT, b"");
            self.join.ask(now, &peers);
        }
        self.push(now, &changed, b"", actions);
    }

    /// Offers branches to the store, puts accepted ones in force and returns their names.
    fn take(
        &mut self,
        source: store::Source,
        branches: impl IntoIterator<Item = sync::Branch>,
        actions: &mut Vec<Action>,
    ) -> Vec<Bytes> {
        let mut changed = Vec::new();
        self.accept(source, branches, &mut changed, actions);
        if source != store::Source::Hosts {
            let deleted = self.store.find_deleted();
            self.accept(store::Source::Service, deleted, &mut changed, actions);
        }
        if !changed.is_empty() {
            self.store.rehash();
        }
        if changed.iter().any(|name| name == sync::HOSTS_BRANCH) {
            self.peers.update(&self.setup, self.store.hosts());
            actions.push(Action::Hosts(self.store.hosts().to_vec()));
        }
        if changed.iter().any(|name| name != sync::HOSTS_BRANCH) {
            self.merge(actions);
        }
        changed
    }

    fn accept(
        &mut self,
        source: store::Source,
        branches: impl IntoIterator<Item = sync::Branch>,
        changed: &mut Vec<Bytes>,
        actions: &mut Vec<Action>,
    ) {
        for branch in branches {
            let (name, revision) = (branch.name.clone(), branch.revision);
            match self.store.accept(source, branch) {
                store::Verdict::Accepted => changed.push(name),
                store::Verdict::Known => {}
                store::Verdict::Refused(errors) => {
                    actions.push(Action::Refused { branch: name, revision, errors });
                }
            }
        }
    }

    fn merge(&mut self, actions: &mut Vec<Action>) {
        let (tree, errors) = self.store.merge();
        for error in errors.iter().take(MAX_LOGGED) {
            tracing::warn!(%error, "section left out of the settings in force");
        }
        if self.settings.as_deref() != Some(&tree) {
            let tree = Arc::new(tree);
            self.settings = Some(Arc::clone(&tree));
            actions.push(Action::Settings(tree));
        }
    }

    fn send_failed(&mut self, now: Instant, peer: SocketAddr, actions: &mut Vec<Action>) {
        if self.partner == Some(peer) && self.retries < limit::EXCHANGE_RETRIES {
            self.retries += 1;
            self.exchange_with_any(now, actions);
        }
    }

    fn compare_digest_hash(
        &mut self,
        now: Instant,
        peer: SocketAddr,
        hash: u64,
        actions: &mut Vec<Action>,
    ) {
        if hash != self.store.hash() && now >= self.next_seen {
            self.next_seen = now + limit::SEEN_GAP;
            actions.push(Action::Send { peer, exchange: self.full(now) });
        }
    }

    fn refresh(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.is_refreshing = true;
        for peer in self.peers.choose(&mut self.rng, limit::FANOUT, b"") {
            actions.push(Action::Send { peer, exchange: self.brief(now, &[]) });
        }
    }

    fn share_suspects(
        &mut self,
        now: Instant,
        suspects: &[sync::Suspect],
        actions: &mut Vec<Action>,
    ) {
        if self.suspects.learn(now, suspects).is_empty() {
            return;
        }
        for peer in self.peers.choose(&mut self.rng, limit::SUSPECT_FANOUT, b"") {
            actions.push(Action::Send { peer, exchange: self.brief(now, &[]) });
        }
    }
}
