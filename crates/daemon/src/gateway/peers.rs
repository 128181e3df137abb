//! Datagrams between gateways, and queries over HTTP whose replies do not fit in a datagram.

use std::{fmt, net::SocketAddr, rc::Rc, time::Duration};

use compio::{net, runtime, time};
use futures_channel::mpsc;
use futures_util::{StreamExt, future::LocalBoxFuture};
use gate::{Event, message, source};
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, Response, body, header};

use crate::{
    caller::Caller,
    clock,
    connection::Pool,
    error::{Error, Kind, Step},
    gateway::{CONNECT_TIMEOUT, Gateway, delta},
    http,
};

/// Largest query over HTTP, in bytes.
const MAX_QUERY_BYTES: u64 = 1 << 10;

/// Time for the head of a reply over HTTP.
const HEAD_TIMEOUT: Duration = Duration::from_millis(1000);
/// Largest reply over HTTP, in bytes: the entries of one and their encoding.
const MAX_REPLY_BYTES: usize = 2 * source::MAX_FETCHED_BYTES;

/// Content type of replies over HTTP as they are in datagrams.
const CONTENT_TYPE: &str = "application/msgpack";
/// Content type of replies whose large values are compressed, for peers that accept it.
const DELTA_CONTENT_TYPE: &str = "application/x-quincespoke-delta";
/// Status for a peer that had better ask another gateway, since this one's link is taken.
const BUSY_STATUS: u16 = 503;
/// Header with the hashes of the values that a compressed reply may refer to.
const KNOWN_VALUES: &str = "x-known-values";
/// Size of the receive buffer; longer datagrams are truncated.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;

/// Starts the tasks that send and receive datagrams.
pub fn start(
    gateway: &Rc<Gateway>,
    socket: Rc<net::UdpSocket>,
    datagrams: mpsc::UnboundedReceiver<(SocketAddr, message::Datagram)>,
) {
    runtime::spawn(send(socket.clone(), datagrams)).detach();
    runtime::spawn(receive(gateway.clone(), socket)).detach();
}

async fn send(
    socket: Rc<net::UdpSocket>,
    mut datagrams: mpsc::UnboundedReceiver<(SocketAddr, message::Datagram)>,
) {
    let mut last = None;
    let mut encoded = Vec::new();
    while let Some((to, datagram)) = datagrams.next().await {
        // The same datagram is sent to every peer in turn and encoded only once.
        if !last.as_ref().is_some_and(|last| is_same(last, &datagram)) {
            encoded = wire::frame::encode(&datagram).to_vec();
            last = Some(datagram);
        }
        let (result, bytes) = socket.send_to(std::mem::take(&mut encoded), to).await.into();
        encoded = bytes;
        if let Err(error) = result {
            tracing::debug!(event = "peer_send_failed", peer = %to, %error);
        }
    }
}

/// Returns whether two datagrams have the same content. Queries and replies are sent once each.
fn is_same(a: &message::Datagram, b: &message::Datagram) -> bool {
    use message::Datagram;

    match (a, b) {
        (Datagram::State(a), Datagram::State(b)) => a.sequence == b.sequence,
        (Datagram::Loads(a), Datagram::Loads(b)) => a.sequence == b.sequence,
        (Datagram::PlainLoads(a), Datagram::PlainLoads(b)) => a.loads.sequence == b.loads.sequence,
        (Datagram::Suspects(a), Datagram::Suspects(b)) => a == b,
        (Datagram::RateLimits(a), Datagram::RateLimits(b)) => a == b,
        (Datagram::WarmUps(a), Datagram::WarmUps(b)) => a == b,
        _ => false,
    }
}

