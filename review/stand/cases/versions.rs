//! A replica starts again under its identifier with another version of its software, and crashes
//! again some seconds later. Do clients get streams of two versions?

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use super::Site;
use crate::{
    client::{self, Order, Stream},
    record::Record,
    replica::Pace,
};

pub const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-1","host":"site.example","pathPrefix":"/essay/","kind":"streaming","timeoutMs":15000,"goalMs":400,"priority":1,"service":"llm","maxAttempts":2,"public":false,"sessionAffinity":true,"resumable":true,"gapGoalMs":400}],"services":[{"name":"llm","healthPath":"/health","maxConns":360,"protocol":"h1","tls":false,"engine":{"slots":10,"kvCapacity":653676,"kvTokenBytes":18432,"stride":5,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"casa","apiKeys":["key-1"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":0,"burst":0}]}"#;

/// Time for which clients send, and the time between two of them.
const SENDING: Duration = Duration::from_secs(12);
const CLIENT_GAP: Duration = Duration::from_millis(80);
/// The first replica is faster than the others, so that it is preferred.
const REPLICAS: usize = 6;
const FAST: Pace = Pace { events: 100, gap: Duration::from_millis(12) };
const SLOW: Pace = Pace { events: 100, gap: Duration::from_millis(25) };

/// What happens to the first replica, in ms after the first client.
const FIRST_CRASH_MS: u64 = 3000;
const RESTART_MS: u64 = 5000;
const SECOND_CRASH_MS: u64 = 6300;
const SECOND_RESTART_MS: u64 = 8300;

/// Time from a start to the first heartbeat, which writes the entry.
const FIRST_BEAT: Duration = Duration::from_millis(1000);

/// More streams of two versions than this break the rule.
const MAX_JOINED: usize = 2;

/// Time between two tries of a client.
const PAUSE: Duration = Duration::from_millis(100);

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let mut paces = [SLOW; REPLICAS];
    paces[0] = FAST;
    let site = Site::start(record, CONFIG, "4.1", &paces);
    let fronts = site.fronts();
    let streams: Arc<Mutex<Vec<Stream>>> = Arc::default();
    let replica = site.replicas[0].clone();
    let disruption = thread::spawn(move || {
        if !trouble {
            return;
        }
        let wait = |ms| thread::sleep(Duration::from_millis(ms));
        wait(FIRST_CRASH_MS);
        replica.crash();
        wait(RESTART_MS - FIRST_CRASH_MS);
        replica.start("4.2", FIRST_BEAT);
        wait(SECOND_CRASH_MS - RESTART_MS);
        replica.crash();
        wait(SECOND_RESTART_MS - SECOND_CRASH_MS);
        replica.start("4.2", FIRST_BEAT);
    });
    let count = (SENDING.as_millis() / CLIENT_GAP.as_millis()) as usize;
    let clients: Vec<_> = (0..count)
        .map(|n| {
            thread::sleep(CLIENT_GAP);
            let (record, streams) = (record.clone(), streams.clone());
            let mut gateways = fronts.clone();
            gateways.rotate_left(n % fronts.len());
            thread::spawn(move || {
                let (name, path) = (format!("c{n:03}"), format!("/essay/{n}"));
                let order = Order {
                    name: &name,
                    path: &path,
                    key: "key-1",
                    deadline: Duration::from_secs(15),
                    tries: 2,
                    gateways: &gateways,
                    pause: PAUSE,
                };
                let stream = client::stream(&order, &record);
                streams.lock().expect("lock").push(stream);
            })
        })
        .collect();
    for client in clients {
        client.join().expect("client");
    }
    disruption.join().expect("disruption");
    let streams = streams.lock().expect("lock");
    let complete = streams.iter().filter(|stream| stream.is_complete).count();
    record.line(&format!("{complete} of {} streams are complete", streams.len()));
    let joined = streams.iter().filter(|stream| is_joined(stream, record)).count();
    record.line(&format!("{joined} streams hold events of two versions"));
    assert!(complete > 0, "no stream was served");
    joined <= MAX_JOINED
}

/// Returns whether a client got events of two versions.
fn is_joined(stream: &Stream, record: &Record) -> bool {
    let version = |text: &str| text.split(' ').next().unwrap_or_default().to_owned();
    let versions: BTreeSet<String> = stream.events.iter().map(|(_, text)| version(text)).collect();
    if versions.len() < 2 {
        return false;
    }
    let at = stream.events.windows(2).find(|pair| version(&pair[0].1) != version(&pair[1].1));
    if let Some(pair) = at {
        record.line(&format!(
            "joined     {}: \"{}\" is followed by \"{}\", tries: {}",
            stream.name,
            pair[0].1,
            pair[1].1,
            stream.tries.len()
        ));
    }
    true
}
