//! Client of the protocol between processes of the system.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use compio::time;
use futures_util::{Stream, StreamExt};
use serde::{Serialize, de::DeserializeOwned};
use wire::{Frame, frame, grant};

use crate::{
    error::{Error, Kind, Step},
    http,
};

/// Content type of messages between processes.
pub const CONTENT_TYPE: &str = "application/msgpack";
/// Header with the address at which the sender serves other processes.
pub const FROM: &str = "x-peer";
/// Timeout of a short exchange.
pub const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends messages to other processes of the system.
#[derive(Clone)]
pub struct Client {
    http: cyper::Client,
    from: SocketAddr,
}

impl Client {
    /// Returns a client that names `from` as the sender.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP client can't be built, which happens only with TLS.
    pub fn new(from: SocketAddr) -> Client {
        let http = cyper::Client::builder().no_proxy().build().expect("client without TLS");
        Client { http, from }
    }

    /// Sends a message and returns the reply. `limit` is the time up to its head.
    ///
    /// # Errors
    ///
    /// Returns an error with the step and the peer.
    pub async fn exchange<T: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &impl Serialize,
        limit: Duration,
    ) -> Result<T, Error> {
        let response = time::timeout(limit, self.post(peer, path, frame::encode(message))).await;
        let response =
            response.map_err(|_| Error::with_kind(Step::Receive, peer, Kind::Timeout))?;
        let parts = response?.bytes_stream();
        let bytes = http::transfer(parts, frame::MAX_MESSAGE_BYTES).await;
        let bytes = bytes.map_err(|error| error.at(peer))?;
        frame::decode(&bytes).map_err(|e| Error::new(Step::Decode, peer, e))
    }

    /// Sends a commit with the request body and returns the frames of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream could not be opened.
    pub async fn commit(
        &self,
        peer: SocketAddr,
        commit: &grant::Commit,
        body: &Bytes,
    ) -> Result<impl Stream<Item = Result<Frame, Error>> + use<>, Error> {
        let mut message = frame::encode_delimited(commit).to_vec();
        message.extend_from_slice(body);
        self.open_stream(peer, "/grant", message.into()).await
    }

    /// Attaches to a granted request and returns the frames of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream could not be opened.
    pub async fn attach(
        &self,
        peer: SocketAddr,
        attach: &grant::Attach,
    ) -> Result<impl Stream<Item = Result<Frame, Error>> + use<>, Error> {
        self.open_stream(peer, "/attach", frame::encode(attach)).await
    }

    async fn open_stream(
        &self,
        peer: SocketAddr,
        path: &str,
        message: Bytes,
    ) -> Result<impl Stream<Item = Result<Frame, Error>> + use<>, Error> {
        let response = self.post(peer, path, message).await?;
        let mut reader = frame::Reader::default();
        let frames = response
            .bytes_stream()
            .flat_map(move |part| futures_util::stream::iter(read_frames(&mut reader, peer, part)));
        Ok(frames)
    }

    async fn post(
        &self,
        peer: SocketAddr,
        path: &str,
        message: Bytes,
    ) -> Result<cyper::Response, Error> {
        let error = |e: cyper::Error| Error::new(Step::Send, peer, e);
        let response = self
            .http
            .post(format!("http://{peer}{path}"))
            .and_then(|request| request.header("content-type", CONTENT_TYPE))
            .and_then(|request| request.header(FROM, self.from.to_string()))
            .map_err(error)?
            .body(message)
            .send()
            .await
            .map_err(error)?;
        match response.status().as_u16() {
            200 => Ok(response),
            status => Err(Error::with_kind(Step::Receive, peer, Kind::Status(status))),
        }
    }
}

fn read_frames(
    reader: &mut frame::Reader,
    peer: SocketAddr,
    part: Result<Bytes, cyper::Error>,
) -> Vec<Result<Frame, Error>> {
    let part = match part {
        Ok(part) => part,
        Err(e) => return vec![Err(Error::new(Step::Receive, peer, e))],
    };
    reader.push(&part);
    let mut frames = Vec::new();
    loop {
        match reader.read() {
            Ok(Some(frame)) => frames.push(Ok(frame)),
            Ok(None) => return frames,
            Err(e) => {
                frames.push(Err(Error::new(Step::Decode, peer, e)));
                return frames;
            }
        }
    }
}
