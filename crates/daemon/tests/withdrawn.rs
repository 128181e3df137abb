//! Requests that are no longer to be sent once there is a connection.

use std::{
    cell::Cell,
    io::{Read, Write},
    net::TcpListener,
    thread,
    time::Duration,
};

use bytes::Bytes;
use daemon::connection::{Fault, Pool, Sender};
use http_body_util::{BodyExt, Full};
use hyper::Request;

const TIMEOUT: Duration = Duration::from_secs(30);

fn request() -> Request<Full<Bytes>> {
    Request::builder().uri("/x").header("host", "h").body(Full::default()).expect("valid")
}

/// Sends a request that is answered, and returns its connection.
async fn exchange(pool: &Pool) -> Sender {
    let sent = pool.send(request()).await.expect("answered");
    sent.response.into_body().collect().await.expect("a body");
    sent.sender
}

/// Guards against a request that is written to a connection which opens, or is taken from the pool,
/// after its server's zone was evacuated.
#[test]
fn a_request_is_not_written_once_it_may_not_be_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let server = thread::spawn(move || {
        let (mut first, _) = listener.accept().expect("a connection");
        let mut buffer = [0; 1024];
        assert!(first.read(&mut buffer).expect("a request") > 0);
        first.write_all(b"HTTP/1.1 200 X\r\ncontent-length: 0\r\n\r\n").expect("sent");
        let rest = first.read(&mut buffer).unwrap_or(0);
        drop(first);
        let (mut second, _) = listener.accept().expect("a connection");
        rest + second.read(&mut buffer).unwrap_or(0)
    });
    let runtime = compio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async {
        let pool = Pool::new(address, TIMEOUT);
        let sender = exchange(&pool).await;
        pool.release(sender, TIMEOUT);
        let is_sent = Cell::new(false);
        let result = pool.send_watched(request(), &is_sent, || Err(Fault::Withdrawn)).await;
        assert_eq!(result.err(), Some(Fault::Withdrawn), "an idle connection");
        assert!(!is_sent.get());
        drop(pool);
        // The first check passes, and the connection opens after that.
        let checks = Cell::new(0);
        let check = || match checks.replace(checks.get() + 1) {
            0 => Ok(()),
            _ => Err(Fault::Withdrawn),
        };
        let pool = Pool::new(address, TIMEOUT);
        let result = pool.send_watched(request(), &is_sent, check).await;
        assert_eq!(result.err(), Some(Fault::Withdrawn), "a new connection");
        assert!(!is_sent.get());
        assert_eq!(checks.get(), 2);
    });
    drop(runtime);
    assert_eq!(server.join().expect("the server"), 0, "bytes of withdrawn requests");
}
