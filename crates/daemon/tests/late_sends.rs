//! Requests whose connection opens after the time by which they may be sent.

use std::{
    cell::Cell,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use bytes::Bytes;
use daemon::connection::{Fault, Pool};
use http_body_util::Full;
use hyper::Request;

/// Answers requests until the connection ends, and counts them.
fn answer(mut stream: TcpStream, requests: &AtomicUsize) -> Option<()> {
    loop {
        let mut received = Vec::new();
        while !received.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).ok()?;
            received.push(byte[0]);
        }
        requests.fetch_add(1, Ordering::SeqCst);
        stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").ok()?;
    }
}

/// Starts a server and returns its address and the number of requests that it received.
fn serve() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("an address");
    let requests = Arc::new(AtomicUsize::new(0));
    let received = requests.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let received = received.clone();
            thread::spawn(move || answer(stream, &received));
        }
    });
    (address, requests)
}

fn request() -> Request<Full<Bytes>> {
    Request::builder().header("host", "h").body(Full::default()).expect("valid")
}

/// Guards against a server that comes back and gets all requests that waited for a connection to it,
/// and against connections that are closed although later requests can use them.
#[test]
fn a_request_is_not_sent_after_its_time() {
    let (address, requests) = serve();
    let runtime = compio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async {
        let pool = Pool::new(address, Duration::from_secs(5));
        let is_sent = Cell::new(false);
        // The time passes while the connection opens, and is over before the second attempt.
        for passed_checks in [1, 0] {
            let checks = Cell::new(0);
            let check = || match checks.replace(checks.get() + 1) < passed_checks {
                true => Ok(()),
                false => Err(Fault::Late),
            };
            let sent = pool.send_watched(request(), &is_sent, check).await;
            assert_eq!(sent.map(|_| ()).err(), Some(Fault::Late));
            assert!(!is_sent.get());
        }
        let sent = pool.send_watched(request(), &is_sent, || Ok(())).await;
        assert!(sent.is_ok_and(|sent| sent.is_reused));
    });
    assert_eq!(requests.load(Ordering::SeqCst), 1);
}
