//! Read-only HTTP interface of a process for operators.

use std::rc::Rc;

use futures_util::future::{self, LocalBoxFuture};
use hyper::{Method, Request, Response, body};
use wire::{host, id, status};

use crate::{
    caller::Caller, distribution::Distribution, http, metrics::Metrics, role::Identity, role::Role,
    trace,
};

/// Serves operators of one process.
pub struct Operators {
    pub identity: Identity,
    pub role: Rc<dyn Role>,
    pub distribution: Rc<Distribution>,
    pub metrics: Rc<Metrics>,
    pub traces: Rc<trace::Store>,
}

impl http::Handler for Operators {
    fn handle(
        self: Rc<Self>,
        request: Request<body::Incoming>,
        _caller: Caller,
    ) -> LocalBoxFuture<'static, Response<http::Body>> {
        Box::pin(future::ready(self.respond(&request)))
    }
}

impl Operators {
    fn respond(&self, request: &Request<body::Incoming>) -> Response<http::Body> {
        if request.method() != Method::GET {
            return http::empty(405);
        }
        match request.uri().path() {
            "/status" => http::json(200, &self.build_status()),
            "/histograms" => http::json(200, &self.metrics.histograms()),
            path => match path.strip_prefix("/requests/") {
                Some(id) => self.respond_trace(id),
                None => http::empty(404),
            },
        }
    }

    fn build_status(&self) -> status::Status {
        let text = |bytes: &bytes::Bytes| String::from_utf8_lossy(bytes).into_owned();
        let role = match self.identity.role {
            host::Role::Entry => "entry",
            host::Role::Agent => "agent",
        };
        let mut status = status::Status {
            host: text(&self.identity.host),
            role: role.into(),
            availability_zone: text(&self.identity.availability_zone),
            process: format!("{:016x}", self.identity.process.0),
            version: env!("CARGO_PKG_VERSION").into(),
            ..status::Status::default()
        };
        self.role.report(&mut status);
        self.distribution.report(&mut status);
        status
    }

    fn respond_trace(&self, id: &str) -> Response<http::Body> {
        let host = String::from_utf8_lossy(&self.identity.host);
        let id = id.parse::<id::Request>().ok();
        match id.and_then(|id| self.traces.find(id, &host)) {
            Some(events) => http::json(200, &events),
            None => http::empty(404),
        }
    }
}
