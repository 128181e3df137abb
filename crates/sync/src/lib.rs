//! State machine that distributes settings branches and the host list.

use std::{sync::Arc, time::Duration};

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
        peer: std::net::SocketAddr,
        exchange: sync::Exchange,
    },
    SendFailed {
        peer: std::net::SocketAddr,
    },
    /// A message of another process carried this digest hash.
    Seen {
        peer: std::net::SocketAddr,
        hash: u64,
    },
    /// Suspects learned by the local agent, to be passed on.
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
        peer: std::net::SocketAddr,
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
    pub address: std::net::SocketAddr,
    pub seeds: Vec<std::net::SocketAddr>,
    pub seed: u64,
}

/// Distribution of settings as one process sees it.
#[derive(Debug)]
pub struct Machine {
    setup: Setup,
}

impl Machine {
    /// Returns a machine with nothing in force.
    pub fn new(setup: Setup) -> Machine {
        Machine { setup }
    }

    /// Handles one event and appends what has to be done.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        let _ = (now, event, actions, &self.setup);
        todo!()
    }

    /// Returns when the next `Tick` is due.
    pub fn next_timer(&self) -> Option<Instant> {
        todo!()
    }

    /// Returns the revisions in force.
    pub fn digest(&self) -> &sync::Digest {
        todo!()
    }
}
