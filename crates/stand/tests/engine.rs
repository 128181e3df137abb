//! Tests of the engine server.

mod common;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use common::{any_port, read, run, send};
use hyper::{Method, StatusCode};
use stand::{
    completion, engine,
    model::{self, Load},
    run::End,
};
use wire::header::{ENGINE_INSTANCE, FENCE, REQUEST_ID};

const CHAT: &str = "/v1/chat/completions";

fn settings() -> engine::Settings {
    let model = model::Settings {
        step_base: Duration::from_micros(500),
        load_lag: Duration::ZERO,
        restart: Duration::from_millis(5),
        ..model::Settings::default()
    };
    engine::Settings { model, ..engine::Settings::default() }
}

fn start() -> engine::Engine {
    engine::spawn(any_port(), settings()).expect("a local port can be bound")
}

fn chat(text: &str, tokens: u32, stream: bool) -> String {
    let message = serde_json::json!({"role": "user", "content": text});
    serde_json::json!({"messages": [message], "max_tokens": tokens, "stream": stream}).to_string()
}

async fn post(address: SocketAddr, id: &str, body: String) -> cyper::Result<cyper::Response> {
    send(Method::POST, address, CHAT, &[(REQUEST_ID, id)], body).await
}

fn expected(body: &str) -> Bytes {
    completion::Request::parse(body.as_bytes()).expect("the body is valid").response_body()
}

/// Polls until the engine accepts connections, and returns the instance header.
async fn wait_for_instance(address: SocketAddr) -> String {
    loop {
        if let Ok(health) = send(Method::GET, address, "/health", &[], "").await {
            return health.headers()[ENGINE_INSTANCE].to_str().expect("text").to_owned();
        }
    }
}

/// Guards against responses that differ from the ones that checkers derive from the request
/// body, and against a missing instance header.
#[test]
fn responses_are_derived_from_the_request() {
    run(async {
        let engine = start();
        for stream in [false, true] {
            let body = chat("what is the weather", 5, stream);
            let response = post(engine.address(), "a", body.clone()).await.expect("a response");
            assert_eq!(response.status(), StatusCode::OK);
            let instance = format!("{:016x}", engine.instance());
            assert_eq!(response.headers()[ENGINE_INSTANCE], instance.as_str());
            assert_eq!(response.bytes().await.expect("a body"), expected(&body));
        }
        assert_ne!(expected(&chat("a", 5, true)), expected(&chat("b", 5, true)));
    });
}

/// Guards against a resumed stream with missing, repeated or wrong bytes, both while it is
/// generated and after its end.
#[test]
fn resume_returns_the_remaining_bytes() {
    run(async {
        let engine = start();
        let address = engine.address();
        let body = chat("tell me a story", 40, true);
        let whole = expected(&body);
        let first = post(address, "r", body).await.expect("a response");
        let during = read(address, "/v1/streams/r?from=100").await.expect("the remaining bytes");
        assert_eq!(during, whole[100..]);
        assert_eq!(first.bytes().await.expect("a body"), whole);
        let after = read(address, "/v1/streams/r?from=333").await.expect("the remaining bytes");
        assert_eq!(after, whole[333..]);
        let unknown =
            send(Method::GET, address, "/v1/streams/x", &[], "").await.expect("a response");
        assert_eq!(unknown.status(), StatusCode::NOT_FOUND);
        assert!(unknown.headers().contains_key(ENGINE_INSTANCE));
    });
}

/// Guards against memory that grows since ended streams are never dropped, and against a stream
/// that is dropped before its retention has passed.
#[test]
fn streams_are_dropped_after_the_retention() {
    run(async {
        let hour = Duration::from_secs(3600);
        for (retention, expected_status) in
            [(hour, StatusCode::OK), (Duration::ZERO, StatusCode::NOT_FOUND)]
        {
            let settings = engine::Settings { retention, ..settings() };
            let engine = engine::spawn(any_port(), settings).expect("a port");
            let address = engine.address();
            let response = post(address, "k", chat("hello", 2, false)).await.expect("a response");
            response.bytes().await.expect("a body");
            let kept = send(Method::GET, address, "/v1/streams/k", &[], "").await;
            assert_eq!(kept.expect("a response").status(), expected_status);
        }
    });
}

