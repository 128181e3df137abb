//! The border between the shared parts of a process and its role.

use std::{net::SocketAddr, rc::Rc, sync::Arc};

use bytes::Bytes;
use conf::tree;
use futures_util::future::LocalBoxFuture;
use hyper::{Request, Response, body};
use wire::{host, id, status, sync};

use crate::http;

/// What every part of a process needs to know about it.
#[derive(Clone, Debug)]
pub struct Identity {
    pub process: id::Process,
    pub host: Bytes,
    pub availability_zone: Bytes,
    pub role: host::Role,
    /// Address at which other processes reach this one.
    pub address: SocketAddr,
    pub seed: u64,
}

/// An entry or an agent, as settings distribution, the peers' listener and the operators'
/// listener see it.
pub trait Role {
    /// A new tree is in force.
    fn settings(self: Rc<Self>, tree: Arc<tree::Tree>);
    /// A new host list is in force.
    fn hosts(self: Rc<Self>, hosts: Vec<host::Record>);
    /// Suspects were learned from other processes.
    fn suspects(self: Rc<Self>, suspects: Vec<sync::Suspect>);
    /// After a pause, settings were compared with another process.
    fn refreshed(self: Rc<Self>);
    /// The process may serve.
    fn ready(self: Rc<Self>);
    /// A planned stop was ordered.
    fn stop(self: Rc<Self>);
    /// Fills in what the role knows.
    fn report(&self, status: &mut status::Status);
    /// Answers a message of another process, other than settings exchanges.
    fn message(
        self: Rc<Self>,
        request: Request<body::Incoming>,
    ) -> LocalBoxFuture<'static, Response<http::Body>>;
}
