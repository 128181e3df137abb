//! Pooled connections to one server. Errors say whether a request may have been received.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use compio::{net, runtime, time};
use futures_util::FutureExt;
use http_body_util::Full;
use hyper::{Request, Response, body, client::conn::http1};
use wire::time::Instant;

use crate::{
    clock,
    error::{Error, Kind, Step},
    paced::Paced,
};

/// Bound on the head of a response, and on what is read of a connection at once, in bytes. The HTTP
/// library's own is 400 kB, for each connection.
const MAX_BUFFERED_BYTES: usize = 32 << 10;
/// Maximum number of idle connections in a pool.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Time for which a connection that was opened too late for its request may be used for another one.
/// Servers close idle connections after some seconds.
const UNUSED_IDLE: Duration = Duration::from_secs(1);

/// Sends requests on one connection.
pub struct Sender {
    requests: http1::SendRequest<Full<Bytes>>,
    /// Time at which the connection was opened.
    pub opened_at: Instant,
}

impl Sender {
    /// Sends a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is lost, or the response is none of the protocol.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<body::Incoming>> {
        self.requests.send_request(request).await
    }

    fn is_ready(&self) -> bool {
        self.requests.is_ready()
    }
}

/// A response whose body has not been read yet, and its connection.
pub struct Sent {
    pub response: Response<body::Incoming>,
    pub sender: Sender,
    /// Whether the connection had another request before. What a server sent too much for that one
    /// may look like the response to this one.
    pub is_reused: bool,
}

/// Why a request has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing of the request was sent.
    Unsent,
    /// The connection was opened too late, so nothing was sent.
    Late,
    /// No process listens at the address, so nothing was sent.
    Refused,
    /// The request is no longer to be sent, and nothing of it was.
    Withdrawn,
    /// The connection was lost, and the request may have been received.
    Lost,
}

/// Connections to one server. A request was certainly not sent if connecting failed, or if an idle
/// connection closed before the first byte was written and the HTTP library returned the request.
#[derive(Clone)]
pub struct Pool {
    address: SocketAddr,
    connect_timeout: Duration,
    /// Idle connections in the order of their release, each with the time until which it may be
    /// used.
    idle_connections: Rc<RefCell<Vec<(Sender, Instant)>>>,
}

impl Pool {
    /// Returns a pool without connections.
    pub fn new(address: SocketAddr, connect_timeout: Duration) -> Pool {
        Pool { address, connect_timeout, idle_connections: Rc::default() }
    }

    /// Returns the server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether there is an idle connection that may be used.
    pub fn has_idle(&self) -> bool {
        let now = clock::now();
        let is_usable = |(sender, until): &(Sender, Instant)| sender.is_ready() && now < *until;
        self.idle_connections.borrow().iter().any(is_usable)
    }

    /// Sends a request once, on an idle connection or a new one.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the server may have received the request.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Sent, Fault> {
        self.send_watched(request, &Cell::new(false), || Ok(())).await
    }

    /// Sends a request as [`Pool::send`] does, and waits for the head of the response for `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error with the step and the server's address.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Sent, Error> {
        let sent = time::timeout(limit, self.send(request)).await;
        let sent =
            sent.map_err(|_| Error::with_kind(Step::Receive, self.address, Kind::Timeout))?;
        sent.map_err(|fault| Error::new(Step::Send, self.address, format!("{fault:?}")))
    }

    /// Sends a request as [`Pool::send`] does. `is_sent` is set from the time at which the server may
    /// receive it. `check` is called each time that there is a connection to write to; nothing is
    /// sent if it returns an error.
    ///
    /// # Errors
    ///
    /// Returns the error of `check`, or one that says whether the server may have received the
    /// request.
    pub async fn send_watched(
        &self,
        mut request: Request<Full<Bytes>>,
        is_sent: &Cell<bool>,
        check: impl Fn() -> Result<(), Fault>,
    ) -> Result<Sent, Fault> {
        check()?;
        while let Some(mut sender) = self.take_idle() {
            is_sent.set(true);
            match sender.requests.try_send_request(request).await {
                Ok(response) => return Ok(Sent { response, sender, is_reused: true }),
                // The request is returned only if none of it was written.
                Err(mut error) => request = error.take_message().ok_or(Fault::Lost)?,
            }
            is_sent.set(false);
            check()?;
        }
        let mut sender = self.connect().await?;
        if let Err(fault) = check() {
            // The connection serves a later request.
            self.release(sender, UNUSED_IDLE);
            return Err(fault);
        }
        is_sent.set(true);
        match sender.send(request).await {
            Ok(response) => Ok(Sent { response, sender, is_reused: false }),
            Err(_) => Err(Fault::Lost),
        }
    }

    /// Returns a connection to the pool for reuse within `idle_timeout`. The last response must
    /// have been read to its end.
    pub fn release(&self, sender: Sender, idle_timeout: Duration) {
        let now = clock::now();
        let mut idle_connections = self.idle_connections.borrow_mut();
        idle_connections.retain(|(_, usable_until)| now < *usable_until);
        if idle_connections.len() < MAX_IDLE_CONNECTIONS {
            idle_connections.push((sender, now + idle_timeout));
        }
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::Refused`] if no process listens, and [`Fault::Unsent`] if the connection
    /// fails for another reason or takes too long.
    pub async fn connect(&self) -> Result<Sender, Fault> {
        let connect = net::TcpStream::connect(self.address);
        let connected = time::timeout(self.connect_timeout, connect).await;
        let stream = connected.map_err(|_| Fault::Unsent)?.map_err(|error| match error.kind() {
            io::ErrorKind::ConnectionRefused => Fault::Refused,
            _ => Fault::Unsent,
        })?;
        let opened_at = clock::now();
        let _ = stream.set_nodelay(true);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_BUFFERED_BYTES);
        let handshake = builder.handshake(Paced::new(stream)).await;
        let (requests, connection) = handshake.map_err(|_| Fault::Unsent)?;
        runtime::spawn(connection.map(drop)).detach();
        Ok(Sender { requests, opened_at })
    }

    /// Removes and returns the connection that was released last of those that are still usable.
    fn take_idle(&self) -> Option<Sender> {
        let now = clock::now();
        let mut idle_connections = self.idle_connections.borrow_mut();
        idle_connections.retain(|(sender, usable_until)| sender.is_ready() && now < *usable_until);
        idle_connections.pop().map(|(sender, _)| sender)
    }
}