/// Guards against a crash that completes a stream, keeps it, keeps the instance number, or
/// clears the record.
#[test]
fn crash_starts_a_new_instance() {
    run(async {
        let engine = start();
        let address = engine.address();
        let before = wait_for_instance(address).await;
        let running = post(address, "c", chat("long", 1_000_000, true)).await.expect("a response");
        let control = send(Method::POST, address, "/control", &[], r#"{"crash":true}"#).await;
        assert_eq!(control.expect("a response").status(), StatusCode::OK);
        assert!(running.bytes().await.is_err());
        assert_ne!(wait_for_instance(address).await, before);
        let stream =
            send(Method::GET, address, "/v1/streams/c", &[], "").await.expect("a response");
        assert_eq!(stream.status(), StatusCode::NOT_FOUND);
        let record = read(address, "/record").await.expect("the record");
        let entry: engine::Entry = serde_json::from_slice(&record).expect("one line");
        assert_eq!((entry.stream.as_str(), entry.run.end), ("c", Some(End::Crashed)));
        assert_eq!(engine.record(), [entry]);
    });
}

/// Guards against a poison prompt that doesn't crash the engine, or that leaves other jobs of
/// its batch running.
#[test]
fn poison_crashes_all_jobs_of_the_batch() {
    run(async {
        let engine = start();
        let address = engine.address();
        let before = engine.instance();
        let other = post(address, "i", chat("long", 1_000_000, true)).await.expect("a response");
        let poison = chat(&format!("please {}", completion::POISON), 5, false);
        assert!(post(address, "p", poison).await.is_err());
        assert!(other.bytes().await.is_err());
        assert_ne!(engine.instance(), before);
        assert!(engine.record().iter().all(|entry| entry.run.end == Some(End::Crashed)));
    });
}

/// Guards against a cancelled job that stays in the batch, and against a load report that
/// doesn't count a running job or still counts a cancelled one.
#[test]
fn cancel_ends_the_job() {
    run(async {
        let engine = start();
        let address = engine.address();
        let running = post(address, "d", chat("long", 1_000_000, true)).await.expect("a response");
        let load = read(address, "/v1/load").await.expect("the load");
        assert_eq!(load, r#"{"running":1,"waiting":0}"#);
        send(Method::DELETE, address, "/v1/streams/d", &[], "").await.expect("a response");
        assert!(running.bytes().await.is_err());
        assert_eq!(engine.record()[0].run.end, Some(End::Cancelled));
        let load = read(address, "/v1/load").await.expect("the load");
        assert_eq!(load, serde_json::to_vec(&Load::default()).expect("serialises"));
    });
}

/// Guards against an engine that checks fencing numbers although the setting is off, or that
/// accepts a lower one although it is on.
#[test]
fn fencing_numbers_are_checked_only_if_enabled() {
    run(async {
        for (checks_fence, expected_status) in
            [(true, StatusCode::CONFLICT), (false, StatusCode::OK)]
        {
            let settings = engine::Settings { checks_fence, ..settings() };
            let engine = engine::spawn(any_port(), settings).expect("a port");
            let mut statuses = Vec::new();
            for fence in ["7", "7", "6"] {
                let headers = [(FENCE, fence)];
                let order = send(Method::POST, engine.address(), "/v1/orders", &headers, "{}");
                statuses.push(order.await.expect("a response").status());
            }
            assert_eq!(statuses, [StatusCode::OK, StatusCode::OK, expected_status]);
        }
    });
}

/// Guards against a crashed or stopped engine that still accepts connections: callers have to
/// see from the refused connection that nothing was sent.
#[test]
fn closed_ports_refuse_connections() {
    run(async {
        let mut settings = settings();
        settings.model.restart = Duration::from_secs(3600);
        let engine = engine::spawn(any_port(), settings).expect("a port");
        let address = engine.address();
        wait_for_instance(address).await;
        engine.crash();
        while compio::net::TcpStream::connect(address).await.is_ok() {}
        let engine = start();
        let address = engine.address();
        drop(engine);
        while compio::net::TcpStream::connect(address).await.is_ok() {}
    });
}
