//! Datagrams between gateways.

use std::{net::SocketAddr, rc::Rc};

use compio::{net, runtime};
use futures_channel::mpsc;
use futures_util::StreamExt;
use gate::{Event, share};

use crate::gateway::Gateway;

/// Largest datagram that is read.
const MAX_BYTES: usize = 16 << 10;

/// Starts to send and receive.
pub fn start(
    gateway: &Rc<Gateway>,
    socket: Rc<net::UdpSocket>,
    messages: mpsc::UnboundedReceiver<(SocketAddr, share::Datagram)>,
) {
    runtime::spawn(send(socket.clone(), messages)).detach();
    runtime::spawn(receive(gateway.clone(), socket)).detach();
}

async fn send(
    socket: Rc<net::UdpSocket>,
    mut messages: mpsc::UnboundedReceiver<(SocketAddr, share::Datagram)>,
) {
    let mut encoded = (None, Vec::new());
    while let Some((to, datagram)) = messages.next().await {
        // One round sends the same message to every peer.
        let sequence = match &datagram {
            share::Datagram::State(message) => Some(message.sequence),
            share::Datagram::Ask(_) | share::Datagram::Answer(_) => None,
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
                let datagram = wire::frame::decode::<share::Datagram>(&buffer[..len]);
                match datagram {
                    Ok(share::Datagram::State(message)) => gateway.feed(Event::Shared(*message)),
                    Ok(share::Datagram::Ask(ask)) => gateway.feed(Event::Asked(ask)),
                    Ok(share::Datagram::Answer(answer)) => gateway.feed(Event::Answered(answer)),
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
