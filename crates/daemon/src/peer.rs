//! Client of the protocol between processes of the system.

use std::{cell::RefCell, collections::HashMap, fmt, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use compio::time;
use futures_util::{Stream, StreamExt};
use http_body_util::{BodyExt, Full};
use hyper::{Request, header};
use serde::{Serialize, de::DeserializeOwned};
use wire::{Frame, frame, grant};

use crate::{
    caller::{Caller, Hold},
    connection::{Pool, Sent},
    error::{Error, Kind, Step},
    http,
};

/// Content type of messages between processes.
pub const CONTENT_TYPE: &str = "application/msgpack";
/// Header with the address at which the sender serves other processes.
pub const FROM: &str = "x-peer";
/// Timeout of a short exchange.
pub const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest reply to a message about one request, in bytes.
pub const MAX_SHORT_REPLY_BYTES: usize = 64 << 10;
/// Time to connect to a process. A lost packet is sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle time after which a connection is not used again. Processes close theirs later.
const MAX_IDLE: Duration = Duration::from_secs(30);

/// Sends messages to other processes of the system.
#[derive(Clone)]
pub struct Client {
    /// Connections to the processes that messages were sent to.
    pools: Rc<RefCell<HashMap<SocketAddr, Pool>>>,
    from: SocketAddr,
}

impl Client {
    /// Returns a client that names `from` as the sender.
    pub fn new(from: SocketAddr) -> Client {
        Client { pools: Rc::default(), from }
    }

    /// Sends a message and returns the reply of at most `most` bytes. `limit` is the time up to its
    /// head.
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
        most: usize,
    ) -> Result<T, Error> {
        let sent = time::timeout(limit, self.post(peer, path, frame::encode(message))).await;
        let sent = sent.map_err(|_| Error::with_kind(Step::Receive, peer, Kind::Timeout))?;
        let Sent { response, sender, .. } = sent?;
        let parts = response.into_body().into_data_stream();
        let bytes = http::transfer(parts, most).await;
        let bytes = bytes.map_err(|error| error.at(peer))?;
        self.pool(peer).release(sender, MAX_IDLE);
        frame::decode(&bytes).map_err(|e| Error::new(Step::Decode, peer, e))
    }

    /// Sends a commit with the request body and returns the frames of the response. What is kept of a
    /// frame that is not complete is taken for `caller`, if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream could not be opened.
    pub async fn commit(
        &self,
        peer: SocketAddr,
        commit: &grant::Commit,
        body: &Bytes,
        caller: Option<Caller>,
    ) -> Result<impl Stream<Item = Result<Frame, Error>> + use<>, Error> {
        let mut message = frame::encode_delimited(commit).to_vec();
        message.extend_from_slice(body);
        self.open_stream(peer, "/grant", message.into(), caller).await
    }

    /// Attaches to a granted request and returns the frames of the response, as [`Client::commit`]
    /// does.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream could not be opened.
    pub async fn attach(
        &self,
        peer: SocketAddr,
        attach: &grant::Attach,
        caller: Option<Caller>,
    ) -> Result<impl Stream<Item = Result<Frame, Error>> + use<>, Error> {
        self.open_stream(peer, "/attach", frame::encode(attach), caller).await
    }

    async fn open_stream(
        &self,
        peer: SocketAddr,
        path: &str,
        message: Bytes,
        caller: Option<Caller>,
    ) -> Result<impl Stream<Item = Result<Frame, Error>> + use<>, Error> {
        let Sent { response, sender, .. } = self.post(peer, path, message).await?;
        let mut reader = frame::Reader::default();
        let mut hold = caller.map(Hold::new);
        let parts = response.into_body().into_data_stream();
        Ok(parts.flat_map(move |part| {
            // The connection is used for this response alone.
            let _ = &sender;
            let mut frames = read_frames(&mut reader, peer, part);
            if hold.as_mut().is_some_and(|hold| hold.set(reader.buffered()).is_err()) {
                frames.push(Err(Error::with_kind(Step::Receive, peer, Kind::TooLarge)));
            }
            futures_util::stream::iter(frames)
        }))
    }

    /// Returns the connections to a process. Those to processes without an idle one are left out,
    /// since hosts are replaced.
    fn pool(&self, peer: SocketAddr) -> Pool {
        let mut pools = self.pools.borrow_mut();
        if !pools.contains_key(&peer) {
            pools.retain(|_, pool| pool.has_idle());
        }
        pools.entry(peer).or_insert_with(|| Pool::new(peer, CONNECT_TIMEOUT)).clone()
    }

    async fn post(&self, peer: SocketAddr, path: &str, message: Bytes) -> Result<Sent, Error> {
        let request = Request::post(path)
            .header(header::HOST, peer.to_string())
            .header(header::CONTENT_TYPE, CONTENT_TYPE)
            .header(FROM, self.from.to_string())
            .body(Full::new(message))
            .map_err(|error| Error::new(Step::Send, peer, error))?;
        let sent = self.pool(peer).send(request).await;
        let sent = sent.map_err(|fault| Error::new(Step::Send, peer, format!("{fault:?}")))?;
        match sent.response.status().as_u16() {
            200 => Ok(sent),
            status => Err(Error::with_kind(Step::Receive, peer, Kind::Status(status))),
        }
    }
}

fn read_frames(
    reader: &mut frame::Reader,
    peer: SocketAddr,
    part: Result<Bytes, impl fmt::Display>,
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
