//! Bounds on the memory that slow readers and the configuration service can use.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use compio::{
    io::{AsyncRead, AsyncWriteExt},
    net::TcpListener,
    runtime,
};
use daemon::{error::Kind, http::Aborted, sources, stream};
use futures_util::{StreamExt, future};

/// Guards against memory that grows without bound for a reader that reads nothing, and against a
/// body that looks complete after parts of it were dropped.
#[test]
fn a_stalled_reader_gets_an_aborted_body() {
    let runtime = runtime::Runtime::new().expect("the runtime starts");
    let part = Bytes::from(vec![7; 1 << 16]);
    let (sender, mut receiver) = stream::channel(None);
    let mut sent = 0;
    while sender.send(part.clone()) {
        sent += part.len();
        assert!(sent <= stream::MAX_UNREAD_BYTES + part.len());
    }
    // After one part is read, another one is accepted.
    let read = runtime.block_on(receiver.next()).expect("a part").expect("bytes");
    assert!(sender.send(read));
    assert!(!sender.send(part.clone()));
    drop(sender);
    let remaining: Vec<_> = runtime.block_on(receiver.collect());
    assert_eq!(remaining.iter().flatten().map(Bytes::len).sum::<usize>(), sent);
    assert!(matches!(remaining.last(), Some(Err(Aborted))), "the body ended as if complete");
}

/// Sends a response of up to 256 MB on one connection and returns how many bytes were accepted.
async fn send_large_response(listener: TcpListener) -> usize {
    let (mut connection, _) = listener.accept().await.expect("a connection");
    connection.read(Vec::with_capacity(1 << 10)).await.0.expect("a request");
    let head = "HTTP/1.1 200 OK\r\nx-consul-index: 9\r\n\r\n";
    connection.write_all(head).await.0.expect("the client reads the response");
    let mut sent = 0;
    while sent < 256 << 20 && connection.write_all(vec![b' '; 1 << 20]).await.0.is_ok() {
        sent += 1 << 20;
    }
    sent
}

/// Guards against a response of the configuration service that is read without bound while a watch
/// waits.
#[test]
fn an_oversized_response_is_rejected() {
    let runtime = runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any).await.expect("loopback has free ports");
        let address = listener.local_addr().expect("a bound listener has an address");
        let text = format!(
            "[process]\nrole = entry\nhost = e\navailability_zone = z\n[listen]\n\
             callers = 127.0.0.1:1\npeers = 127.0.0.1:2\noperators = 127.0.0.1:3\n[platform]\n\
             configuration = http://{address}\nhosts = http://{address}/hosts\n"
        );
        let process = conf::process::parse("e.ini", &text).expect("valid settings");
        let client = sources::Client::new(&process);
        let watch = client.read_branches(Some(1), Duration::from_secs(60));
        let (read, sent) = future::join(watch, send_large_response(listener)).await;
        assert_eq!(read.expect_err("the response is too large").kind, Kind::TooLarge);
        // The bound is 64 MB; socket buffers contain some more.
        assert!(sent < 128 << 20, "{sent} bytes were accepted");
    });
}
