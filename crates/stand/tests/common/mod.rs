//! HTTP requests for the tests.

use std::{future::Future, net::SocketAddr};

use bytes::Bytes;
use cyper::{Client, Response};
use hyper::Method;

/// Returns the loopback address with port 0, which binds any free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Runs a test on its own runtime.
pub fn run(test: impl Future<Output = ()>) {
    compio::runtime::Runtime::new().expect("a runtime starts").block_on(test);
}

/// Sends a request on a new connection.
pub async fn send(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&'static str, &str)],
    body: impl Into<Bytes>,
) -> cyper::Result<Response> {
    let client = Client::builder().no_proxy().build()?;
    let mut request = client.request(method, format!("http://{address}{path}"))?;
    for (name, value) in headers {
        request = request.header(*name, *value)?;
    }
    request.body(body.into()).send().await
}

/// Returns the body of the response to `GET path`.
pub async fn read(address: SocketAddr, path: &str) -> cyper::Result<Bytes> {
    send(Method::GET, address, path, &[], "").await?.bytes().await
}
