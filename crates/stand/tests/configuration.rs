//! Tests of the configuration service.

mod common;

use std::net::SocketAddr;

use common::{any_port, read, run, send};
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use stand::configuration;

/// Reads a prefix and returns the index header with the body.
async fn get(address: SocketAddr, query: &str) -> (u64, Value) {
    let path = format!("/v1/kv/{query}");
    let response = send(Method::GET, address, &path, &[], "").await.expect("a response");
    let index = response.headers()["x-consul-index"].to_str().expect("text").parse();
    let body = response.bytes().await.expect("a body");
    (index.expect("a number"), serde_json::from_slice(&body).unwrap_or(Value::Null))
}

async fn read_count(address: SocketAddr) -> Value {
    let body = read(address, "/count").await.expect("the count");
    serde_json::from_slice::<Value>(&body).expect("JSON")["calls"].clone()
}

async fn wait_for_reads(address: SocketAddr, count: u64) {
    while read_count(address).await != count {}
}

/// Guards against a response whose form differs from Consul's, a prefix read that returns other
/// keys, and a deletion that readers can't see.
#[test]
fn reads_have_the_form_of_consul() {
    run(async {
        let service = configuration::spawn(any_port()).expect("a port");
        let address = service.address();
        service.publish("app/a", "one");
        service.publish("other", "x");
        let put = send(Method::PUT, address, "/control/app/b", &[], vec![b'z'; 1 << 20]).await;
        assert_eq!(put.expect("a response").status(), StatusCode::OK);
        let (index, body) = get(address, "app/?recurse=true").await;
        let keys: Vec<&Value> = body.as_array().expect("pairs").iter().map(|p| &p["Key"]).collect();
        assert_eq!((index, keys), (3, vec![&json!("app/a"), &json!("app/b")]));
        let pair = (&body[0]["Value"], &body[0]["ModifyIndex"]);
        assert_eq!(pair, (&json!("b25l"), &json!(1)));
        assert_eq!(body[1]["Value"].as_str().expect("text").len(), (1_usize << 20).div_ceil(3) * 4);
        service.delete("app/a");
        service.delete("app/b");
        assert_eq!(get(address, "app/?recurse=true").await, (5, Value::Null));
    });
}

/// Guards against a watch that misses a change, wakes for another key, or is counted as more
/// than one read.
#[test]
fn watch_wakes_on_change_and_counts_once() {
    run(async {
        let service = configuration::spawn(any_port()).expect("a port");
        let address = service.address();
        let index = service.publish("app/a", "one");
        let query = format!("app/?recurse=true&index={index}&wait=55s");
        let watch = compio::runtime::spawn(async move { get(address, &query).await });
        wait_for_reads(address, 1).await;
        service.publish("other", "x");
        assert_eq!(read_count(address).await, 1);
        assert!(!watch.is_finished());
        let changed = service.publish("app/a", "two");
        let (seen, body) = watch.await.expect("the watch returns");
        assert_eq!((seen, &body[0]["Value"]), (changed, &json!("dHdv")));
        assert_eq!(read_count(address).await, 1);
        let (seen, _) = get(address, &format!("app/?recurse=true&index={changed}&wait=1ms")).await;
        assert_eq!(seen, changed);
    });
}

/// Guards against a stale service that returns new values, and against one that stays stale.
#[test]
fn stale_reads_return_the_snapshot() {
    run(async {
        let service = configuration::spawn(any_port()).expect("a port");
        let address = service.address();
        service.publish("a", "one");
        let state = |body: &'static str| send(Method::POST, address, "/control/state", &[], body);
        state(r#"{"stale":true}"#).await.expect("a response");
        service.publish("a", "two");
        assert_eq!(get(address, "a").await.0, 1);
        state(r#"{"stale":false}"#).await.expect("a response");
        assert_eq!(get(address, "a").await.0, 2);
    });
}

/// Guards against a watch or a read that gets a response while the service is down.
#[test]
fn down_service_drops_connections() {
    run(async {
        let service = configuration::spawn(any_port()).expect("a port");
        let address = service.address();
        let index = service.publish("a", "one");
        let path = format!("/v1/kv/a?index={index}");
        let watch = compio::runtime::spawn(async move { read(address, &path).await });
        wait_for_reads(address, 1).await;
        service.set_down(true);
        assert!(watch.await.expect("the watch returns").is_err());
        assert!(read(address, "/v1/kv/a").await.is_err());
        service.set_down(false);
        assert!(read(address, "/v1/kv/a").await.is_ok());
    });
}
