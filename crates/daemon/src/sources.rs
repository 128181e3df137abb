//! Client of the platform's configuration service and host list.

use std::time::Duration;

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use compio::time;
use serde::Deserialize;
use serde_json::value::RawValue;
use wire::sync;

use crate::{
    error::{Error, Kind, Step},
    http,
};

/// Time for the head of the response to a read that does not wait for a change.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Upper bound of one response, which can contain the whole tree in base64.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Client of the platform's services, which it only reads.
#[derive(Clone)]
pub struct Client {
    http: cyper::Client,
    configuration_url: String,
    prefix: String,
    hosts_url: String,
}

/// One key of the configuration service, as Consul's KV API returns it.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Pair {
    key: String,
    value: Option<String>,
    modify_index: u64,
}

/// The host list. The text of the records is passed on without decoding it.
#[derive(Debug, Deserialize)]
struct List<'a> {
    revision: u64,
    #[serde(borrow)]
    hosts: &'a RawValue,
}

impl Client {
    /// Returns a client for the URLs in the process settings.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP client can't be built, which happens only with TLS.
    pub fn new(process: &conf::process::Settings) -> Client {
        let http = cyper::Client::builder().no_proxy().build().expect("client without TLS");
        Client {
            http,
            configuration_url: process.configuration.trim_end_matches('/').into(),
            prefix: process.prefix.trim_matches('/').into(),
            hosts_url: process.hosts.clone(),
        }
    }

    /// Reads all branches. With `index`, waits up to `wait` for a change after that index.
    ///
    /// # Errors
    ///
    /// Returns an error with the step and the URL.
    pub async fn read_branches(
        &self,
        index: Option<u64>,
        wait: Duration,
    ) -> Result<(Vec<sync::Branch>, u64), Error> {
        let mut url = format!("{}/v1/kv/{}/?recurse=true", self.configuration_url, self.prefix);
        let mut limit = READ_TIMEOUT;
        if let Some(index) = index {
            url.push_str(&format!("&index={index}&wait={}ms", wait.as_millis()));
            limit += wait;
        }
        let (bytes, index) = self.get(&url, limit).await?;
        let pairs: Vec<Pair> =
            serde_json::from_slice(&bytes).map_err(|e| Error::new(Step::Decode, &url, e))?;
        let branches = pairs
            .into_iter()
            .map(|pair| self.decode_branch(pair))
            .collect::<Result<_, _>>()
            .map_err(|e| Error::new(Step::Decode, &url, e))?;
        Ok((branches, index))
    }

    /// Reads the host list.
    ///
    /// # Errors
    ///
    /// Returns an error with the step and the URL.
    pub async fn read_hosts(&self) -> Result<(u64, Bytes), Error> {
        let (bytes, _) = self.get(&self.hosts_url, READ_TIMEOUT).await?;
        let decode = |e| Error::new(Step::Decode, &self.hosts_url, e);
        let list: List<'_> = serde_json::from_slice(&bytes).map_err(decode)?;
        Ok((list.revision, Bytes::copy_from_slice(list.hosts.get().as_bytes())))
    }

    fn decode_branch(&self, pair: Pair) -> Result<sync::Branch, base64::DecodeError> {
        let name = pair.key.strip_prefix(&self.prefix).unwrap_or(&pair.key);
        let text = STANDARD.decode(pair.value.unwrap_or_default())?;
        Ok(sync::Branch {
            name: Bytes::copy_from_slice(name.trim_matches('/').as_bytes()),
            revision: pair.modify_index,
            text: text.into(),
        })
    }

    /// Returns the body and the value of Consul's index header, or 0 without the header. `limit` is the
    /// time up to the head of the response.
    async fn get(&self, url: &str, limit: Duration) -> Result<(Bytes, u64), Error> {
        let send = |e: cyper::Error| Error::new(Step::Send, url, e);
        let response = time::timeout(limit, self.http.get(url).map_err(send)?.send()).await;
        let response = response.map_err(|_| Error::with_kind(Step::Receive, url, Kind::Timeout))?;
        let response = response.map_err(send)?;
        let status = response.status().as_u16();
        let index = response
            .headers()
            .get("x-consul-index")
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .unwrap_or(0);
        match status {
            200 => {}
            // Consul returns 404 if no key has the prefix.
            404 if index > 0 => return Ok((Bytes::from_static(b"[]"), index)),
            _ => return Err(Error::with_kind(Step::Receive, url, Kind::Status(status))),
        }
        let body = http::transfer(response.bytes_stream(), MAX_RESPONSE_BYTES).await;
        Ok((body.map_err(|error| error.at(url))?, index))
    }
}
