//! The whole path of requests through real processes, and hostile callers and peers.

mod world;

use std::{
    cell::Cell,
    io::{Read, Write},
    net::TcpStream,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use serde_json::Value;
use wire::status::{Histogram, Trace};
use world::{World, chat_body, expected};

/// Routes of plain calls that may be repeated.
const LOOK: &str = "[route look]\nkind = service\npath = /look\npool = floor\ntier = floor\n";

const SMALL: &str = "[route small]\nkind = service\npath = /small\npool = floor\ntier = floor\n\
                     max_body_bytes = 1000\n";

/// Guards against changed, repeated or mixed-up answers and against repeated runs without any
/// fault, and against refusals that are unclear or come after work was done.
#[test]
fn answers_are_whole_and_refusals_run_nothing() {
    world::run(2, 2, 1, async |world| {
        for entry in 0..2 {
            for stream in [true, false] {
                let body = chat_body(&format!("lot {entry} {stream}"), 20, stream);
                let reply = world.complete(entry, body.clone()).await;
                assert!(reply.is_whole(), "{reply:?}");
                assert_eq!(reply.body, expected(&body));
                assert_eq!(world.runs(&body).len(), 1);
            }
        }
        let key = world.key(0).await;
        let bid = world.bid(1, &key).await;
        assert!(bid.is_whole(), "{bid:?}");
        let answer: Value = serde_json::from_slice(&bid.body).unwrap();
        assert_eq!((&answer["method"], &answer["path"]), (&"POST".into(), &"/bids/lot-7".into()));
        assert_eq!(world.bids_run(), 1);
        refuse_bad_calls(world).await;
    });
}

/// Path, body, headers, and the expected status and code.
type Case<'a> = (&'a str, Bytes, Vec<(&'a str, &'a str)>, u16, &'a str);

async fn refuse_bad_calls(world: &World) {
    world.configure("auction/small", SMALL).await;
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
    let before = (world.all_runs().len(), world.bids_run());
    for (path, body, headers, status, code) in cases {
        let reply = world.post(1, path, body, &headers).await;
        assert_eq!(reply.status, status, "{path} {headers:?}: {reply:?}");
        let error = reply.error();
        assert_eq!((&error["code"], &error["outcome"]), (&code.into(), &"not_run".into()));
        assert_eq!(reply.outcome.as_deref(), Some("not_run"), "{reply:?}");
    }
    assert_eq!((world.all_runs().len(), world.bids_run()), before);
}

/// Guards against plain calls that lose their method, path or query, or that fail without a
/// body.
#[test]
fn plain_calls_keep_their_method_and_path() {
    world::run(1, 0, 1, async |world| {
        world.configure("auction/look", LOOK).await;
        let callers = world.entries[0].callers.unwrap();
        for method in ["GET", "HEAD", "DELETE", "PUT", "OPTIONS"] {
            let url = format!("http://{callers}/look/lot-1?page=2");
            let request = world.client.request(method.parse().unwrap(), url).unwrap();
            let response = request.header("x-account", "casa").unwrap().send().await.unwrap();
            assert_eq!(response.status().as_u16(), 200, "{method}");
            let body = response.bytes().await.unwrap();
            let ran = looks(world);
            let last = ran.last().expect("an effect");
            assert_eq!((last.method.as_str(), last.path.as_str()), (method, "/look/lot-1"));
            if method == "HEAD" {
                assert!(body.is_empty());
            } else {
                let answer: Value = serde_json::from_slice(&body).unwrap();
                assert_eq!(answer["method"], method);
            }
        }
        assert_eq!(looks(world).len(), 5);
    });
}

/// Returns the plain calls that the service ran; its record has the agent's probes as well.
fn looks(world: &World) -> Vec<stand::service::Effect> {
    let mut effects = world.services[0].record();
    effects.retain(|effect| effect.path.starts_with("/look"));
    effects
}

/// Guards against reports that miss a request just answered.
#[test]
fn operators_see_a_request() {
    world::run(1, 1, 0, async |world| {
        let accounts = "[account museo]\ntop_tier = catalogue\n[account casa]\ntop_tier = floor\n";
        world.configure("auction/accounts", accounts).await;
        let reply = world.chat(0, "traced", 10, true).await;
        assert!(reply.is_whole(), "{reply:?}");
        let id = reply.request_id.expect("an answer names its request");
        for daemon in world.entries.iter().chain(&world.agents) {
            let status = world.status(daemon).await.expect("a status");
            assert_eq!((status.host.as_str(), status.ready), (daemon.host.as_str(), true));
            let (code, trace) = get(world, daemon, &format!("/requests/{id}")).await;
            let trace: Vec<Trace> = serde_json::from_slice(&trace).unwrap();
            assert_eq!(code, 200);
            assert!(trace.iter().any(|event| event.step == "dispatched"), "{trace:?}");
            assert!(trace.iter().all(|event| event.host == daemon.host), "{trace:?}");
            assert_eq!(get(world, daemon, "/requests/none").await.0, 404);
            assert_eq!(get(world, daemon, "/none").await.0, 404);
        }
        // The account's top tier is below the one that this call's route names.
        let headers = [("x-account", "museo")];
        let body = chat_body("lowered", 3, false);
        let reply = world.post(0, "/v1/chat/completions", body, &headers).await;
        assert!(reply.is_whole(), "{reply:?}");
        let (_, histograms) = get(world, &world.entries[0], "/histograms").await;
        let histograms: Vec<Histogram> = serde_json::from_slice(&histograms).unwrap();
        let count = |name: &str| {
            let of_account = histograms.iter().filter(|h| h.account == "casa");
            let mut of_account = of_account.filter(|h| h.tier == "desk");
            of_account.find(|h| h.name == name).map_or(0, |h| h.count)
        };
        assert_eq!((count("first_token_ms"), count("total_ms")), (1, 1), "{histograms:?}");
        assert!(count("between_tokens_ms") > 0);
        let lowered = histograms.iter().filter(|h| h.account == "museo").map(|h| h.tier.as_str());
        let lowered: Vec<_> = lowered.collect();
        assert_eq!(lowered, ["catalogue"; 2], "{histograms:?}");
    });
}

async fn get(world: &World, daemon: &world::Daemon, path: &str) -> (u16, Bytes) {
    let url = format!("http://{}{path}", daemon.operators);
    let response = world.client.get(url).unwrap().send().await.unwrap();
    (response.status().as_u16(), response.bytes().await.unwrap())
}

/// Guards against processes that end, hang or serve wrong answers because of malformed bytes
/// and slow callers.
#[test]
fn hostile_bytes_do_no_harm() {
    world::run(2, 2, 1, async |world| {
        let callers = world.entries[0].callers.unwrap();
        let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-account: casa\r\n";
        let mut open = Vec::new();
        let slow = [
            format!("{head}content-length: 1000\r\n\r\n{{"),
            format!("{head}transfer-encoding: chunked\r\n\r\n5\r\n"),
            "POST /v1/chat".to_owned(),
        ];
        for bytes in &slow {
            let mut stream = TcpStream::connect(callers).unwrap();
            stream.write_all(bytes.as_bytes()).unwrap();
            open.push(stream);
        }
        let mut targets = vec![callers, world.entries[0].peers, world.entries[0].operators];
        targets.extend(world.agents.iter().map(|agent| agent.peers));
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
                open.push(stream);
            }
        }
        send_bad_messages(world).await;
        let body = chat_body("after garbage", 10, true);
        for entry in 0..2 {
            let reply = world.complete(entry, body.clone()).await;
            assert!(reply.is_whole(), "{reply:?}");
            assert_eq!(reply.body, expected(&body));
        }
        assert_eq!(world.all_runs().len(), 2, "a malformed message reached an engine");
        drop(open);
    });
}

