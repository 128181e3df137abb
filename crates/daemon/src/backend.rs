//! Client of an agent's backend server: dispatch, resume, cancel, probes, load and orders.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use agent::Progress;
use bytes::Bytes;
use compio::time;
use conf::tree;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body, header};
use serde::Deserialize;
use serde_json::json;
use wire::{header as names, id, request, response::Meaning, time::Instant};

use crate::{
    clock,
    connection::{self, Fault, Sent},
    framing::Framing,
    http,
};

/// Timeout for connecting; the backend server runs on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a probe, load report, cancellation or order.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest response to a probe or a query of the load, in bytes.
const MAX_CONTROL_BYTES: usize = 1 << 20;
/// Idle time after which a connection is not reused. Servers close idle connections after some
/// seconds, and a request sent at that moment would have an unknown outcome.
const MAX_IDLE: Duration = Duration::from_secs(1);

/// Load that the engine reports, which lags behind its real load.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Load {
    pub running: u32,
    pub waiting: u32,
}

/// Receives the rate limit that a response names, if any, and the time at which its request was
/// sent.
pub type LimitObserver = Rc<dyn Fn(Instant, Option<f64>)>;

/// Client of one backend server.
#[derive(Clone)]
pub struct Client {
    connections: connection::Pool,
    limit_observer: Option<LimitObserver>,
}

impl Client {
    /// Returns a client without connections.
    pub fn new(address: SocketAddr) -> Client {
        let connections = connection::Pool::new(address, CONNECT_TIMEOUT);
        Client { connections, limit_observer: None }
    }

    /// Returns a client that reports the rate limits in responses.
    pub fn with_limit_observer(self, limit_observer: LimitObserver) -> Client {
        Client { limit_observer: Some(limit_observer), ..self }
    }

    /// Reports the rate limit in the headers of a response. One that can't be read is ignored.
    fn report_limit(&self, sent_at: Instant, headers: &HeaderMap) {
        let Some(observer) = &self.limit_observer else { return };
        let Some(value) = headers.get(names::RATE_LIMIT) else { return observer(sent_at, None) };
        match value.to_str().ok().and_then(rate::statement::parse) {
            Some(per_s) => observer(sent_at, Some(per_s)),
            None => tracing::warn!(event = "limit_malformed", peer = %self.connections.address()),
        }
    }

    /// Sends a request once and reports its progress.
    pub async fn dispatch(
        self,
        grant: id::Grant,
        head: request::Head,
        body: Bytes,
        report: impl Fn(Progress),
    ) {
        let method = Method::from_bytes(&head.method).unwrap_or(Method::POST);
        let path = String::from_utf8_lossy(&head.path).into_owned();
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.connections.address().to_string())
            .header(header::CONTENT_TYPE, &head.content_type[..])
            .header(names::REQUEST_ID, grant.to_string())
            .body(Full::new(body));
        let Ok(request) = request else { return report(Progress::Unreachable) };
        let sent_at = clock::now();
        match self.connections.send(request).await {
            Ok(Sent { response, sender, is_reused }) => {
                let owner = Owner::of(&response, &grant.to_string());
                if !owner.is_trusted(is_reused) {
                    tracing::warn!(event = "foreign_response", %grant, is_reused);
                    return report(Progress::ConnectionLost);
                }
                self.report_limit(sent_at, response.headers());
                if report_response(response, 0, &report).await && owner == Owner::Request {
                    self.connections.release(sender, MAX_IDLE);
                }
            }
            Err(Fault::Unsent | Fault::Late | Fault::Refused | Fault::Withdrawn) => {
                report(Progress::Unreachable);
            }
            Err(Fault::Lost) => report(Progress::ConnectionLost),
        }
    }

    /// Resumes a stream from an offset and reports its progress.
    pub async fn resume(self, grant: id::Grant, offset: u64, report: impl Fn(Progress)) {
        let path = format!("/v1/streams/{grant}?from={offset}");
        let sent_at = clock::now();
        let response = self.clone().send_unpooled(Method::GET, &path, None, Bytes::new()).await;
        if let Some(response) = &response {
            self.report_limit(sent_at, response.headers());
        }
        match response {
            Some(response) if response.status() == 404 => {
                report(Progress::StreamNotFound { instance: read_instance(&response) });
            }
            Some(response) if response.status() == StatusCode::OK => {
                report_response(response, offset, &report).await;
            }
            _ => report(Progress::ConnectionLost),
        }
    }

    /// Cancels a stream.
    pub async fn cancel(self, grant: id::Grant) {
        let path = format!("/v1/streams/{grant}");
        let sent = self.send_unpooled(Method::DELETE, &path, None, Bytes::new());
        let _ = time::timeout(CONTROL_TIMEOUT, sent).await;
    }

    /// Returns the instance identifier of the backend server, or `None` if it does not respond.
    /// Opens a new connection, since an idle one would not show that the server still accepts
    /// connections.
    pub async fn probe(self) -> Option<Bytes> {
        let probe = async {
            let id = control_id();
            let name = Some((names::REQUEST_ID, &id[..]));
            let request = self.build_request(Method::GET, "/health", name, Bytes::new())?;
            let mut sender = self.connections.connect().await.ok()?;
            let sent_at = clock::now();
            let response = sender.send(request).await.ok()?;
            let owner = Owner::of(&response, &id);
            self.report_limit(sent_at, response.headers());
            let instance = response.status().is_success().then(|| read_instance(&response))?;
            let body = http::read_limited(response.into_body(), MAX_CONTROL_BYTES).await;
            if body.is_ok() && owner == Owner::Request {
                self.connections.release(sender, MAX_IDLE);
            }
            Some(instance)
        };
        time::timeout(CONTROL_TIMEOUT, probe).await.ok()?
    }

    /// Returns the engine's load report.
    pub async fn read_load(self) -> Option<Load> {
        let load = async {
            let id = control_id();
            let name = Some((names::REQUEST_ID, &id[..]));
            let request = self.build_request(Method::GET, "/v1/load", name, Bytes::new())?;
            let sent = self.connections.send(request).await.ok()?;
            let owner = Owner::of(&sent.response, &id);
            if !owner.is_trusted(sent.is_reused) {
                return None;
            }
            let body = sent.response.into_body();
            let body = http::read_limited(body, MAX_CONTROL_BYTES).await.ok()?;
            if owner == Owner::Request {
                self.connections.release(sent.sender, MAX_IDLE);
            }
            serde_json::from_slice(&body).ok()
        };
        time::timeout(CONTROL_TIMEOUT, load).await.ok()?
    }

    /// Sends an order. Returns the HTTP status, or `None` if there was no response.
    pub async fn send_order(self, order: &tree::Order) -> Option<u16> {
        let text = |bytes: &Bytes| String::from_utf8_lossy(bytes).into_owned();
        let body = json!({ "action": text(&order.action), "argument": text(&order.argument) });
        let fence = order.fence.to_string();
        let body = Bytes::from(body.to_string());
        let sent =
            self.send_unpooled(Method::POST, "/v1/orders", Some((names::FENCE, &fence)), body);
        let response = time::timeout(CONTROL_TIMEOUT, sent).await.ok()??;
        Some(response.status().as_u16())
    }

    async fn send_unpooled(
        self,
        method: Method,
        path: &str,
        header: Option<(&str, &str)>,
        body: Bytes,
    ) -> Option<Response<body::Incoming>> {
        let request = self.build_request(method, path, header, body)?;
        self.connections.connect().await.ok()?.send(request).await.ok()
    }

    fn build_request(
        &self,
        method: Method,
        path: &str,
        header: Option<(&str, &str)>,
        body: Bytes,
    ) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.connections.address().to_string());
        if let Some((name, value)) = header {
            request = request.header(name, value);
        }
        request.body(Full::new(body)).ok()
    }
}

