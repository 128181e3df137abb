//! Tests of the fault-injecting proxy, with a plain service behind it.

mod common;

use common::{any_port, read, run, send};
use futures_util::future::join;
use hyper::Method;
use stand::{
    proxy::{self, Direction, Faults, Proxy},
    service::{self, Service},
};

fn start() -> (Service, Proxy) {
    let service = service::spawn(any_port(), service::Settings::default()).expect("a port");
    let proxy = proxy::spawn(any_port(), service.address()).expect("a port");
    (service, proxy)
}

/// Makes round trips to the service, enough for bytes in the proxy to arrive unless the proxy
/// holds them.
async fn wait_round_trips(service: &Service) {
    for _ in 0..20 {
        read(service.address(), "/health").await.expect("a response");
    }
}

/// Guards against a proxy that changes bytes, and against cuts and refusals without effect on
/// the caller's connection.
#[test]
fn callers_see_cuts_and_refusals() {
    run(async {
        let (service, proxy) = start();
        let direct = read(service.address(), "/a").await.expect("a response");
        assert_eq!(read(proxy.address(), "/a").await.expect("a response"), direct);
        proxy.set(Faults { cut_after: Some(150), ..Faults::default() });
        assert!(read(proxy.address(), "/a").await.is_err());
        proxy.set(Faults { refuse: true, ..Faults::default() });
        while compio::net::TcpStream::connect(proxy.address()).await.is_ok() {}
        proxy.set(Faults { delay_ms: 1, ..Faults::default() });
        while read(proxy.address(), "/a").await.is_err() {}
    });
}

/// Guards against a cut that leaves a connection open, and against a frozen proxy that forwards
/// bytes or discards them.
#[test]
fn frozen_bytes_are_held() {
    run(async {
        let (service, proxy) = start();
        let address = proxy.address();
        proxy.set(Faults { freeze: true, ..Faults::default() });
        let send_held = || compio::runtime::spawn(async move { read(address, "/held").await });
        let first = send_held();
        wait_round_trips(&service).await;
        assert!(!first.is_finished());
        assert_eq!(service.record(), []);
        proxy.set(Faults::default());
        first.await.expect("the request returns").expect("a response");
        assert_eq!(service.record().len(), 1);
        // The cut ends a request whose response is dropped.
        proxy.set(Faults { drop: Some(Direction::ToClient), ..Faults::default() });
        let request = send_held();
        while service.record().len() < 2 {
            wait_round_trips(&service).await;
        }
        wait_round_trips(&service).await;
        assert!(!request.is_finished());
        proxy.cut();
        assert!(request.await.expect("the request returns").is_err());
    });
}

/// Guards against a one-way drop in the wrong direction, and against a control interface that
/// does not set the faults.
#[test]
fn control_port_sets_faults() {
    run(async {
        let (service, proxy) = start();
        let control = proxy.control(any_port()).expect("a port");
        let faults = r#"{"drop":"to_target"}"#;
        let set = send(Method::PUT, control.address(), "/control", &[], faults).await;
        let set = set.expect("a response").bytes().await.expect("a body");
        let set: Faults = serde_json::from_slice(&set).expect("faults");
        assert_eq!(set, Faults { drop: Some(Direction::ToTarget), ..Faults::default() });
        let cut = async {
            wait_round_trips(&service).await;
            send(Method::POST, control.address(), "/cut", &[], "").await.expect("a response");
        };
        let (response, ()) = join(read(proxy.address(), "/lost"), cut).await;
        assert!(response.is_err());
        assert_eq!(service.record(), []);
    });
}

/// Guards against bytes that arrive after missing ones, which TCP rules out: a stream of the soak
/// began with its seventh event and looked complete.
#[test]
fn nothing_is_delivered_after_discarded_bytes() {
    use std::io::{Read, Write};

    use compio::io::{AsyncRead, AsyncWriteExt};

    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (received, receipts) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut byte = [0];
        while stream.read(&mut byte).is_ok_and(|len| len > 0) {
            let _ = stream.write_all(&byte);
            let _ = received.send(byte[0]);
        }
    });
    run(async move {
        let proxy = proxy::spawn(any_port(), address).expect("a port");
        let mut stream = compio::net::TcpStream::connect(proxy.address()).await.expect("connected");
        proxy.set(Faults { drop: Some(Direction::ToClient), ..Faults::default() });
        stream.write_all(vec![1]).await.0.expect("written");
        while receipts.try_recv().is_err() {
            compio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
        let _ = compio::time::timeout(
            std::time::Duration::from_millis(100),
            stream.read(Vec::with_capacity(1)),
        )
        .await
        .expect_err("the echo is discarded");
        proxy.set(Faults::default());
        stream.write_all(vec![2]).await.0.expect("written");
        let read = stream.read(Vec::with_capacity(1)).await;
        assert!(matches!(read.0, Ok(0) | Err(_)), "read {:?}", read.1);
    });
}
