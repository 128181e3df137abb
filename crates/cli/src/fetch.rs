//! Fetches data from the operator addresses of processes over HTTP.

use std::{error::Error as _, fmt, time::Duration};

use bytes::Bytes;
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

/// HTTP status of a process that does not have the requested data.
pub const NOT_FOUND: u16 = 404;

/// Sends requests to processes; a trait so that tests can replace the network.
pub trait Source {
    /// Sends `GET path` to the process at `address` and returns the body of a successful response.
    fn get<'a>(
        &'a self,
        address: &'a str,
        path: &'a str,
    ) -> LocalBoxFuture<'a, Result<Bytes, Failure>>;
}

/// Reason why a process sent no usable response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    Timeout(Duration),
    Connection(String),
    Status(u16),
    /// The body does not have the expected form.
    Body(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Timeout(after) => write!(f, "no answer within {} ms", after.as_millis()),
            Failure::Connection(cause) => write!(f, "{cause}"),
            Failure::Status(status) => write!(f, "answered with HTTP status {status}"),
            Failure::Body(cause) => write!(f, "not an operator address: {cause}"),
        }
    }
}

/// A process that sent no usable response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failed {
    pub address: String,
    pub failure: Failure,
}

/// Results of a request to several processes, in the order of their addresses.
#[derive(Clone, Debug)]
pub struct Responses<T> {
    pub received: Vec<Response<T>>,
    pub failures: Vec<Failed>,
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
            Err(failure) => responses.failures.push(Failed { address, failure }),
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
    responses.failures.extend(unnamed.into_iter().map(|response| Failed {
        address: response.address,
        failure: Failure::Body("the status names no host".to_owned()),
    }));
    responses
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|error| Failure::Body(error.to_string()))
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
        // Requests are sent without a proxy or redirects, so that each response is known to come
        // from the process at the address.
        let builder = cyper::Client::builder().no_proxy().redirect(cyper::redirect::Policy::none());
        let client = builder.build().map_err(|error| error::Error::Client(error.to_string()))?;
        Ok(Http { client, timeout })
    }

    async fn get_body(&self, address: &str, path: &str) -> Result<Bytes, Failure> {
        let request =
            self.client.get(format!("http://{address}{path}")).map_err(connection_failure)?;
        let response = request.send().await.map_err(connection_failure)?;
        let status = response.status();
        if !status.is_success() {
            return Err(Failure::Status(status.as_u16()));
        }
        response.bytes().await.map_err(connection_failure)
    }
}

impl Source for Http {
    fn get<'a>(
        &'a self,
        address: &'a str,
        path: &'a str,
    ) -> LocalBoxFuture<'a, Result<Bytes, Failure>> {
        let request = compio::time::timeout(self.timeout, self.get_body(address, path));
        request.map(|result| result.unwrap_or(Err(Failure::Timeout(self.timeout)))).boxed_local()
    }
}

/// Returns the innermost cause as text; the outer errors only say that the request failed.
fn connection_failure(error: cyper::Error) -> Failure {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = cause.to_string();
        source = cause.source();
    }
    Failure::Connection(text)
}