/// Request that a response belongs to, by the identifier that it repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Owner {
    Request,
    Other,
    /// The response has no identifier.
    Unnamed,
}

impl Owner {
    fn of(response: &Response<body::Incoming>, id: &str) -> Owner {
        match response.headers().get(names::REQUEST_ID) {
            Some(value) if value.as_bytes() == id.as_bytes() => Owner::Request,
            Some(_) => Owner::Other,
            None => Owner::Unnamed,
        }
    }

    /// Returns whether the response is that to the request. One without an identifier is only
    /// trusted on a new connection.
    fn is_trusted(self, is_reused: bool) -> bool {
        self == Owner::Request || (self == Owner::Unnamed && !is_reused)
    }
}

/// Returns an identifier for a probe or a load report.
fn control_id() -> String {
    format!("control-{:016x}", fastrand::u64(..))
}

/// Reports a response, whose body starts at `offset`, as it arrives. Returns whether the connection
/// can be used again.
async fn report_response(
    response: Response<body::Incoming>,
    mut offset: u64,
    report: &impl Fn(Progress),
) -> bool {
    let content_type = response.headers().get(header::CONTENT_TYPE);
    let content_type = content_type.map(|value| Bytes::copy_from_slice(value.as_bytes()));
    let status = response.status().as_u16();
    report(Progress::Started {
        status,
        content_type: content_type.unwrap_or_default(),
        instance: read_instance(&response),
    });
    if !Meaning::of(status).is_forwarded() {
        // Nobody gets the body, which may have no end.
        report(Progress::End);
        return false;
    }
    let framing = Framing::of(response.headers(), response.body());
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        match frame.map(body::Frame::into_data) {
            Ok(Ok(bytes)) => {
                let length = bytes.len() as u64;
                report(Progress::Data { offset, bytes });
                offset += length;
            }
            Ok(Err(_trailers)) => {}
            Err(_) => {
                report(Progress::ConnectionLost);
                return false;
            }
        }
    }
    report(match framing {
        Framing::Length | Framing::Chunks => Progress::End,
        Framing::Close => Progress::Closed,
    });
    framing != Framing::Close
}

fn read_instance(response: &Response<body::Incoming>) -> Bytes {
    let value = response.headers().get(names::ENGINE_INSTANCE);
    value.map(|value| Bytes::copy_from_slice(value.as_bytes())).unwrap_or_default()
}
