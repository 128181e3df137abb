//! HTTP server plumbing on the compio runtime.

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
use cyper_core::{CompioTimer, HyperStream};
use futures_channel::oneshot;
use futures_util::{
    FutureExt, StreamExt,
    future::{self, Either, LocalBoxFuture, Shared},
};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::{Request, Response, body, header, server::conn::http1, service};
use serde::Serialize;

use crate::{
    error::{Error, Step},
    stream,
};

/// Time a client may take to send its headers, also after an answer on the same connection. It
/// exceeds the 60 s for which load balancers commonly keep idle connections, so that they close
/// first and no request meets a closing connection.
const HEADER_TIMEOUT: Duration = Duration::from_secs(75);
/// Time a client may take to send its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);
/// Bytes of a refused body that are read and discarded.
const MAX_DISCARDED_BYTES: usize = 64 << 20;
/// Time for which a refused body is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);
/// Bound on the bytes buffered for one connection's headers.
const MAX_HEADER_BYTES: usize = 64 << 10;
/// Wait after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// Time between looks at open connections while they close.
const CLOSE_PERIOD: Duration = Duration::from_millis(10);
/// Connections served at once on one listener.
const MAX_CONNECTIONS: usize = 20_000;

/// The answer's stream ended early; the connection is closed without the last chunk.
#[derive(Clone, Copy, Debug)]
pub struct Aborted;

impl std::fmt::Display for Aborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("answer aborted")
    }
}

impl std::error::Error for Aborted {}

/// Body of an answer.
pub type Body = Pin<Box<dyn body::Body<Data = Bytes, Error = Aborted>>>;

/// Serves requests of one listener.
pub trait Handler {
    /// Answers one request.
    fn handle(
        self: Rc<Self>,
        request: Request<body::Incoming>,
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

/// The listeners of a process that a planned stop closes, and their open connections.
pub struct Server {
    open: Cell<usize>,
    stop: RefCell<Option<oneshot::Sender<()>>>,
    stopped: Shared<oneshot::Receiver<()>>,
}

impl Default for Server {
    fn default() -> Server {
        let (sender, receiver) = oneshot::channel();
        Server { open: Cell::new(0), stop: RefCell::new(Some(sender)), stopped: receiver.shared() }
    }
}

impl Server {
    /// Accepts connections for ever.
    pub async fn serve(
        self: Rc<Self>,
        listener: net::TcpListener,
        handler: Rc<impl Handler + 'static>,
    ) {
        loop {
            let Ok((connection, _)) = listener.accept().await else {
                // Out of file descriptors: wait for connections to close.
                compio::time::sleep(ACCEPT_RETRY).await;
                continue;
            };
            if self.open.get() >= MAX_CONNECTIONS {
                continue;
            }
            let _ = connection.set_nodelay(true);
            let handler = handler.clone();
            let active = Active::new(self.clone());
            runtime::spawn(async move {
                active.0.connection(connection, handler).await;
                drop(active);
            })
            .detach();
        }
    }

    async fn connection(&self, stream: net::TcpStream, handler: Rc<impl Handler + 'static>) {
        let service = service::service_fn(move |request| {
            let answer = handler.clone().handle(request);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let connection = http1::Builder::new()
            .timer(CompioTimer)
            .header_read_timeout(HEADER_TIMEOUT)
            .max_buf_size(MAX_HEADER_BYTES)
            .serve_connection(HyperStream::new_plain(stream), service);
        let mut connection = pin!(connection);
        let result = match future::select(connection.as_mut(), self.stopped.clone()).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = result {
            tracing::debug!(event = "connection_error", %error);
        }
    }

    /// Closes connections once their answers are sent, and waits for that up to `limit`.
    pub async fn close(&self, limit: Duration) {
        self.stop.borrow_mut().take();
        let mut waited = Duration::ZERO;
        while self.open.get() > 0 && waited < limit {
            compio::time::sleep(CLOSE_PERIOD).await;
            waited += CLOSE_PERIOD;
        }
    }
}

/// Counts one open connection while it lives.
struct Active(Rc<Server>);

impl Active {
    fn new(server: Rc<Server>) -> Active {
        server.open.set(server.open.get() + 1);
        Active(server)
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// Why a request body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    TooLarge,
    Timeout,
    Broken,
}

/// Reads a whole body of at most `limit` bytes. The rest of a larger one is read and discarded
/// for a bounded time, while the answer is sent: if the server closed the connection instead,
/// the client's next write would fail before it has read the answer.
///
/// # Errors
///
/// Returns an error if the body is over the limit, too slow, or cut.
pub async fn read_body(mut body: body::Incoming, limit: u64) -> Result<Bytes, BodyError> {
    if body::Body::size_hint(&body).lower() > limit {
        runtime::spawn(discard(body)).detach();
        return Err(BodyError::TooLarge);
    }
    let read = async {
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| BodyError::Broken)?.into_data() else { continue };
            if (whole.len() + data.len()) as u64 > limit {
                return Err(BodyError::TooLarge);
            }
            whole.extend_from_slice(&data);
        }
        Ok(whole.freeze())
    };
    let read = compio::time::timeout(BODY_TIMEOUT, read).await.map_err(|_| BodyError::Timeout)?;
    if read == Err(BodyError::TooLarge) {
        runtime::spawn(discard(body)).detach();
    }
    read
}

/// Reads the rest of a refused body within its bounds.
async fn discard(mut body: body::Incoming) {
    let read = async {
        let mut left = MAX_DISCARDED_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            let len = frame.data_ref().map_or(0, Bytes::len);
            let Some(rest) = left.checked_sub(len) else { return };
            left = rest;
        }
    };
    let _ = compio::time::timeout(DISCARD_TIMEOUT, read).await;
}

/// Returns an answer with a whole body.
///
/// # Panics
///
/// Panics if `content_type` is not a valid header value.
pub fn buffered(status: u16, content_type: &str, bytes: Bytes) -> Response<Body> {
    let body = Full::new(bytes).map_err(|never| match never {});
    answer(status, content_type.as_bytes(), Box::pin(body))
}

/// Returns a JSON answer.
///
/// # Panics
///
/// Panics if the value can't be serialised.
pub fn json(status: u16, value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("status types serialise");
    buffered(status, "application/json", text.into())
}

/// Returns an empty answer.
pub fn empty(status: u16) -> Response<Body> {
    buffered(status, "text/plain", Bytes::new())
}

/// Returns an answer whose body is sent through the channel. `guard` is dropped with the body.
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
    answer(status, content_type, Box::pin(StreamBody::new(frames)))
}

fn answer(status: u16, content_type: &[u8], body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() =
        hyper::StatusCode::from_u16(status).unwrap_or(hyper::StatusCode::BAD_GATEWAY);
    if let Ok(value) = header::HeaderValue::from_bytes(content_type) {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    response
}
