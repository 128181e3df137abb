//! Fetches data from the operator addresses of processes over HTTP.

use std::{error::Error as _, fmt, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::{
    StreamExt,
    future::{FutureExt, LocalBoxFuture},
    stream,
};
use serde::de::DeserializeOwned;
use wire::status;

use crate::error;

/// Limit of requests in flight; below the usual limit of 1024 open files.
const MAX_CONCURRENT: usize = 256;

/// Largest body of a response, in bytes. The status of a process in a large fleet has a few megabytes.
const MAX_BODY_BYTES: usize = 32 << 20;

/// HTTP status with which a process responds that does not have the requested data.
pub const NOT_FOUND: u16 = 404;

/// Source of the processes' data; a trait so that tests can replace the network.
pub trait Source {
    /// Sends `GET path` to the process at `address` and returns the body of a successful response.
    fn get<'a>(
        &'a self,
        address: &'a str,
        path: &'a str,
    ) -> LocalBoxFuture<'a, Result<Bytes, Cause>>;
}

/// Reason why no usable response was received from a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    Timeout(Duration),
    Connection(String),
    Status(u16),
    /// The body does not have the expected form.
    Body(String),
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Timeout(after) => write!(f, "no answer within {} ms", after.as_millis()),
            Cause::Connection(cause) => write!(f, "{cause}"),
            Cause::Status(status) => write!(f, "answered with HTTP status {status}"),
            Cause::Body(cause) => write!(f, "not an operator address: {cause}"),
        }
    }
}

/// A process that sent no usable response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    pub address: String,
    pub cause: Cause,
}

/// Results of a request to several processes, in the order of their addresses.
#[derive(Clone, Debug)]
pub struct Responses<T> {
    pub received: Vec<Response<T>>,
    pub failures: Vec<Failure>,
}

/// Response of one process.
#[derive(Clone, Debug)]
pub struct Response<T> {
    pub address: String,
    pub value: T,
}

impl<T> Responses<T> {
    /// Returns the number of processes that were queried.
    pub fn queried(&self) -> usize {
        self.received.len() + self.failures.len()
    }

    /// Returns the values, and an error if a process did not respond.
    pub fn into_values(self) -> (Vec<T>, Option<error::Error>) {
        let queried = self.queried();
        let values = self.received.into_iter().map(|response| response.value).collect();
        let failures = self.failures;
        let error =
            (!failures.is_empty()).then_some(error::Error::Unreachable { queried, failures });
        (values, error)
    }
}

/// Sends `GET path` to all processes concurrently and decodes the responses.
pub async fn fetch_all<T: DeserializeOwned>(
    source: &dyn Source,
    addresses: &[String],
    path: &str,
) -> Responses<T> {
    let requests = addresses.iter().map(|address| async move {
        let result = source.get(address, path).await;
        (address.clone(), result.and_then(|body| decode(&body)))
    });
    let results: Vec<_> = stream::iter(requests).buffered(MAX_CONCURRENT).collect().await;
    let mut responses = Responses { received: Vec::new(), failures: Vec::new() };
    for (address, result) in results {
        match result {
            Ok(value) => responses.received.push(Response { address, value }),
            Err(cause) => responses.failures.push(Failure { address, cause }),
        }
    }
    responses
}

/// Fetches the status of all processes concurrently.
pub async fn fetch_statuses(
    source: &dyn Source,
    addresses: &[String],
) -> Responses<status::Status> {
    let mut responses = fetch_all::<status::Status>(source, addresses, "/status").await;
    // Every field of a status has a default, so any JSON object decodes as a status. Only one
    // with a host is accepted.
    let (named, unnamed): (Vec<_>, Vec<_>) =
        responses.received.into_iter().partition(|response| !response.value.host.is_empty());
    responses.received = named;
    responses.failures.extend(unnamed.into_iter().map(|response| Failure {
        address: response.address,
        cause: Cause::Body("the status names no host".to_owned()),
    }));
    responses
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Cause> {
    serde_json::from_slice(body).map_err(|error| Cause::Body(error.to_string()))
}

/// Source that sends requests over the network.
#[derive(Debug)]
pub struct Http {
    client: cyper::Client,
    timeout: Duration,
}

impl Http {
    /// Returns a source that waits at most `timeout` for each response.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be set up.
    pub fn new(timeout: Duration) -> Result<Http, error::Error> {
        // A proxy set in the environment or a redirect could return the response of another
        // process than the one at the address.
        let builder = cyper::Client::builder().no_proxy().redirect(cyper::redirect::Policy::none());
        let client = builder.build().map_err(|error| error::Error::Client(error.to_string()))?;
        Ok(Http { client, timeout })
    }

    async fn get_body(&self, address: &str, path: &str) -> Result<Bytes, Cause> {
        let request =
            self.client.get(format!("http://{address}{path}")).map_err(connection_cause)?;
        let response = request.send().await.map_err(connection_cause)?;
        let status = response.status();
        if !status.is_success() {
            return Err(Cause::Status(status.as_u16()));
        }
        let mut parts = response.bytes_stream();
        let mut body = BytesMut::new();
        while let Some(part) = parts.next().await {
            let part = part.map_err(connection_cause)?;
            if body.len() + part.len() > MAX_BODY_BYTES {
                return Err(Cause::Body(format!("the body is over {MAX_BODY_BYTES} bytes")));
            }
            body.extend_from_slice(&part);
        }
        Ok(body.freeze())
    }
}

impl Source for Http {
    fn get<'a>(
        &'a self,
        address: &'a str,
        path: &'a str,
    ) -> LocalBoxFuture<'a, Result<Bytes, Cause>> {
        let request = compio::time::timeout(self.timeout, self.get_body(address, path));
        request.map(|result| result.unwrap_or(Err(Cause::Timeout(self.timeout)))).boxed_local()
    }
}

/// Returns the innermost cause as text; the outer errors only say that the request failed.
fn connection_cause(error: cyper::Error) -> Cause {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = cause.to_string();
        source = cause.source();
    }
    Cause::Connection(text)
}
