//! Responses of the configuration service, and of other processes, that arrive slowly.

use std::{net::SocketAddr, time::Duration};

use base64::{Engine, engine::general_purpose::STANDARD};
use compio::{
    io::{AsyncRead, AsyncWriteExt},
    net::TcpListener,
    runtime, time,
};
use daemon::{peer, sources};
use futures_util::future;
use wire::frame;

/// Blocks in which a response is sent, and the time between them.
const BLOCKS: usize = 30;
const PAUSE: Duration = Duration::from_millis(100);

/// Starts a listener.
async fn listen() -> (TcpListener, SocketAddr) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.expect("loopback has free ports");
    let address = listener.local_addr().expect("a bound listener has an address");
    (listener, address)
}

/// Sends a response on one connection, for longer than any time limit on a short one.
async fn send_slowly(listener: TcpListener, headers: &str, body: &[u8]) {
    let (mut connection, _) = listener.accept().await.expect("a connection");
    connection.read(Vec::with_capacity(1 << 10)).await.0.expect("a request");
    let head = format!("HTTP/1.1 200 OK\r\n{headers}content-length: {}\r\n\r\n", body.len());
    connection.write_all(head).await.0.expect("the client reads the response");
    for block in body.chunks(body.len().div_ceil(BLOCKS)) {
        time::sleep(PAUSE).await;
        if connection.write_all(block.to_vec()).await.0.is_err() {
            return;
        }
    }
}

/// Guards against settings that never arrive, since a read is dropped and begun anew when it takes
/// longer than its time limit.
#[test]
fn settings_that_arrive_slowly_are_read() {
    let runtime = runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let (listener, address) = listen().await;
        let text = format!(
            "[process]\nrole = entry\nhost = e\navailability_zone = z\n[listen]\n\
             callers = 127.0.0.1:1\npeers = 127.0.0.1:2\noperators = 127.0.0.1:3\n[platform]\n\
             configuration = http://{address}\nhosts = http://{address}/hosts\n"
        );
        let process = conf::process::parse("e.ini", &text).expect("valid settings");
        let client = sources::Client::new(&process);
        let branch = STANDARD.encode("x".repeat(300_000));
        let key = format!("{}/auction/routes", process.prefix.trim_matches('/'));
        let body = format!(r#"[{{"Key":"{key}","Value":"{branch}","ModifyIndex":3}}]"#);
        let sent = send_slowly(listener, "x-consul-index: 9\r\n", body.as_bytes());
        let read = client.read_branches(None, Duration::ZERO);
        let (read, ()) = future::join(read, sent).await;
        let (branches, index) = read.expect("the settings");
        assert_eq!((branches.len(), branches[0].text.len(), index), (1, 300_000, 9));
    });
}

/// Guards against the same for settings that another process sends.
#[test]
fn a_reply_of_another_process_that_arrives_slowly_is_read() {
    let runtime = runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let (listener, address) = listen().await;
        let body = frame::encode(&"x".repeat(300_000));
        let sent = send_slowly(listener, "", &body);
        let client = peer::Client::new(address);
        let (limit, most) = (peer::EXCHANGE_TIMEOUT, frame::MAX_MESSAGE_BYTES);
        let reply = client.exchange::<String>(address, "/sync", &"digest", limit, most);
        let (reply, ()) = future::join(reply, sent).await;
        assert_eq!(reply.expect("a reply").len(), 300_000);
    });
}
