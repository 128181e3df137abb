//! HTTP/1.1 server shared by the test doubles.

use std::{future::Future, io, net::SocketAddr, pin::Pin, rc::Rc};

use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::{CompioTimer, HyperStream};
use futures_util::stream::{LocalBoxStream, StreamExt};
use http_body_util::{BodyExt, Either, Full, Limited, StreamBody};
use hyper::{
    Method, Request as HyperRequest, Response, StatusCode,
    body::{Frame, Incoming},
    header,
    server::conn::http1,
    service,
};
use serde::{Serialize, de::DeserializeOwned};
use wire::header::{ENGINE_INSTANCE, REQUEST_ID};

use crate::port::{Controller, Port};

/// Larger request bodies are refused.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Response body: in one piece, or streamed. An error in the stream drops the connection.
pub type Body = Either<Full<Bytes>, StreamBody<LocalBoxStream<'static, io::Result<Frame<Bytes>>>>>;

/// Result of a handler: `Err` drops the connection without a response.
pub type HandlerResult = io::Result<Response<Body>>;

type ResponseFuture = Pin<Box<dyn Future<Output = HandlerResult>>>;

/// A request whose body has been read completely.
#[derive(Debug)]
pub struct Request {
    /// Number of the connection within its port.
    pub connection: u64,
    pub method: Method,
    pub path: String,
    pub query: String,
    pub headers: header::HeaderMap,
    pub body: Bytes,
}

impl Request {
    /// Returns the value of a header; an empty string if it is missing or not text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Returns the value of a query parameter; an empty string if it has no value.
    pub fn param(&self, name: &str) -> Option<&str> {
        self.query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            (key == name).then_some(value)
        })
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns the parser's message if the body is not of the expected form.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_slice(&self.body).map_err(|error| format!("body: {error}\n"))
    }
}

/// Serves HTTP on `address` until the port is dropped.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn serve<F, H>(address: SocketAddr, controller: Rc<Controller>, handler: H) -> io::Result<Port>
where
    F: Future<Output = HandlerResult> + 'static,
    H: Fn(Request) -> F + 'static,
{
    let handler: Rc<dyn Fn(Request) -> ResponseFuture> =
        Rc::new(move |request| Box::pin(handler(request)));
    Port::open(address, controller, move |stream, id| serve_connection(stream, id, handler.clone()))
}

/// Returns a response with a text body.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    respond(status, "text/plain", body)
}

/// Returns a 200 response with a JSON body.
pub fn json(value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("values of the test doubles serialise");
    respond(StatusCode::OK, "application/json", body)
}

/// Returns a 200 response with one JSON value per line.
pub fn json_lines<T: Serialize>(values: impl IntoIterator<Item = T>) -> Response<Body> {
    let mut body = Vec::new();
    for value in values {
        serde_json::to_writer(&mut body, &value).expect("values of the test doubles serialise");
        body.push(b'\n');
    }
    respond(StatusCode::OK, "application/x-ndjson", body)
}

/// Returns a response with a body in one piece.
pub fn respond(status: StatusCode, content_type: &str, body: impl Into<Bytes>) -> Response<Body> {
    build(status, content_type, Either::Left(Full::new(body.into())))
}

/// Returns a 200 response with a streamed body.
pub fn streamed(
    content_type: &str,
    parts: impl futures_util::Stream<Item = io::Result<Bytes>> + 'static,
) -> Response<Body> {
    let frames = parts.map(|part| part.map(Frame::data)).boxed_local();
    build(StatusCode::OK, content_type, Either::Right(StreamBody::new(frames)))
}

fn build(status: StatusCode, content_type: &str, body: Body) -> Response<Body> {
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, content_type)
        .body(body)
        .expect("status and content type are valid")
}

/// Adds the header with the instance number of an engine or service.
pub fn add_instance_header(mut response: Response<Body>, instance: u64) -> Response<Body> {
    let value = header::HeaderValue::try_from(format!("{instance:016x}"));
    let value = value.expect("hexadecimal digits form a header value");
    response.headers_mut().insert(ENGINE_INSTANCE, value);
    response
}

/// Adds the identifier of the request to its response, if it has one.
pub fn add_request_id(mut response: Response<Body>, id: &str) -> Response<Body> {
    if !id.is_empty()
        && let Ok(value) = header::HeaderValue::try_from(id)
    {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    response
}

/// Returns the response to a request that can't be parsed.
pub fn bad_request(reason: impl Into<Bytes>) -> Response<Body> {
    text(StatusCode::BAD_REQUEST, reason)
}

/// Returns the response for a path or method that is not served.
pub fn not_found() -> Response<Body> {
    text(StatusCode::NOT_FOUND, "not found\n")
}

/// Returns the error with which a handler drops the connection without a response.
pub fn connection_aborted() -> io::Error {
    io::ErrorKind::ConnectionAborted.into()
}

async fn serve_connection(
    stream: TcpStream,
    id: u64,
    handler: Rc<dyn Fn(Request) -> ResponseFuture>,
) {
    stream.set_nodelay(true).ok();
    let service = service::service_fn(move |request| respond_to(request, id, handler.clone()));
    let served = http1::Builder::new()
        .timer(CompioTimer)
        // Idle connections stay open, so that only injected faults drop connections.
        .header_read_timeout(None)
        .serve_connection(HyperStream::new_plain(stream), service);
    // An error is expected when the caller closes the connection or a fault is injected.
    served.await.ok();
}

async fn respond_to(
    request: HyperRequest<Incoming>,
    id: u64,
    handler: Rc<dyn Fn(Request) -> ResponseFuture>,
) -> HandlerResult {
    let (head, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return Ok(text(StatusCode::PAYLOAD_TOO_LARGE, "body too large or cut off\n"));
    };
    let request = Request {
        connection: id,
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        body: body.to_bytes(),
    };
    handler(request).await
}
