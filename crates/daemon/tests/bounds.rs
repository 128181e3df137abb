//! Bounds on the memory that readers and peers can use.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use compio::{
    io::{AsyncRead, AsyncWriteExt},
    net::TcpListener,
    runtime,
};
use daemon::{error::Kind, http::Aborted, sources, stream};
use futures_util::{StreamExt, future};

/// Guards against memory that grows without bound for a reader that stands still, and against
/// a body that looks whole after parts of it were dropped.
#[test]
fn a_reader_that_stands_still_is_cut() {
    let runtime = runtime::Runtime::new().expect("the runtime starts");
    let part = Bytes::from(vec![7; 1 << 16]);
    let (sender, mut receiver) = stream::channel();
    let mut sent = 0;
    while sender.send(part.clone()) {
        sent += part.len();
        assert!(sent <= stream::MAX_UNREAD_BYTES + part.len());
    }
    // A part read makes room again.
    let read = runtime.block_on(receiver.next()).expect("a part").expect("bytes");
    assert!(sender.send(read));
    assert!(!sender.send(part.clone()));
    sender.abort();
    let rest: Vec<_> = runtime.block_on(receiver.collect());
    assert_eq!(rest.iter().flatten().map(Bytes::len).sum::<usize>(), sent);
    assert!(matches!(rest.last(), Some(Err(Aborted))), "the body ended as if whole");
}

/// Sends an answer of up to 256 MB on one connection and returns how much of it was taken.
async fn answer_at_length(listener: TcpListener) -> usize {
    let (mut connection, _) = listener.accept().await.expect("a connection");
    connection.read(Vec::with_capacity(1 << 10)).await.0.expect("a request");
    let head = "HTTP/1.1 200 OK\r\nx-consul-index: 9\r\n\r\n";
    connection.write_all(head).await.0.expect("the reader waits");
    let mut sent = 0;
    while sent < 256 << 20 && connection.write_all(vec![b' '; 1 << 20]).await.0.is_ok() {
        sent += 1 << 20;
    }
    sent
}

/// Guards against an answer of the configuration service that is read without bound while a
/// watch waits.
#[test]
fn an_endless_answer_is_cut() {
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
        let (read, sent) = future::join(watch, answer_at_length(listener)).await;
        assert_eq!(read.expect_err("the answer is too large").kind, Kind::TooLarge);
        // The bound is 64 MB; the sockets hold some more.
        assert!(sent < 128 << 20, "{sent} bytes were taken");
    });
}
