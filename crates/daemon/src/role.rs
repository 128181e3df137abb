//! Interface between the parts that entries and agents share and the role of the process.

use std::{net::SocketAddr, rc::Rc, sync::Arc};

use bytes::Bytes;
use conf::tree;
use futures_util::future::LocalBoxFuture;
use hyper::{Request, Response, body};
use wire::{host, id, status, sync};

use crate::{caller::Caller, http};

/// Identity of a process, shared by all of its parts.
#[derive(Clone, Debug)]
pub struct Identity {
    pub process: id::Process,
    pub host: Bytes,
    pub availability_zone: Bytes,
    pub role: host::Role,
    /// Address at which other processes reach this one.
    pub address: SocketAddr,
    /// Seed of the random numbers of the state machines.
    pub seed: u64,
}

/// An entry or an agent, as used by settings distribution and by the listeners for peers and
/// operators.
pub trait Role {
    /// Applies a new settings tree.
    fn apply_settings(self: Rc<Self>, tree: Arc<tree::Tree>);
    /// Applies a new host list.
    fn apply_hosts(self: Rc<Self>, hosts: Vec<host::Record>);
    /// Applies suspects that other processes reported.
    fn apply_suspects(self: Rc<Self>, suspects: Vec<sync::Suspect>);
    /// Records that, after a pause of this process, its settings have been compared with those of
    /// another process.
    fn mark_refreshed(self: Rc<Self>);
    /// Starts serving. Called once settings are in force.
    fn start_serving(self: Rc<Self>);
    /// Starts a planned stop.
    fn stop(self: Rc<Self>);
    /// Fills in the role's part of a status report.
    fn report(&self, status: &mut status::Status);
    /// Replies to a message of another process that is not a settings exchange.
    fn handle_message(
        self: Rc<Self>,
        request: Request<body::Incoming>,
        caller: Caller,
    ) -> LocalBoxFuture<'static, Response<http::Body>>;
}
