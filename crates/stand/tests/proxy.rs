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

/// Makes enough round trips to the service that bytes in the proxy would arrive, unless they
/// are held.
async fn settle(service: &Service) {
    for _ in 0..20 {
        read(service.address(), "/health").await.expect("an answer");
    }
}

/// Guards against a proxy that changes bytes, and against cuts and refusals that callers
/// don't see.
#[test]
fn faults_reach_the_caller() {
    run(async {
        let (service, proxy) = start();
        let direct = read(service.address(), "/a").await.expect("an answer");
        assert_eq!(read(proxy.address(), "/a").await.expect("an answer"), direct);
        proxy.set(Faults { cut_after: Some(150), ..Faults::default() });
        assert!(read(proxy.address(), "/a").await.is_err());
        proxy.set(Faults { refuse: true, ..Faults::default() });
        while compio::net::TcpStream::connect(proxy.address()).await.is_ok() {}
        proxy.set(Faults { delay_ms: 1, ..Faults::default() });
        while read(proxy.address(), "/a").await.is_err() {}
    });
}

/// Guards against a cut that leaves a connection open, and against a freeze that loses the
/// bytes it holds or passes them on.
#[test]
fn frozen_bytes_are_held() {
    run(async {
        let (service, proxy) = start();
        let address = proxy.address();
        proxy.set(Faults { freeze: true, ..Faults::default() });
        let call = || compio::runtime::spawn(async move { read(address, "/held").await });
        let first = call();
        settle(&service).await;
        assert!(!first.is_finished());
        assert_eq!(service.record(), []);
        proxy.set(Faults::default());
        first.await.expect("the call returns").expect("an answer");
        assert_eq!(service.record().len(), 1);
        // A call whose answer never comes is ended by the cut.
        proxy.set(Faults { drop: Some(Direction::ToClient), ..Faults::default() });
        let call = call();
        while service.record().len() < 2 {
            settle(&service).await;
        }
        settle(&service).await;
        assert!(!call.is_finished());
        proxy.cut();
        assert!(call.await.expect("the call returns").is_err());
    });
}

/// Guards against a one-way drop in the wrong direction, and against a control port that
/// differs from the handle.
#[test]
fn control_port_sets_faults() {
    run(async {
        let (service, proxy) = start();
        let control = proxy.control(any_port()).expect("a port");
        let faults = r#"{"drop":"to_target"}"#;
        let set = send(Method::PUT, control.address(), "/control", &[], faults).await;
        let set = set.expect("an answer").bytes().await.expect("a body");
        let set: Faults = serde_json::from_slice(&set).expect("faults");
        assert_eq!(set, Faults { drop: Some(Direction::ToTarget), ..Faults::default() });
        let cut = async {
            settle(&service).await;
            send(Method::POST, control.address(), "/cut", &[], "").await.expect("an answer");
        };
        let (call, ()) = join(read(proxy.address(), "/lost"), cut).await;
        assert!(call.is_err());
        assert_eq!(service.record(), []);
    });
}