async fn receive(gateway: Rc<Gateway>, socket: Rc<net::UdpSocket>) {
    let mut buffer = Vec::with_capacity(RECEIVE_BUFFER_BYTES);
    loop {
        buffer.clear();
        let (result, filled) = socket.recv_from(buffer).await.into();
        buffer = filled;
        match result {
            Ok((len, from)) => {
                let datagram = wire::frame::decode::<message::Datagram>(&buffer[..len]);
                match datagram {
                    Ok(message::Datagram::State(message)) => {
                        gateway.feed(Event::StateReceived(*message))
                    }
                    Ok(message::Datagram::Loads(loads)) => {
                        gateway.feed(Event::LoadsReceived(loads))
                    }
                    Ok(message::Datagram::PlainLoads(loads)) => {
                        gateway.feed(Event::PlainLoadsReceived(loads))
                    }
                    Ok(message::Datagram::Query(query)) => {
                        gateway.feed(Event::QueryReceived(query))
                    }
                    Ok(message::Datagram::Reply(reply)) => {
                        gateway.feed(Event::ReplyReceived(reply))
                    }
                    Ok(message::Datagram::Suspects(reports)) => {
                        gateway.feed(Event::SuspectsReceived(reports))
                    }
                    Ok(message::Datagram::RateLimits(reports)) => {
                        gateway.feed(Event::RateLimitsReceived(reports))
                    }
                    Ok(message::Datagram::WarmUps(reports)) => {
                        gateway.feed(Event::WarmUpsReceived(reports))
                    }
                    Ok(message::Datagram::Demands(demands)) => {
                        gateway.feed(Event::DemandsReceived(demands))
                    }
                    Ok(message::Datagram::Permits(permits)) => {
                        gateway.feed(Event::PermitsReceived(permits))
                    }
                    Ok(message::Datagram::Streams(reports)) => {
                        gateway.feed(Event::StreamsReceived(reports))
                    }
                    Ok(message::Datagram::StreamQuery(query)) => {
                        gateway.feed(Event::StreamQueryReceived(query))
                    }
                    Ok(message::Datagram::Announcement(announcement)) => {
                        gateway.feed(Event::AnnouncementReceived(announcement))
                    }
                    Err(error) => tracing::warn!(event = "peer_unreadable", %from, %error),
                }
            }
            Err(error) => {
                tracing::debug!(event = "peer_receive_failed", %error);
                time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Replies to peers' queries over HTTP.
pub struct QueryHandler {
    pub gateway: Rc<Gateway>,
}

impl http::Handler for QueryHandler {
    fn handle(
        self: Rc<Self>,
        request: Request<body::Incoming>,
        caller: Caller,
    ) -> LocalBoxFuture<'static, Response<http::Body>> {
        Box::pin(async move {
            let known_values = parse_known_values(request.headers());
            let Ok(body) = http::read_body(request.into_body(), MAX_QUERY_BYTES, &caller).await
            else {
                return http::empty(400);
            };
            let Ok(query) = wire::frame::decode::<message::Query>(&body) else {
                return http::empty(400);
            };
            let reply = self.gateway.read(|machine| machine.reply_to_fetch(clock::now(), &query));
            let Some(reply) = reply else { return http::empty(503) };
            let (content_type, encoded) = match known_values {
                Some(known) => match self.gateway.values.encode(reply, &known) {
                    Ok(encoded) => (DELTA_CONTENT_TYPE, encoded),
                    Err(error) => {
                        tracing::error!(event = "compression_failed", %error);
                        return http::empty(500);
                    }
                },
                None => (CONTENT_TYPE, wire::frame::encode(&reply)),
            };
            match self.gateway.uplink.borrow_mut().begin(clock::now(), encoded.len()) {
                Some(_) => http::buffered(200, content_type, encoded),
                None => http::empty(BUSY_STATUS),
            }
        })
    }
}

/// Returns the hashes of the values that the sender of a query keeps; `None` if it doesn't accept
/// replies with compressed values.
fn parse_known_values(headers: &HeaderMap) -> Option<Vec<u64>> {
    let accepted = headers.get(header::ACCEPT).is_some_and(|value| value == DELTA_CONTENT_TYPE);
    let hashes = headers.get(KNOWN_VALUES).and_then(|value| value.to_str().ok());
    let hashes = hashes.unwrap_or_default().split(',');
    let hashes = hashes.filter_map(|hash| u64::from_str_radix(hash, 16).ok());
    accepted.then(|| hashes.collect())
}

/// Sends a query to a peer over HTTP and passes the result to the machine.
pub async fn fetch(gateway: Rc<Gateway>, peer: SocketAddr, query: message::Query) {
    let began = clock::now();
    match send_query(&gateway.values, peer, &query).await {
        Ok((reply, bytes)) => {
            let took_ms = clock::now().since(began).as_millis() as u64;
            tracing::info!(event = "peer_fetched", %peer, bytes, took_ms);
            gateway.metrics.count_read_bytes("peer", bytes);
            gateway.feed(Event::ReplyReceived(reply));
        }
        Err(error) => {
            tracing::warn!(event = "peer_fetch_failed", %error);
            gateway.feed(Event::FetchFailed { token: query.token });
        }
    }
}

/// Returns the reply and its size in bytes.
async fn send_query(
    values: &delta::Values,
    peer: SocketAddr,
    query: &message::Query,
) -> Result<(message::Reply, usize), Error> {
    let hashes: Vec<String> = values.hashes().iter().map(|hash| format!("{hash:x}")).collect();
    let request = Request::post("/ask")
        .header(header::HOST, peer.to_string())
        .header(header::ACCEPT, DELTA_CONTENT_TYPE)
        .header(KNOWN_VALUES, hashes.join(","))
        .body(Full::new(wire::frame::encode(query)))
        .map_err(|error| Error::new(Step::Send, peer, error))?;
    let sent = Pool::new(peer, CONNECT_TIMEOUT).call(request, HEAD_TIMEOUT).await?;
    let response = sent.response;
    let status = response.status().as_u16();
    if status != 200 {
        return Err(Error::with_kind(Step::Receive, peer, Kind::Status(status)));
    }
    let content_type = response.headers().get(header::CONTENT_TYPE);
    let is_delta = content_type.is_some_and(|value| value == DELTA_CONTENT_TYPE);
    let parts = response.into_body().into_data_stream();
    let body = http::transfer(parts, MAX_REPLY_BYTES).await;
    let body = body.map_err(|error| error.at(peer))?;
    let decode_error = |error: &dyn fmt::Display| Error::new(Step::Decode, peer, error);
    let reply = match is_delta {
        true => values.decode(&body).map_err(|error| decode_error(&error))?,
        false => wire::frame::decode(&body).map_err(|error| decode_error(&error))?,
    };
    Ok((reply, body.len()))
}
