//! Client of the backend server beside an agent: dispatch, resume, cancel, probe, orders.

use std::{net::SocketAddr, time::Duration};

use agent::Progress;
use bytes::Bytes;
use compio::{net, runtime, time};
use conf::tree;
use cyper_core::HyperStream;
use futures_util::FutureExt;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, body, client::conn::http1, header};
use serde::Deserialize;
use serde_json::json;
use wire::{header as names, id, request};

/// Time for a connection on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for a probe, load report, cancellation or order.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// Load as the engine reports it, with a lag.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Load {
    pub running: u32,
    pub waiting: u32,
}

/// The backend server's address. Every call opens its own connection, so that a failure to
/// connect proves that nothing was sent.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    pub address: SocketAddr,
}

impl Client {
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
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, &head.content_type[..])
            .header(names::REQUEST_ID, grant.to_string())
            .body(Full::new(body));
        let Ok(request) = request else { return report(Progress::Unreachable) };
        let Some(connection) = self.connect().await else {
            return report(Progress::Unreachable);
        };
        match send(connection, request).await {
            Some(response) => relay(response, &report).await,
            None => report(Progress::Lost),
        }
    }

    /// Resumes a stream from an offset and reports its progress.
    pub async fn resume(self, grant: id::Grant, offset: u64, report: impl Fn(Progress)) {
        let path = format!("/v1/streams/{grant}?from={offset}");
        match self.call(Method::GET, &path, None, Bytes::new()).await {
            Some(response) if response.status() == 404 => {
                report(Progress::NoStream { instance: instance(&response) });
            }
            Some(response) if response.status().is_success() => relay(response, &report).await,
            _ => report(Progress::Lost),
        }
    }

    /// Cancels a stream.
    pub async fn cancel(self, grant: id::Grant) {
        let path = format!("/v1/streams/{grant}");
        let call = self.call(Method::DELETE, &path, None, Bytes::new());
        let _ = time::timeout(CONTROL_TIMEOUT, call).await;
    }

    /// Returns the run of the backend server, or `None` if it does not answer.
    pub async fn probe(self) -> Option<Bytes> {
        let call = self.call(Method::GET, "/health", None, Bytes::new());
        let response = time::timeout(CONTROL_TIMEOUT, call).await.ok()??;
        response.status().is_success().then(|| instance(&response))
    }

    /// Returns the engine's load report.
    pub async fn load(self) -> Option<Load> {
        let call = self.call(Method::GET, "/v1/load", None, Bytes::new());
        let response = time::timeout(CONTROL_TIMEOUT, call).await.ok()??;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice(&body).ok()
    }

    /// Gives an order. Returns the HTTP status, or `None` if there was no answer.
    pub async fn order(self, order: &tree::Order) -> Option<u16> {
        let text = |bytes: &Bytes| String::from_utf8_lossy(bytes).into_owned();
        let body = json!({ "action": text(&order.action), "argument": text(&order.argument) });
        let fence = order.fence.to_string();
        let body = Bytes::from(body.to_string());
        let call = self.call(Method::POST, "/v1/orders", Some((names::FENCE, &fence)), body);
        let response = time::timeout(CONTROL_TIMEOUT, call).await.ok()??;
        Some(response.status().as_u16())
    }

    async fn call(
        self,
        method: Method,
        path: &str,
        header: Option<(&str, &str)>,
        body: Bytes,
    ) -> Option<Response<body::Incoming>> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string());
        if let Some((name, value)) = header {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(body)).ok()?;
        send(self.connect().await?, request).await
    }

    async fn connect(self) -> Option<net::TcpStream> {
        let connect = net::TcpStream::connect(self.address);
        let stream = time::timeout(CONNECT_TIMEOUT, connect).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        Some(stream)
    }
}

async fn send(
    stream: net::TcpStream,
    request: Request<Full<Bytes>>,
) -> Option<Response<body::Incoming>> {
    let (mut sender, connection) = http1::handshake(HyperStream::new_plain(stream)).await.ok()?;
    runtime::spawn(connection.map(drop)).detach();
    sender.send_request(request).await.ok()
}

async fn relay(response: Response<body::Incoming>, report: &impl Fn(Progress)) {
    let content_type = response.headers().get(header::CONTENT_TYPE);
    let content_type = content_type.map(|value| Bytes::copy_from_slice(value.as_bytes()));
    report(Progress::Started {
        status: response.status().as_u16(),
        content_type: content_type.unwrap_or_default(),
        instance: instance(&response),
    });
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        match frame.map(body::Frame::into_data) {
            Ok(Ok(data)) => report(Progress::Data(data)),
            Ok(Err(_trailers)) => {}
            Err(_) => return report(Progress::Lost),
        }
    }
    report(Progress::End);
}

fn instance(response: &Response<body::Incoming>) -> Bytes {
    let value = response.headers().get(names::ENGINE_INSTANCE);
    value.map(|value| Bytes::copy_from_slice(value.as_bytes())).unwrap_or_default()
}
