//! Tests of the host list.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{any_port, read, run, send};
use hyper::Method;
use serde::Deserialize;
use stand::hosts;
use wire::host::{Record, Role, State};

#[derive(Deserialize)]
struct List {
    revision: u64,
    hosts: Vec<Record>,
}

/// Guards against a list that readers can't parse, a change that is visible before its lag has
/// passed, and a response while the list is down.
#[test]
fn changes_are_visible_after_the_lag() {
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
        send(Method::PUT, hosts.address(), "/control/hosts", &[], "[]").await.expect("a response");
        assert_eq!(list().await.expect("a list").revision, 1);
        hosts.set_down(true);
        assert!(list().await.is_err());
    });
}
