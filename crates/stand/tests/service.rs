//! Tests of the plain service.

mod common;

use common::{any_port, read, run, send};
use hyper::Method;
use stand::service;
use wire::header::{ENGINE_INSTANCE, REQUEST_ID};

/// Guards against a side effect that is not recorded, and against a record that a crash clears.
#[test]
fn service_records_effects() {
    run(async {
        let service = service::spawn(any_port(), service::Settings::default()).expect("a port");
        let address = service.address();
        let headers = [(REQUEST_ID, "q1")];
        let response =
            send(Method::POST, address, "/pay", &headers, "5").await.expect("a response");
        let instance = response.headers()[ENGINE_INSTANCE].clone();
        service.crash();
        let health = send(Method::GET, address, "/health", &[], "").await.expect("a response");
        assert_ne!(health.headers()[ENGINE_INSTANCE], instance);
        let line = read(address, "/record").await.expect("the record");
        let effect: service::Effect = serde_json::from_slice(&line).expect("one line");
        assert_eq!((effect.request_id.as_str(), effect.path.as_str()), ("q1", "/pay"));
        assert_eq!(service.record(), [effect]);
    });
}
