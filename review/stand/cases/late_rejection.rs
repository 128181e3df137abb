//! Faulty replicas send a second answer to some requests, late, on a connection that is in use again.
//! It states that a request was not run, and doesn't say which. Does a request run twice?

use std::{collections::HashMap, sync::Arc, thread, time::Duration};

use super::Site;
use crate::{client, protocol, record::Record, replica::Pace};

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-1","host":"site.example","pathPrefix":"/bids/","kind":"unsafe","timeoutMs":4000,"goalMs":300,"priority":1,"service":"llm","maxAttempts":1,"public":false}],"services":[{"name":"llm","healthPath":"/health","maxConns":100,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"casa","apiKeys":["key-1"],"priority":1,"ratePerS":0,"burst":0}]}"#;

/// Of the four replicas, two are faulty, and of their answers one in 50 is followed by another one.
const FAULTY: usize = 2;
const EVERY: u32 = 50;
/// Time for which clients send, and their number.
const SENDING: Duration = Duration::from_secs(5);
const CLIENTS: usize = 8;
/// Deadline of the clients.
const DEADLINE: Duration = Duration::from_millis(4000);
const PACE: Pace = Pace { events: 1, gap: Duration::from_millis(1) };

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let site = Site::start(record, CONFIG, "1", &[PACE; 4]);
    if trouble {
        for replica in &site.replicas[..FAULTY] {
            replica.send_extra(Some((protocol::REJECTION, EVERY)));
        }
    }
    let end = record.elapsed() + SENDING;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|c| {
            let (record, fronts) = (record.clone(), site.fronts());
            thread::spawn(move || {
                let mut served = 0;
                for n in 0.. {
                    if record.elapsed() >= end {
                        break;
                    }
                    let attempt = format!("c{c}-{n:03}");
                    let headers = client::request_headers(&attempt, "key-1", DEADLINE);
                    record.line(&format!("client     {attempt} is sent"));
                    let front = fronts[c % fronts.len()];
                    let answer = client::send(front, "/bids/1", &headers, "a bid");
                    served += usize::from(answer.as_ref().is_ok_and(|a| a.status() == 200));
                    let shown =
                        answer.map_or_else(|e| e.to_string(), |a| format!("status {}", a.status()));
                    record.line(&format!("client     {attempt} got {shown}"));
                    thread::sleep(Duration::from_millis(20));
                }
                served
            })
        })
        .collect();
    let served: usize = clients.into_iter().map(|client| client.join().expect("client")).sum();
    record.line(&format!("{served} requests were served"));
    assert!(served > 0, "no request was served");
    let mut runs: HashMap<String, Vec<String>> = HashMap::new();
    for replica in &site.replicas {
        for run in replica.runs.lock().expect("lock").iter() {
            runs.entry(run.attempt.clone()).or_default().push(run.replica.clone());
        }
    }
    let mut twice: Vec<_> = runs.into_iter().filter(|(_, replicas)| replicas.len() > 1).collect();
    twice.sort();
    for (attempt, replicas) in &twice {
        record.line(&format!("twice      {attempt} ran at {}", replicas.join(" and ")));
    }
    twice.is_empty()
}
