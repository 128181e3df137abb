//! Requests through real processes end to end, and malformed data from callers, peers and the
//! platform.

mod cluster;

use std::{
    cell::Cell,
    io::{Read, Write},
    net::TcpStream,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use cluster::{Cluster, chat_body, expected_response};
use serde_json::Value;
use wire::status::{Histogram, Trace};

/// Route of plain requests that are idempotent.
const LOOK: &str = "[route look]\nkind = service\npath = /look\npool = floor\ntier = floor\n";

const SMALL: &str = "[route small]\nkind = service\npath = /small\npool = floor\ntier = floor\n\
                     max_body_bytes = 1000\n";

/// Guards against altered, repeated or swapped responses and repeated runs although nothing fails,
/// and against refusals that name no reason or come after the request ran.
#[test]
fn responses_are_complete_and_refused_requests_do_not_run() {
    cluster::run(2, 2, 1, async |cluster| {
        for entry in 0..2 {
            for stream in [true, false] {
                let body = chat_body(&format!("lot {entry} {stream}"), 20, stream);
                let response = cluster.send_chat_body(entry, body.clone()).await;
                assert!(response.is_complete(), "{response:?}");
                assert_eq!(response.body, expected_response(&body));
                assert_eq!(cluster.runs(&body).len(), 1);
            }
        }
        let key = cluster.issue_key(0).await;
        let bid = cluster.send_bid(1, &key).await;
        assert!(bid.is_complete(), "{bid:?}");
        let result: Value = serde_json::from_slice(&bid.body).unwrap();
        assert_eq!((&result["method"], &result["path"]), (&"POST".into(), &"/bids/lot-7".into()));
        assert_eq!(cluster.bid_run_count(), 1);
        check_refusals(cluster).await;
    });
}

/// Path, body, headers, and the expected status and code.
type Case<'a> = (&'a str, Bytes, Vec<(&'a str, &'a str)>, u16, &'a str);

async fn check_refusals(cluster: &Cluster) {
    cluster.configure("auction/small", SMALL).await;
    let chat = "/v1/chat/completions";
    let good = chat_body("refused", 3, false);
    let mut other_model: Value = serde_json::from_slice(&good).unwrap();
    other_model["model"] = "none".into();
    let other_model = Bytes::from(other_model.to_string());
    let casa = ("x-account", "casa");
    let large = Bytes::from(vec![b'x'; 5 << 20]);
    let cases: [Case<'_>; 11] = [
        (chat, good.clone(), vec![("x-account", "nobody")], 401, "unknown_account"),
        (chat, good.clone(), vec![], 401, "unknown_account"),
        (chat, good.slice(1..), vec![casa], 400, "bad_request"),
        (chat, other_model, vec![casa], 404, "no_route"),
        (chat, large.clone(), vec![casa], 413, "too_large"),
        ("/small", large.slice(..1001), vec![casa], 413, "too_large"),
        ("/none", good.clone(), vec![casa], 404, "no_route"),
        (chat, good.clone(), vec![casa, ("x-tier", "none")], 400, "bad_request"),
        (chat, good.clone(), vec![("x-account", "museo"), ("x-tier", "floor")], 400, "bad_request"),
        (chat, good.clone(), vec![casa, ("x-deadline-ms", "soon")], 400, "bad_request"),
        ("/bids/lot-8", good, vec![casa], 400, "bad_key"),
    ];
    let before = (cluster.all_runs().len(), cluster.bid_run_count());
    for (path, body, headers, status, code) in cases {
        let response = cluster.post(1, path, body, &headers).await;
        assert_eq!(response.status, status, "{path} {headers:?}: {response:?}");
        let error = response.error();
        assert_eq!((&error["code"], &error["outcome"]), (&code.into(), &"not_run".into()));
        assert_eq!(response.outcome.as_deref(), Some("not_run"), "{response:?}");
    }
    assert_eq!((cluster.all_runs().len(), cluster.bid_run_count()), before);
}

/// Guards against plain requests that lose their method, path or query, or that fail if they have
/// no body.
#[test]
fn plain_requests_keep_their_method_and_path() {
    cluster::run(1, 0, 1, async |cluster| {
        cluster.configure("auction/look", LOOK).await;
        let callers = cluster.entries[0].callers.unwrap();
        for method in ["GET", "HEAD", "DELETE", "PUT", "OPTIONS"] {
            let url = format!("http://{callers}/look/lot-1?page=2");
            let request = cluster.client.request(method.parse().unwrap(), url).unwrap();
            let response = request.header("x-account", "casa").unwrap().send().await.unwrap();
            assert_eq!(response.status().as_u16(), 200, "{method}");
            let body = response.bytes().await.unwrap();
            let runs = look_runs(cluster);
            let last = runs.last().expect("an effect");
            assert_eq!((last.method.as_str(), last.path.as_str()), (method, "/look/lot-1"));
            if method == "HEAD" {
                assert!(body.is_empty());
            } else {
                let result: Value = serde_json::from_slice(&body).unwrap();
                assert_eq!(result["method"], method);
            }
        }
        assert_eq!(look_runs(cluster).len(), 5);
    });
}

/// Guards against a server's own 503, 429, 408 or 421, or a status of no final response, that reaches
/// the caller of a request that has run, and against other failures that don't.
#[test]
fn no_promise_of_a_server_reaches_the_caller_of_a_request_that_has_run() {
    cluster::run(1, 0, 1, async |cluster| {
        for status in [408, 421, 429, 503, 600, 999] {
            let key = cluster.issue_key(0).await;
            let before = cluster.bid_run_count();
            // The second call with the key gets what is known of the first one.
            for call in 0..2 {
                let response = cluster.send_bid_to(0, &format!("status/{status}"), &key).await;
                let case = format!("{status}, call {call}: {response:?}");
                assert_eq!(response.status, 502, "{case}");
                let error = response.error();
                assert_eq!(
                    (&error["code"], &error["outcome"]),
                    (&"backend_status".into(), &"unknown".into()),
                    "{case}"
                );
                assert_eq!(cluster.bid_run_count(), before + 1, "{case}");
            }
        }
        for status in [200, 201, 302, 307, 400, 404, 500, 502, 504, 599] {
            let key = cluster.issue_key(0).await;
            let response = cluster.send_bid_to(0, &format!("status/{status}"), &key).await;
            assert_eq!((response.status, response.outcome.clone()), (status, None), "{response:?}");
        }
    });
}

/// Returns the plain requests that the service ran. Its record contains the agent's probes as well.
fn look_runs(cluster: &Cluster) -> Vec<stand::service::Effect> {
    let mut effects = cluster.services[0].record();
    effects.retain(|effect| effect.path.starts_with("/look"));
    effects
}

/// Guards against traces, status reports and histograms that lack a request that has just ended.
#[test]
fn operators_can_trace_a_completed_request() {
    cluster::run(1, 1, 0, async |cluster| {
        let accounts = "[account museo]\ntop_tier = catalogue\n[account casa]\ntop_tier = floor\n";
        cluster.configure("auction/accounts", accounts).await;
        let response = cluster.send_chat(0, "traced", 10, true).await;
        assert!(response.is_complete(), "{response:?}");
        let id = response.request_id.expect("a response has its request's id");
        for daemon in cluster.entries.iter().chain(&cluster.agents) {
            let status = cluster.read_status(daemon).await.expect("a status");
            assert_eq!((status.host.as_str(), status.ready), (daemon.host.as_str(), true));
            let (code, trace) = get(cluster, daemon, &format!("/requests/{id}")).await;
            let trace: Vec<Trace> = serde_json::from_slice(&trace).unwrap();
            assert_eq!(code, 200);
            assert!(trace.iter().any(|event| event.step == "dispatched"), "{trace:?}");
            assert!(trace.iter().all(|event| event.host == daemon.host), "{trace:?}");
            assert_eq!(get(cluster, daemon, "/requests/none").await.0, 404);
            assert_eq!(get(cluster, daemon, "/none").await.0, 404);
        }
        // The account's top tier is below the tier of the route.
        let headers = [("x-account", "museo")];
        let body = chat_body("lowered", 3, false);
        let response = cluster.post(0, "/v1/chat/completions", body, &headers).await;
        assert!(response.is_complete(), "{response:?}");
        let (_, histograms) = get(cluster, &cluster.entries[0], "/histograms").await;
        let histograms: Vec<Histogram> = serde_json::from_slice(&histograms).unwrap();
        let count = |name: &str| {
            let account_histograms = histograms.iter().filter(|h| h.account == "casa");
            let mut account_histograms = account_histograms.filter(|h| h.tier == "desk");
            account_histograms.find(|h| h.name == name).map_or(0, |h| h.count)
        };
        assert_eq!((count("first_token_ms"), count("total_ms")), (1, 1), "{histograms:?}");
        assert!(count("between_tokens_ms") > 0);
        let lowered = histograms.iter().filter(|h| h.account == "museo").map(|h| h.tier.as_str());
        let lowered: Vec<_> = lowered.collect();
        assert_eq!(lowered, ["catalogue"; 2], "{histograms:?}");
    });
}

async fn get(cluster: &Cluster, daemon: &cluster::Daemon, path: &str) -> (u16, Bytes) {
    let url = format!("http://{}{path}", daemon.operators);
    let response = cluster.client.get(url).unwrap().send().await.unwrap();
    (response.status().as_u16(), response.bytes().await.unwrap())
}

/// Guards against processes that exit, hang or send wrong responses because of malformed bytes or
/// slow callers.
#[test]
fn malformed_bytes_do_not_affect_other_requests() {
    cluster::run(2, 2, 1, async |cluster| {
        let callers = cluster.entries[0].callers.unwrap();
        let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-account: casa\r\n";
        let mut connections = Vec::new();
        let slow = [
            format!("{head}content-length: 1000\r\n\r\n{{"),
            format!("{head}transfer-encoding: chunked\r\n\r\n5\r\n"),
            "POST /v1/chat".to_owned(),
        ];
        for bytes in &slow {
            let mut stream = TcpStream::connect(callers).unwrap();
            stream.write_all(bytes.as_bytes()).unwrap();
            connections.push(stream);
        }
        let mut targets = vec![callers, cluster.entries[0].peers, cluster.entries[0].operators];
        targets.extend(cluster.agents.iter().map(|agent| agent.peers));
        let malformed = [
            b"\x00\xff\x16\x03\x01 garbage\r\n\r\n".to_vec(),
            format!("{head}content-length: -1\r\n\r\n").into_bytes(),
            format!("{head}x-long: {}\r\n\r\n", "y".repeat(200 << 10)).into_bytes(),
        ];
        for target in targets {
            for bytes in &malformed {
                let mut stream = TcpStream::connect(target).unwrap();
                let _ = stream.write_all(bytes);
                stream.set_read_timeout(Some(Duration::from_millis(1))).unwrap();
                let _ = stream.read(&mut [0; 64]);
                connections.push(stream);
            }
        }
        send_bad_messages(cluster).await;
        let body = chat_body("after garbage", 10, true);
        for entry in 0..2 {
            let response = cluster.send_chat_body(entry, body.clone()).await;
            assert!(response.is_complete(), "{response:?}");
            assert_eq!(response.body, expected_response(&body));
        }
        assert_eq!(cluster.all_runs().len(), 2, "a malformed message reached an engine");
        drop(connections);
    });
}

/// Sends well-formed HTTP requests with malformed messages to every process's listener for peers.
async fn send_bad_messages(cluster: &Cluster) {
    let mut huge = vec![0xc6, 0xff, 0xff, 0xff, 0xff];
    huge.resize(2 << 20, 0);
    let bodies =
        [vec![], vec![0xc1; 9], b"\xdd\xff\xff\xff\xff".to_vec(), vec![0x91; 100_000], huge];
    for daemon in cluster.entries.iter().chain(&cluster.agents) {
        for path in ["/offer", "/grant", "/attach", "/cancel", "/key", "/sync", "/none"] {
            for body in &bodies {
                let url = format!("http://{}{path}", daemon.peers);
                let request = cluster.client.post(url).unwrap().body(body.clone());
                if let Ok(response) = request.send().await {
                    let status = response.status().as_u16();
                    assert!((400..500).contains(&status), "{} {path}: {status}", daemon.host);
                }
            }
        }
    }
}

/// Responses of a host list service that are not a valid host list.
const BAD_LISTS: [&[u8]; 5] = [
    b"\x00\xff garbage",
    b"{\"revision\": 1000000, \"hosts\": \"none\"}",
    b"{\"revision\": 1000001, \"hosts\": [{\"host\": \"x\", \"role\": \"agent\"}]}",
    b"{\"revision\": -1, \"hosts\": []}",
    b"[]",
];

/// Guards against a malformed host list or branch that ends processes or replaces valid data in
/// force.
#[test]
fn malformed_platform_data_is_rejected() {
    cluster::run(1, 1, 0, async |cluster| {
        let binary = Bytes::from_static(b"[tier floor]\nrank = \xff\xfe\n");
        let revision = cluster.configuration.publish("quincespoke/auction/tiers", binary);
        let reads = Rc::new(Cell::new(0));
        let count = reads.clone();
        let controller = Rc::new(stand::port::Controller::default());
        let bad_hosts = stand::http::serve(cluster::loopback(), controller, move |_| {
            let body = BAD_LISTS[count.replace(count.get() + 1) % BAD_LISTS.len()];
            async move { Ok(stand::http::text(hyper::StatusCode::OK, body)) }
        })
        .unwrap();
        cluster.hosts_address = bad_hosts.address();
        cluster.entries.push(cluster.spawn_entry(1));
        cluster.wait_until_ready().await;
        let all_read = || (reads.get() >= BAD_LISTS.len()).then_some(());
        cluster.wait_until("read by the new entry", all_read).await;
        for daemon in cluster.entries.iter().chain(&cluster.agents) {
            let refused = |status: &wire::status::Status| {
                status.refused_revisions.contains_key("auction/tiers")
            };
            cluster.wait_for(daemon, "refusing", refused).await;
            let status = cluster.read_status(daemon).await.expect("a status");
            let in_force = status.revisions.get("auction/tiers").copied();
            assert!(in_force.is_some_and(|in_force| in_force < revision), "{status:?}");
        }
        for entry in 0..2 {
            let response = cluster.send_chat(entry, "after bad lists", 5, false).await;
            assert!(response.is_complete(), "{response:?}");
        }
    });
}
