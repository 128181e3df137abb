//! HTTP server on the compio runtime, and constructors of responses.

use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    net::SocketAddr,
    pin::{Pin, pin},
    rc::Rc,
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use compio::{net, runtime};
use cyper_core::CompioTimer;
use futures_channel::oneshot;
use futures_util::{
    FutureExt, Stream, StreamExt,
    future::{self, Either, LocalBoxFuture, Shared, poll_immediate},
};
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::{Request, Response, Version, body, header, server::conn::http1, service};
use rustix::net::sockopt;
use serde::Serialize;
use wire::time::Instant;

use crate::{
    caller::{Buffer, Caller, Delivery, Registry},
    clock,
    error::{Error, Kind, Step},
    paced::Paced,
    stream,
};

/// Time a client may take to send the headers of its first request, or of the next one after a
/// response on the same connection. It exceeds the 60 s for which load balancers commonly keep idle
/// connections, so that the load balancer closes first and sends no request on a connection that
/// this process is closing.
const HEADER_TIMEOUT: Duration = Duration::from_secs(75);
/// Time a client may take to send its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of bytes of a refused body that are read and discarded.
const MAX_DISCARDED_BYTES: usize = 64 << 20;
/// Maximum time for which a refused body is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);
/// Bound on the bytes buffered for one connection's headers.
const MAX_HEADER_BYTES: usize = 64 << 10;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval between checks of whether all connections are closed.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Part of the time of a stop after which no more connections are accepted, so that the requests
/// that were accepted last can end.
const ACCEPT_SHARE: f64 = 0.85;
/// Maximum number of connections that are taken from a listener when it is closed, twice what its
/// backlog holds. Callers that come back at once could go on for ever.
const MAX_WAITING_CONNECTIONS: usize = 256;

/// Error of a response body that ended early; the connection is closed without the last chunk.
#[derive(Clone, Copy, Debug)]
pub struct Aborted;

impl std::fmt::Display for Aborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("response aborted")
    }
}

impl std::error::Error for Aborted {}

/// Body of a response.
pub type Body = Pin<Box<dyn body::Body<Data = Bytes, Error = Aborted>>>;

/// Serves requests of one listener.
pub trait Handler {
    /// Returns the response to one request of a caller.
    fn handle(
        self: Rc<Self>,
        request: Request<body::Incoming>,
        caller: Caller,
    ) -> LocalBoxFuture<'static, Response<Body>>;
}

/// Binds a listener.
///
/// # Errors
///
/// Returns an error that names the address.
pub async fn bind(address: SocketAddr) -> Result<net::TcpListener, Error> {
    net::TcpListener::bind(address).await.map_err(|e| Error::new(Step::Bind, address, e))
}

/// Serves listeners whose connections a planned stop closes together.
pub struct Server {
    registry: Rc<Registry>,
    open_connections: Cell<usize>,
    /// Listeners that accept connections.
    open_listeners: Cell<usize>,
    stop: RefCell<Option<oneshot::Sender<()>>>,
    stopped: Shared<oneshot::Receiver<()>>,
    refuse: RefCell<Option<oneshot::Sender<()>>>,
    refused: Shared<oneshot::Receiver<()>>,
}

impl Server {
    /// Returns a server without listeners, whose callers are among those of the process.
    pub fn new(registry: &Rc<Registry>) -> Rc<Server> {
        let (stop, stopped) = oneshot::channel();
        let (refuse, refused) = oneshot::channel();
        Rc::new(Server {
            registry: registry.clone(),
            open_connections: Cell::new(0),
            open_listeners: Cell::new(0),
            stop: RefCell::new(Some(stop)),
            stopped: stopped.shared(),
            refuse: RefCell::new(Some(refuse)),
            refused: refused.shared(),
        })
    }

