//! The store comes back from an older copy, and one gateway is started again meanwhile. Is a key
//! that was taken away before accepted again?

use std::{sync::Arc, thread, time::Duration};

use super::Site;
use crate::{client, protocol, record::Record, replica::Pace};

/// The bound of the deployment on withdrawn keys.
const REVOKE: Duration = Duration::from_millis(5000);
/// Deadline of the clients.
const DEADLINE: Duration = Duration::from_millis(4000);
const PACE: Pace = Pace { events: 1, gap: Duration::from_millis(1) };

fn config(version: u32, keys: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-1","host":"site.example","pathPrefix":"/bids/","kind":"unsafe","timeoutMs":4000,"goalMs":300,"priority":1,"service":"llm","maxAttempts":1,"public":false}}],"services":[{{"name":"llm","healthPath":"/health","maxConns":100,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"casa","apiKeys":[{keys}],"priority":1,"ratePerS":0,"burst":0}}]}}"#
    )
}

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let old = config(10, r#""kept-key","taken-key""#);
    let new = config(13, r#""kept-key""#);
    let mut site = Site::start(record, &old, "1", &[PACE; 2]);
    thread::sleep(Duration::from_millis(1500));
    let copy = site.store.revision();
    site.store.write(protocol::CONFIG_KEY, Some(&new));
    let acknowledged = record.elapsed();
    record.line("operator   version 13 is acknowledged: taken-key is withdrawn");
    thread::sleep(REVOKE + Duration::from_millis(1000));
    if trouble {
        site.store.stop();
        site.gateways[3].kill();
        record.line("gateway    4 is killed");
        thread::sleep(Duration::from_millis(500));
        site.store.restore(copy);
        site.replicas.iter().for_each(|replica| replica.forget_entry());
        site.store.resume();
        site.gateways[3].start(false);
        record.line("gateway    4 is started again");
    }
    let restored = record.elapsed();
    let mut is_rewritten = !trouble;
    let mut sent = 0;
    while record.elapsed() < restored + Duration::from_secs(5) {
        if !is_rewritten && record.elapsed() > restored + Duration::from_secs(2) {
            is_rewritten = true;
            site.store.write(protocol::CONFIG_KEY, Some(&new));
            record.line("operator   version 13 is written again");
        }
        for (n, front) in site.fronts().into_iter().enumerate() {
            for key in ["taken-key", "kept-key"] {
                sent += 1;
                let attempt = format!("{key}-{sent:03}");
                let headers = client::request_headers(&attempt, key, DEADLINE);
                let gateway = n + 1;
                record.line(&format!("client     {attempt} is sent to gateway {gateway}"));
                let answer = client::send(front, "/bids/1", &headers, "a bid");
                let shown =
                    answer.map_or_else(|e| e.to_string(), |a| format!("status {}", a.status()));
                record.line(&format!("client     {attempt} got {shown}"));
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    let mut runs = Vec::new();
    for replica in &site.replicas {
        runs.extend(replica.runs.lock().expect("lock").clone());
    }
    let kept = runs.iter().filter(|run| run.attempt.starts_with("kept-key")).count();
    record.line(&format!("{kept} requests with the key that is in force ran"));
    assert!(kept > 0, "no request was served");
    // All requests are sent later than the bound after the acknowledgement.
    let late = runs.iter().filter(|run| run.attempt.starts_with("taken-key"));
    let mut broken = 0;
    for run in late {
        broken += 1;
        let after = (run.at - acknowledged).as_secs_f64();
        record.line(&format!(
            "broken     {} ran at {} for tenant {} {after:.3} s after the key was taken away",
            run.attempt,
            run.replica,
            run.tenant.as_deref().unwrap_or("none")
        ));
    }
    broken == 0
}
