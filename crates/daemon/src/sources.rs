//! Client of the platform's configuration service and host list.

use std::{net::SocketAddr, time::Duration};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Uri, header};
use serde::Deserialize;
use serde_json::value::RawValue;
use wire::sync;

use crate::{
    connection::{Pool, Sent},
    error::{Error, Kind, Step},
    http,
};

/// Time to connect to a service. A lost packet is sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle time after which a connection is not used again. Services close theirs after some seconds.
const MAX_IDLE: Duration = Duration::from_secs(5);
/// Port of a URL that names none.
const DEFAULT_PORT: u16 = 80;
/// Time for the head of the response to a read that does not wait for a change.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Upper bound of one response, which can contain the whole tree in base64: as much as eleven branches
/// of the largest size.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Client of the platform's services, which it only reads.
#[derive(Clone)]
pub struct Client {
    configuration: Service,
    prefix: String,
    hosts: Service,
}

/// One of the services.
#[derive(Clone)]
struct Service {
    pool: Pool,
    /// Path of its URL.
    path: String,
}

impl Service {
    /// Returns the service at a URL.
    ///
    /// # Panics
    ///
    /// Panics if the URL has no address, which the settings don't allow.
    fn new(url: &str) -> Service {
        let uri: Uri = url.parse().expect("the settings have valid URLs");
        let authority = uri.authority().expect("the settings have URLs with an address");
        let host = authority.host().trim_matches(['[', ']']);
        let ip = host.parse().expect("the settings have URLs with an address");
        let address = SocketAddr::new(ip, authority.port_u16().unwrap_or(DEFAULT_PORT));
        let path = uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        Service { pool: Pool::new(address, CONNECT_TIMEOUT), path }
    }

    /// Returns the body of the response to a read and the value of Consul's index header, or 0 without
    /// the header. `limit` is the time up to the head of the response.
    async fn get(&self, path: &str, limit: Duration) -> Result<(Bytes, u64), Error> {
        let address = self.pool.address();
        let request = Request::get(path)
            .header(header::HOST, address.to_string())
            .body(Full::new(Bytes::new()))
            .map_err(|error| Error::new(Step::Send, address, error))?;
        let Sent { response, sender, .. } = self.pool.call(request, limit).await?;
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
            _ => return Err(Error::with_kind(Step::Receive, address, Kind::Status(status))),
        }
        let body =
            http::transfer(response.into_body().into_data_stream(), MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| error.at(address))?;
        self.pool.release(sender, MAX_IDLE);
        Ok((body, index))
    }
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
    /// Panics if a URL has no address, which the settings don't allow.
    pub fn new(process: &conf::process::Settings) -> Client {
        Client {
            configuration: Service::new(&process.configuration),
            prefix: process.prefix.trim_matches('/').into(),
            hosts: Service::new(&process.hosts),
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
        let base = self.configuration.path.trim_end_matches('/');
        let mut path = format!("{base}/v1/kv/{}/?recurse=true", self.prefix);
        let mut limit = READ_TIMEOUT;
        if let Some(index) = index {
            path.push_str(&format!("&index={index}&wait={}ms", wait.as_millis()));
            limit += wait;
        }
        let (bytes, index) = self.configuration.get(&path, limit).await?;
        let pairs: Vec<Pair> =
            serde_json::from_slice(&bytes).map_err(|e| Error::new(Step::Decode, &path, e))?;
        let branches = pairs
            .into_iter()
            .map(|pair| self.decode_branch(pair))
            .collect::<Result<_, _>>()
            .map_err(|e| Error::new(Step::Decode, &path, e))?;
        Ok((branches, index))
    }

    /// Reads the host list.
    ///
    /// # Errors
    ///
    /// Returns an error with the step and the URL.
    pub async fn read_hosts(&self) -> Result<(u64, Bytes), Error> {
        let (bytes, _) = self.hosts.get(&self.hosts.path, READ_TIMEOUT).await?;
        let decode = |e| Error::new(Step::Decode, &self.hosts.path, e);
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
}
