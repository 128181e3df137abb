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
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);

const BOTH_KEYS: &str = r#""kept-key","taken-key""#;
const KEPT_KEY: &str = r#""kept-key""#;

fn config(version: u32, keys: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-1","host":"site.example","pathPrefix":"/bids/","kind":"unsafe","timeoutMs":4000,"goalMs":300,"priority":1,"service":"llm","maxAttempts":1,"public":false}}],"services":[{{"name":"llm","healthPath":"/health","maxConns":100,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"casa","apiKeys":[{keys}],"priority":1,"ratePerS":0,"burst":0}}]}}"#
    )
}

fn publish(site: &Site, version: u32, keys: &str) {
    site.store.write(protocol::CONFIG_KEY, Some(&config(version, keys)));
}

/// One gateway is killed while the store is away, and started again when it is back.
pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let mut site = Site::start(record, &config(10, BOTH_KEYS), "1", &[PACE; 2]);
    thread::sleep(Duration::from_millis(1500));
    let copy = site.store.revision();
    publish(&site, 13, KEPT_KEY);
    let acknowledged = record.elapsed();
    record.line("operator   version 13 is acknowledged: taken-key is withdrawn");
    thread::sleep(REVOKE + Duration::from_millis(1000));
    if trouble {
        site.store.stop();
        site.gateways[3].kill();
        record.line("gateway    4 is killed");
        thread::sleep(AWAY);
        restore(&site, copy);
        site.gateways[3].start(false);
        record.line("gateway    4 is started again");
    }
    let back = record.elapsed();
    let mut clients = Clients::default();
    clients.send_until(&site, record, back + Duration::from_secs(2));
    if trouble {
        publish(&site, 13, KEPT_KEY);
        record.line("operator   version 13 is written again");
    }
    clients.send_until(&site, record, back + Duration::from_secs(5));
    has_held(&site, record, acknowledged)
}

/// Brings the store back from a copy. Replicas write their entries again with the next heartbeat.
fn restore(site: &Site, copy: u64) {
    site.store.restore(copy);
    site.replicas.iter().for_each(|replica| replica.forget_entry());
    site.store.resume();
}

/// Clients with the key that was taken away and with one that is in force.
#[derive(Default)]
struct Clients {
    sent: u32,
}

impl Clients {
    fn send_until(&mut self, site: &Site, record: &Record, end: Duration) {
        while record.elapsed() < end {
            for (n, front) in site.fronts().into_iter().enumerate() {
                for key in ["taken-key", "kept-key"] {
                    self.sent += 1;
                    let attempt = format!("{key}-{:03}", self.sent);
                    let gateway = n + 1;
                    record.line(&format!("client     {attempt} is sent to gateway {gateway}"));
                    let headers = client::request_headers(&attempt, key, DEADLINE);
                    let answer = client::send(front, "/bids/1", &headers, "a bid");
                    let shown = answer.map_or_else(
                        |error| error.to_string(),
                        |a| format!("status {}", a.status()),
                    );
                    record.line(&format!("client     {attempt} got {shown}"));
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Returns whether no request with the key that was taken away ran. All are sent later than the bound
/// after the acknowledgement.
fn has_held(site: &Site, record: &Record, acknowledged: Duration) -> bool {
    let mut runs = Vec::new();
    for replica in &site.replicas {
        runs.extend(replica.runs.lock().expect("lock").clone());
    }
    let kept = runs.iter().filter(|run| run.attempt.starts_with("kept-key")).count();
    record.line(&format!("{kept} requests with the key that is in force ran"));
    assert!(kept > 0, "no request was served");
    let late = runs.iter().filter(|run| run.attempt.starts_with("taken-key"));
    let mut broken = 0;
    for run in late {
        broken += 1;
        let after = (run.at - acknowledged).as_secs_f64();
        assert!(after > REVOKE.as_secs_f64(), "the request was sent too early");
        record.line(&format!(
            "broken     {} ran at {} for tenant {} {after:.3} s after the key was taken away",
            run.attempt,
            run.replica,
            run.tenant.as_deref().unwrap_or("none")
        ));
    }
    broken == 0
}