    /// Accepts connections until a planned stop is nearly over or the process ends.
    pub async fn serve(
        self: Rc<Self>,
        listener: net::TcpListener,
        handler: Rc<impl Handler + 'static>,
    ) {
        self.open_listeners.set(self.open_listeners.get() + 1);
        loop {
            let accepted = pin!(listener.accept());
            match future::select(accepted, self.refused.clone()).await {
                Either::Left((Ok((connection, _)), _)) => self.accept(connection, &handler),
                Either::Left((Err(_), _)) => {
                    // The process may be out of file descriptors until connections close.
                    compio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
                Either::Right(_) => break,
            }
        }
        // Closing the listener resets the connections that it holds.
        for _ in 0..MAX_WAITING_CONNECTIONS {
            let Some(Ok((connection, _))) = poll_immediate(listener.accept()).await else { break };
            self.accept(connection, &handler);
        }
        drop(listener);
        self.open_listeners.set(self.open_listeners.get() - 1);
    }

    fn accept(self: &Rc<Self>, connection: net::TcpStream, handler: &Rc<impl Handler + 'static>) {
        let Some((caller, closed)) = self.registry.open() else { return };
        let _ = connection.set_nodelay(true);
        let handler = handler.clone();
        let open_connection = OpenConnection::new(self.clone());
        runtime::spawn(async move {
            let served = open_connection.0.serve_connection(connection, caller, handler);
            // Ends the connection if it has to give way to others.
            future::select(pin!(served), closed).await;
            drop(open_connection);
        })
        .detach();
    }

    async fn serve_connection(
        &self,
        tcp_stream: net::TcpStream,
        caller: Caller,
        handler: Rc<impl Handler + 'static>,
    ) {
        let socket = tcp_stream.clone();
        let resets_on_close = Cell::new(false);
        let service = service::service_fn(|request: Request<body::Incoming>| {
            let is_old = request.version() < Version::HTTP_11;
            caller.end_head();
            let response = handler.clone().handle(request, caller.clone());
            let (socket, resets_on_close) = (&socket, &resets_on_close);
            let caller = caller.clone();
            async move {
                let response = response.await;
                if is_old && body::Body::size_hint(response.body()).exact().is_none() {
                    set_reset_on_close(socket, true);
                    resets_on_close.set(true);
                }
                Ok::<_, Infallible>(response.map(|body| Delivery::new(body, caller)))
            }
        });
        let connection = http1::Builder::new()
            .timer(CompioTimer)
            .header_read_timeout(HEADER_TIMEOUT)
            .max_buf_size(MAX_HEADER_BYTES)
            .serve_connection(Paced::of_caller(tcp_stream, caller.clone()), service);
        let mut connection = pin!(connection);
        let result = match future::select(connection.as_mut(), self.stopped.clone()).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        match result {
            Ok(()) if resets_on_close.get() => set_reset_on_close(&socket, false),
            Ok(()) => {}
            Err(error) => tracing::debug!(event = "connection_error", %error),
        }
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Closes connections once their responses are sent, and waits for that up to `limit`. New ones
    /// are accepted until none is open, or for a part of that time.
    pub async fn close(&self, limit: Duration) {
        self.stop.borrow_mut().take();
        let began = clock::now();
        self.wait_until(began + limit.mul_f64(ACCEPT_SHARE), |server| {
            server.open_connections.get() == 0
        })
        .await;
        self.refuse.borrow_mut().take();
        self.wait_until(began + limit, |server| {
            server.open_listeners.get() == 0 && server.open_connections.get() == 0
        })
        .await;
    }

    /// Waits until a condition is met, or `end`. Each sleep takes longer on a busy host, so the time
    /// is read from the clock. It sleeps at least once, so that connections with pending bytes get a
    /// turn in a stop that is late.
    async fn wait_until(&self, end: Instant, is_met: impl Fn(&Server) -> bool) {
        while !is_met(self) {
            compio::time::sleep(CLOSE_POLL_INTERVAL).await;
            if clock::now() >= end {
                break;
            }
        }
    }
}

/// Sets whether the connection is reset when it is closed, also at the end of the process. Without
/// chunks, which HTTP/1.0 lacks, an orderly close marks the end of a streamed response.
fn set_reset_on_close(socket: &net::TcpStream, is_reset: bool) {
    let linger = is_reset.then_some(Duration::ZERO);
    if let Err(error) = sockopt::set_socket_linger(socket, linger) {
        tracing::warn!(event = "linger_not_set", %error);
    }
}

/// Counts one connection as open until dropped.
struct OpenConnection(Rc<Server>);

impl OpenConnection {
    fn new(server: Rc<Server>) -> OpenConnection {
        server.open_connections.set(server.open_connections.get() + 1);
        OpenConnection(server)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open_connections.set(self.0.open_connections.get() - 1);
    }
}

/// Longest pause within a response that is being transferred. A lost packet is sent again within
/// some hundred milliseconds; a connection that is silent for longer may be dead.
const MAX_TRANSFER_PAUSE: Duration = Duration::from_millis(900);
/// Longest time for a response that is being transferred, which bounds one that never ends.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(30);

/// Why the body of a response was not read, with the number of bytes that were.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransferError {
    TooLarge(usize),
    /// No byte arrived for `MAX_TRANSFER_PAUSE`, or the body didn't end within `MAX_TRANSFER_TIME`.
    Stalled(usize),
    Broken(usize, String),
}

impl TransferError {
    /// Returns the error of a response from `peer`.
    pub fn at(self, peer: impl std::fmt::Display) -> Error {
        match self {
            TransferError::TooLarge(_) => Error::with_kind(Step::Receive, peer, Kind::TooLarge),
            error => Error::new(Step::Receive, peer, error),
        }
    }
}

impl std::fmt::Display for TransferError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            TransferError::TooLarge(bytes) => write!(f, "over the size limit after {bytes} bytes"),
            TransferError::Stalled(bytes) => write!(f, "stalled after {bytes} bytes"),
            TransferError::Broken(bytes, cause) => write!(f, "broken after {bytes} bytes: {cause}"),
        }
    }
}

