//! Datagrams between gateways, and answers that do not fit in one.

use std::{net::SocketAddr, rc::Rc};

use bytes::Bytes;
use compio::{net, runtime, time};
use futures_channel::mpsc;
use futures_util::{StreamExt, future::LocalBoxFuture};
use gate::{Event, message, source};
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body, header};

use crate::{
    clock,
    connection::Pool,
    error::{Error, Kind, Step},
    gateway::{CONNECT_TIMEOUT, Gateway},
    http,
};

/// Largest question over a connection, in bytes.
const MAX_ASK_BYTES: u64 = 1 << 10;

/// Type of answers over a connection.
const CONTENT_TYPE: &str = "application/msgpack";
/// Largest datagram that is read.
const MAX_BYTES: usize = 16 << 10;

/// Starts to send and receive.
pub fn start(
    gateway: &Rc<Gateway>,
    socket: Rc<net::UdpSocket>,
    messages: mpsc::UnboundedReceiver<(SocketAddr, message::Datagram)>,
) {
    runtime::spawn(send(socket.clone(), messages)).detach();
    runtime::spawn(receive(gateway.clone(), socket)).detach();
}

async fn send(
    socket: Rc<net::UdpSocket>,
    mut messages: mpsc::UnboundedReceiver<(SocketAddr, message::Datagram)>,
) {
    let mut encoded = (None, Vec::new());
    while let Some((to, datagram)) = messages.next().await {
        // One round sends the same message to every peer.
        let sequence = match &datagram {
            message::Datagram::State(message) => Some(message.sequence),
            message::Datagram::Ask(_) | message::Datagram::Answer(_) => None,
        };
        if sequence.is_none() || encoded.0 != sequence {
            encoded = (sequence, wire::frame::encode(&datagram).to_vec());
        }
        let (result, bytes) = socket.send_to(std::mem::take(&mut encoded.1), to).await.into();
        encoded.1 = bytes;
        if let Err(error) = result {
            tracing::debug!(event = "peer_send_failed", peer = %to, %error);
        }
    }
}

async fn receive(gateway: Rc<Gateway>, socket: Rc<net::UdpSocket>) {
    let mut buffer = Vec::with_capacity(MAX_BYTES);
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
                    Ok(message::Datagram::Ask(ask)) => gateway.feed(Event::QueryReceived(ask)),
                    Ok(message::Datagram::Answer(answer)) => {
                        gateway.feed(Event::ReplyReceived(answer))
                    }
                    Err(error) => tracing::warn!(event = "peer_unreadable", %from, %error),
                }
            }
            Err(error) => {
                tracing::debug!(event = "peer_receive_failed", %error);
                compio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
}

/// Answers peers that ask over a connection.
pub struct Answers {
    pub gateway: Rc<Gateway>,
}

impl http::Handler for Answers {
    fn handle(
        self: Rc<Self>,
        request: Request<body::Incoming>,
    ) -> LocalBoxFuture<'static, Response<http::Body>> {
        Box::pin(async move {
            let Ok(body) = http::read_body(request.into_body(), MAX_ASK_BYTES).await else {
                return http::empty(400);
            };
            let Ok(ask) = wire::frame::decode::<message::Query>(&body) else {
                return http::empty(400);
            };
            match self.gateway.read(|machine| machine.reply_to_fetch(clock::now(), &ask)) {
                Some(answer) => http::buffered(200, CONTENT_TYPE, wire::frame::encode(&answer)),
                None => http::empty(503),
            }
        })
    }
}

/// Asks a peer over a connection and feeds its answer.
pub async fn fetch(gateway: Rc<Gateway>, peer: SocketAddr, ask: message::Query) {
    let answer = time::timeout(source::FETCH_TIMEOUT, request(peer, &ask)).await;
    let answer =
        answer.unwrap_or_else(|_| Err(Error::with_kind(Step::Receive, peer, Kind::Timeout)));
    match answer {
        Ok(answer) => gateway.feed(Event::ReplyReceived(answer)),
        Err(error) => tracing::warn!(event = "peer_fetch_failed", %error),
    }
}

async fn request(peer: SocketAddr, ask: &message::Query) -> Result<message::Reply, Error> {
    let request = Request::post("/ask")
        .header(header::HOST, peer.to_string())
        .body(Full::new(wire::frame::encode(ask)))
        .map_err(|error| Error::new(Step::Send, peer, error))?;
    let sent = Pool::new(peer, CONNECT_TIMEOUT).send(request).await;
    let (response, _) = sent.map_err(|fault| Error::new(Step::Send, peer, format!("{fault:?}")))?;
    let status = response.status().as_u16();
    if status != 200 {
        return Err(Error::with_kind(Step::Receive, peer, Kind::Status(status)));
    }
    let body = response.into_body().collect().await;
    let body: Bytes = body.map_err(|error| Error::new(Step::Receive, peer, error))?.to_bytes();
    wire::frame::decode(&body).map_err(|error| Error::new(Step::Decode, peer, error))
}
