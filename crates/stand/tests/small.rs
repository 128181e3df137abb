//! Tests of the plain service, the host list and the binary.

mod common;

use std::{
    io::{BufRead, BufReader},
    process::{Command, Stdio},
    time::Duration,
};

use bytes::Bytes;
use common::{any_port, read, run, send};
use hyper::Method;
use serde::Deserialize;
use stand::{hosts, service};
use wire::{
    header::{ENGINE_INSTANCE, REQUEST_ID},
    host::{Record, Role, State},
};

/// Guards against a side effect that is not recorded, or lost in a crash.
#[test]
fn service_records_effects() {
    run(async {
        let service = service::spawn(any_port(), service::Settings::default()).expect("a port");
        let address = service.address();
        let headers = [(REQUEST_ID, "q1")];
        let answer = send(Method::POST, address, "/pay", &headers, "5").await.expect("an answer");
        let instance = answer.headers()[ENGINE_INSTANCE].clone();
        service.crash();
        let health = send(Method::GET, address, "/health", &[], "").await.expect("an answer");
        assert_ne!(health.headers()[ENGINE_INSTANCE], instance);
        let line = read(address, "/record").await.expect("the record");
        let effect: service::Effect = serde_json::from_slice(&line).expect("one line");
        assert_eq!((effect.request_id.as_str(), effect.path.as_str()), ("q1", "/pay"));
        assert_eq!(service.record(), [effect]);
    });
}

#[derive(Deserialize)]
struct List {
    revision: u64,
    hosts: Vec<Record>,
}

/// Guards against a list that readers can't parse, a change that is visible before its lag,
/// and an answer while the list is down.
#[test]
fn host_list_lags() {
    run(async {
        let hosts = hosts::spawn(any_port(), Duration::from_secs(3600)).expect("a port");
        let list = async || {
            let body = read(hosts.address(), "/hosts").await?;
            cyper::Result::<List>::Ok(serde_json::from_slice(&body).expect("a list"))
        };
        let record = Record {
            host: Bytes::from_static(b"h1"),
            role: Role::Agent,
            address: any_port(),
            availability_zone: Bytes::from_static(b"z1"),
            pool: Bytes::from_static(b"p"),
            speed: 150,
            state: State::Live,
        };
        hosts.set(vec![record.clone()]);
        let seen = list().await.expect("a list");
        assert_eq!((seen.revision, seen.hosts), (1, vec![record]));
        send(Method::PUT, hosts.address(), "/control/hosts", &[], "[]").await.expect("an answer");
        assert_eq!(list().await.expect("a list").revision, 1);
        hosts.set_down(true);
        assert!(list().await.is_err());
    });
}

/// Guards against a binary that doesn't report its address, doesn't serve, or ignores the
/// signal to stop.
#[test]
fn binary_serves_until_terminated() {
    let binary = env!("CARGO_BIN_EXE_quincespoke-stand");
    for command in ["engine", "service", "configuration", "hosts"] {
        let spawned = Command::new(binary).arg(command).stdout(Stdio::piped()).spawn();
        let mut child = spawned.expect("the binary starts");
        let mut line = String::new();
        let mut out = BufReader::new(child.stdout.take().expect("piped"));
        out.read_line(&mut line).expect("a line");
        let address = line.trim().strip_prefix("listening=").expect("an address");
        run(async {
            let path = if command == "hosts" { "/hosts" } else { "/health" };
            assert!(read(address.parse().expect("an address"), path).await.is_ok());
        });
        Command::new("kill").arg(child.id().to_string()).status().expect("kill runs");
        assert!(child.wait().expect("the binary ends").success());
    }
}