/// Reads the parts of a response body of at most `limit` bytes for as long as they arrive. The time
/// that this takes depends on the size and on the link, so only pauses are limited: a transfer that
/// is dropped for its duration has to begin anew, and takes as long again.
///
/// # Errors
///
/// Returns an error if the body is over the limit, truncated, or pauses for too long.
pub async fn transfer<E: std::fmt::Display>(
    parts: impl Stream<Item = Result<Bytes, E>>,
    limit: usize,
) -> Result<Bytes, TransferError> {
    let mut parts = pin!(parts);
    let mut received = BytesMut::new();
    let end = clock::now() + MAX_TRANSFER_TIME;
    loop {
        let pause = MAX_TRANSFER_PAUSE.min(end.since(clock::now()));
        let next = compio::time::timeout(pause, parts.next()).await;
        let next = next.map_err(|_| TransferError::Stalled(received.len()))?;
        let Some(part) = next else { return Ok(received.freeze()) };
        let part = part.map_err(|e| TransferError::Broken(received.len(), e.to_string()))?;
        if received.len() + part.len() > limit {
            return Err(TransferError::TooLarge(received.len()));
        }
        received.extend_from_slice(&part);
    }
}

/// Why a request body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    TooLarge,
    /// The process has no memory left for it.
    NoMemory,
    Timeout,
    /// The connection failed before the end of the body.
    Broken,
}

/// Reads a complete body of at most `limit` bytes from a caller. The rest of one that is refused is
/// read and discarded for a bounded time while the response is sent: if the server closed the
/// connection instead, the client's next write would fail before it has read the response.
///
/// # Errors
///
/// Returns an error if the body is over the limit, too slow, or truncated, or if there is no room
/// for it.
pub async fn read_body(
    mut body: body::Incoming,
    limit: u64,
    caller: &Caller,
) -> Result<Bytes, BodyError> {
    let read = match body::Body::size_hint(&body).lower() > limit {
        true => Err(BodyError::TooLarge),
        false => {
            let read = compio::time::timeout(BODY_TIMEOUT, read_whole(&mut body, limit, caller));
            read.await.map_err(|_| BodyError::Timeout)?
        }
    };
    match read {
        Ok(_) => caller.begin_answer(),
        Err(BodyError::TooLarge | BodyError::NoMemory) => {
            runtime::spawn(discard(body)).detach();
        }
        Err(BodyError::Timeout | BodyError::Broken) => {}
    }
    read
}

async fn read_whole(
    body: &mut body::Incoming,
    limit: u64,
    caller: &Caller,
) -> Result<Bytes, BodyError> {
    let most = body::Body::size_hint(body).exact().unwrap_or(limit).min(limit) as usize;
    let mut received = Buffer::new(caller.clone());
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Broken)?.into_data() else { continue };
        if (received.len() + data.len()) as u64 > limit {
            return Err(BodyError::TooLarge);
        }
        received.extend(&data, most).map_err(|_| BodyError::NoMemory)?;
    }
    Ok(received.into_bytes())
}

/// Reads a response body of at most `limit` bytes.
///
/// # Errors
///
/// Returns an error if the body is over the limit or truncated.
pub async fn read_limited(
    body: body::Incoming,
    limit: usize,
) -> Result<Bytes, Box<dyn std::error::Error + Send + Sync>> {
    Ok(Limited::new(body, limit).collect().await?.to_bytes())
}

/// Reads and discards the rest of a refused body, within the bounds on bytes and time.
async fn discard(mut body: body::Incoming) {
    let read = async {
        let mut remaining = MAX_DISCARDED_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            let len = frame.data_ref().map_or(0, Bytes::len);
            let Some(new_remaining) = remaining.checked_sub(len) else { return };
            remaining = new_remaining;
        }
    };
    let _ = compio::time::timeout(DISCARD_TIMEOUT, read).await;
}

/// Returns a response with a complete body. An invalid content type is left out.
pub fn buffered(status: u16, content_type: &str, bytes: Bytes) -> Response<Body> {
    let body = Full::new(bytes).map_err(|never| match never {});
    respond(status, content_type.as_bytes(), Box::pin(body))
}

/// Returns a JSON response.
///
/// # Panics
///
/// Panics if the value can't be serialised.
pub fn json(status: u16, value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("status types serialise");
    buffered(status, "application/json", text.into())
}

/// Returns a response with an empty body.
pub fn empty(status: u16) -> Response<Body> {
    buffered(status, "text/plain", Bytes::new())
}

/// Returns a response whose body is sent through the channel. `guard` is dropped with the body.
pub fn streamed<G: 'static>(
    status: u16,
    content_type: &[u8],
    receiver: stream::Receiver,
    guard: G,
) -> Response<Body> {
    let frames = receiver.map(move |part| {
        let _ = &guard;
        part.map(body::Frame::data)
    });
    respond(status, content_type, Box::pin(StreamBody::new(frames)))
}

/// Returns a response with a body. An invalid content type is left out.
pub fn respond(status: u16, content_type: &[u8], body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() =
        hyper::StatusCode::from_u16(status).unwrap_or(hyper::StatusCode::BAD_GATEWAY);
    if let Ok(value) = header::HeaderValue::from_bytes(content_type) {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    response
}