/// Sends well-formed HTTP with malformed messages to every peers' listener.
async fn send_bad_messages(world: &World) {
    let mut huge = vec![0xc6, 0xff, 0xff, 0xff, 0xff];
    huge.resize(2 << 20, 0);
    let bodies =
        [vec![], vec![0xc1; 9], b"\xdd\xff\xff\xff\xff".to_vec(), vec![0x91; 100_000], huge];
    for daemon in world.entries.iter().chain(&world.agents) {
        for path in ["/offer", "/grant", "/attach", "/cancel", "/key", "/sync", "/none"] {
            for body in &bodies {
                let url = format!("http://{}{path}", daemon.peers);
                let request = world.client.post(url).unwrap().body(body.clone());
                if let Ok(response) = request.send().await {
                    let status = response.status().as_u16();
                    assert!((400..500).contains(&status), "{} {path}: {status}", daemon.host);
                }
            }
        }
    }
}

/// Answers of a host list that are no host list.
const BAD_LISTS: [&[u8]; 5] = [
    b"\x00\xff garbage",
    b"{\"revision\": 1000000, \"hosts\": \"none\"}",
    b"{\"revision\": 1000001, \"hosts\": [{\"host\": \"x\", \"role\": \"agent\"}]}",
    b"{\"revision\": -1, \"hosts\": []}",
    b"[]",
];

/// Guards against a host list or branch that ends processes or removes what is in force.
#[test]
fn malformed_platform_data_changes_nothing() {
    world::run(1, 1, 0, async |world| {
        let binary = Bytes::from_static(b"[tier floor]\nrank = \xff\xfe\n");
        let revision = world.configuration.publish("quincespoke/auction/tiers", binary);
        let reads = Rc::new(Cell::new(0));
        let count = reads.clone();
        let controller = Rc::new(stand::port::Controller::default());
        let bad_hosts = stand::http::serve(world::loopback(), controller, move |_| {
            let body = BAD_LISTS[count.replace(count.get() + 1) % BAD_LISTS.len()];
            async move { Ok(stand::http::text(hyper::StatusCode::OK, body)) }
        })
        .unwrap();
        world.hosts_address = bad_hosts.address();
        world.entries.push(world.spawn_entry(1));
        world.wait_until_ready().await;
        let all_read = || (reads.get() >= BAD_LISTS.len()).then_some(());
        world.until("read by the new entry", all_read).await;
        for daemon in world.entries.iter().chain(&world.agents) {
            let refused = |status: &wire::status::Status| {
                status.refused_revisions.contains_key("auction/tiers")
            };
            world.wait_for(daemon, "refusing", refused).await;
            let status = world.status(daemon).await.expect("a status");
            let held = status.revisions.get("auction/tiers").copied();
            assert!(held.is_some_and(|held| held < revision), "{status:?}");
        }
        for entry in 0..2 {
            let reply = world.chat(entry, "after bad lists", 5, false).await;
            assert!(reply.is_whole(), "{reply:?}");
        }
    });
}
