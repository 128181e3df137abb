//! Kept connections to one server, with proof of what was sent.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use compio::{net, runtime, time};
use cyper_core::HyperStream;
use futures_util::FutureExt;
use http_body_util::Full;
use hyper::{Request, Response, body, client::conn::http1};
use wire::time::Instant;

use crate::clock;

/// Idle connections kept.
const MAX_KEPT: usize = 64;

/// Sends requests on one connection.
pub type Sender = http1::SendRequest<Full<Bytes>>;

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing of the request was sent.
    Unsent,
    /// The request may have been received.
    Lost,
}

/// Connections to one server. A failure to connect proves that nothing was sent, and so does
/// a kept connection that gives the request back because it closed before the first byte.
#[derive(Clone)]
pub struct Pool {
    address: SocketAddr,
    connect_timeout: Duration,
    /// Idle connections with the time until which each may be used, the latest last.
    kept: Rc<RefCell<Vec<(Sender, Instant)>>>,
}

impl Pool {
    /// Returns a pool without connections.
    pub fn new(address: SocketAddr, connect_timeout: Duration) -> Pool {
        Pool { address, connect_timeout, kept: Rc::default() }
    }

    /// Returns the server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request once, on a kept connection or a new one.
    ///
    /// # Errors
    ///
    /// Returns whether anything may have been received.
    pub async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<body::Incoming>, Sender), Fault> {
        while let Some(mut sender) = self.take() {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((response, sender)),
                // The request comes back only if none of it was written.
                Err(mut error) => request = error.take_message().ok_or(Fault::Lost)?,
            }
        }
        let mut sender = self.connect().await.ok_or(Fault::Unsent)?;
        match sender.send_request(request).await {
            Ok(response) => Ok((response, sender)),
            Err(_) => Err(Fault::Lost),
        }
    }

    /// Keeps a connection whose answer was read to its end for `idle`.
    pub fn release(&self, sender: Sender, idle: Duration) {
        let now = clock::now();
        let mut kept = self.kept.borrow_mut();
        kept.retain(|(_, until)| now < *until);
        if kept.len() < MAX_KEPT {
            kept.push((sender, now + idle));
        }
    }

    /// Opens a connection, or returns `None` if that fails or takes too long.
    pub async fn connect(&self) -> Option<Sender> {
        let connect = net::TcpStream::connect(self.address);
        let stream = time::timeout(self.connect_timeout, connect).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(HyperStream::new_plain(stream)).await.ok()?;
        runtime::spawn(connection.map(drop)).detach();
        Some(sender)
    }

    /// Returns the connection that was used last and is still open.
    fn take(&self) -> Option<Sender> {
        let now = clock::now();
        let mut kept = self.kept.borrow_mut();
        kept.retain(|(sender, until)| sender.is_ready() && now < *until);
        kept.pop().map(|(sender, _)| sender)
    }
}
