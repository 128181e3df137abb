//! Asks processes for their operators' data over HTTP.

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

/// Requests in progress at once; below the usual limit of 1024 open files.
const MAX_CONCURRENT: usize = 256;

/// Status that tells that a process does not hold what was asked for.
pub const NOT_FOUND: u16 = 404;

/// Where answers come from.
pub trait Source {
    /// Returns the body of a successful answer of the process at `address` to `GET path`.
    fn get<'a>(
        &'a self,
        address: &'a str,
        path: &'a str,
    ) -> LocalBoxFuture<'a, Result<Bytes, Failure>>;
}

/// Why one process gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    Timeout(Duration),
    Connection(String),
    Status(u16),
    /// The answer is not of the expected form.
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

/// A process that gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failed {
    pub address: String,
    pub failure: Failure,
}

/// What a set of processes answered, in the order in which they were given.
#[derive(Clone, Debug)]
pub struct Answers<T> {
    pub answers: Vec<Answer<T>>,
    pub failures: Vec<Failed>,
}

/// The answer of one process.
#[derive(Clone, Debug)]
pub struct Answer<T> {
    pub address: String,
    pub value: T,
}

impl<T> Answers<T> {
    /// Returns how many processes were asked.
    pub fn asked(&self) -> usize {
        self.answers.len() + self.failures.len()
    }

    /// Splits off the values; the error is set if a process did not answer.
    pub fn into_values(self) -> (Vec<T>, Option<error::Error>) {
        let asked = self.asked();
        let values = self.answers.into_iter().map(|answer| answer.value).collect();
        let failures = self.failures;
        let error = (!failures.is_empty()).then_some(error::Error::Unreachable { asked, failures });
        (values, error)
    }
}

/// Asks all processes concurrently for `path` and decodes their answers.
pub async fn ask_all<T: DeserializeOwned>(
    source: &dyn Source,
    addresses: &[String],
    path: &str,
) -> Answers<T> {
    let calls = addresses.iter().map(|address| async move {
        let result = source.get(address, path).await;
        (address.clone(), result.and_then(|body| decode(&body)))
    });
    let results: Vec<_> = stream::iter(calls).buffered(MAX_CONCURRENT).collect().await;
    let mut all = Answers { answers: Vec::new(), failures: Vec::new() };
    for (address, result) in results {
        match result {
            Ok(value) => all.answers.push(Answer { address, value }),
            Err(failure) => all.failures.push(Failed { address, failure }),
        }
    }
    all
}

/// Asks all processes concurrently for their status.
pub async fn ask_status(source: &dyn Source, addresses: &[String]) -> Answers<status::Status> {
    let mut all = ask_all::<status::Status>(source, addresses, "/status").await;
    // Every field of a status has a default, so any JSON object decodes as one.
    let (named, unnamed): (Vec<_>, Vec<_>) =
        all.answers.into_iter().partition(|answer| !answer.value.host.is_empty());
    all.answers = named;
    all.failures.extend(unnamed.into_iter().map(|answer| Failed {
        address: answer.address,
        failure: Failure::Body("the status names no host".to_owned()),
    }));
    all
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|error| Failure::Body(error.to_string()))
}

/// Asks processes over the network.
#[derive(Debug)]
pub struct Http {
    client: cyper::Client,
    timeout: Duration,
}

impl Http {
    /// Returns a source that waits for each answer for at most `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be set up.
    pub fn new(timeout: Duration) -> Result<Http, error::Error> {
        // Processes are asked directly: a proxy from the environment would hide who answered.
        let builder = cyper::Client::builder().no_proxy().redirect(cyper::redirect::Policy::none());
        let client = builder.build().map_err(|error| error::Error::Client(error.to_string()))?;
        Ok(Http { client, timeout })
    }

    async fn get_body(&self, address: &str, path: &str) -> Result<Bytes, Failure> {
        let request = self.client.get(format!("http://{address}{path}")).map_err(describe)?;
        let response = request.send().await.map_err(describe)?;
        let status = response.status();
        if !status.is_success() {
            return Err(Failure::Status(status.as_u16()));
        }
        response.bytes().await.map_err(describe)
    }
}

impl Source for Http {
    fn get<'a>(
        &'a self,
        address: &'a str,
        path: &'a str,
    ) -> LocalBoxFuture<'a, Result<Bytes, Failure>> {
        let call = compio::time::timeout(self.timeout, self.get_body(address, path));
        call.map(|result| result.unwrap_or(Err(Failure::Timeout(self.timeout)))).boxed_local()
    }
}

/// Names the innermost cause: the outer ones only say that the client failed.
fn describe(error: cyper::Error) -> Failure {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = cause.to_string();
        source = cause.source();
    }
    Failure::Connection(text)
}
