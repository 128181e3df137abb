//! Replicas crash one after the other and start again under their identifiers with newer software.

use std::{
    collections::BTreeSet,
    io::ErrorKind,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::world::{self, Client, Machines, Record, Runs, World};

const CONFIG: &str = r#"{"version":1,
 "routes":[
  {"name":"r1","host":"h.example","pathPrefix":"/ask/","kind":"streaming","timeoutMs":15000,
   "goalMs":400,"gapGoalMs":400,"priority":1,"service":"svc","maxAttempts":3,"resumable":true,
   "sessionAffinity":true}],
 "services":[{"name":"svc","healthPath":"/health","maxConns":360,"engine":{"stride":5}}],
 "tenants":[{"name":"t1","apiKeys":["k1"],"ratePerS":0,"burst":0}]}"#;
const MACHINES: usize = 2;
const REPLICAS: usize = 6;
const SLOTS: usize = 10;
const STREAMS: usize = 54;
const EVENTS: u32 = 58;
const EVENT_PERIOD: Duration = Duration::from_millis(180);
const DEADLINE: Duration = Duration::from_millis(15_000);
/// Time for which a replica is down after its crash.
const DOWN: Duration = Duration::from_millis(800);
/// Time from the start of a replica to its next write to the store; `heartbeatMs` is 1,200.
const WRITE_DELAY: Duration = Duration::from_millis(1000);
/// Time between the crashes of two replicas.
const GAP: Duration = Duration::from_millis(1100);
const CRASHES: usize = 2;
const MAX_RETRIES: usize = 3;

/// A machine on which one replica after the other runs, under the same identifier and address.
#[derive(Clone)]
struct Host {
    id: String,
    address: SocketAddr,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    is_up: Arc<AtomicBool>,
    record: Record,
    runs: Runs,
}

impl Host {
    fn new(world: &World, n: usize) -> (Host, TcpListener) {
        let listener = world::bind_free();
        let host = Host {
            id: format!("i-{n}"),
            address: listener.local_addr().unwrap(),
            connections: Arc::default(),
            is_up: Arc::default(),
            record: world.record.clone(),
            runs: world.runs.clone(),
        };
        (host, listener)
    }

    fn entry(&self, version: u32) -> String {
        format!(
            r#"{{"service":"svc","address":"{}","zone":"za","version":"{version}","slots":{SLOTS},"state":"ready","warmupLeftMs":0,"seq":1,"born":{}}}"#,
            self.address,
            1_790_000_000_000 + u64::from(version) * 1000
        )
    }

    /// Serves until the replica crashes.
    fn start(&self, listener: TcpListener, version: u32) {
        self.record.line(format!("{}: starts with version {version}", self.id));
        self.is_up.store(true, Ordering::SeqCst);
        listener.set_nonblocking(true).unwrap();
        let host = self.clone();
        thread::spawn(move || {
            while host.is_up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        host.connections.lock().unwrap().push(stream.try_clone().unwrap());
                        let host = host.clone();
                        thread::spawn(move || host.serve(stream, version));
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        thread::sleep(Duration::from_millis(1));
                    }
                    Err(_) => break,
                }
            }
        });
    }

    fn crash(&self) {
        self.record.line(format!("{}: crashes", self.id));
        self.is_up.store(false, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut stream: TcpStream, version: u32) {
        while let Ok(Some(request)) = world::read_request(&mut stream) {
            let id = request.id();
            if request.header("expected-replica").is_some_and(|expected| expected != self.id) {
                let head = format!("Attempt-Id: {id}\r\nNot-Executed: 1\r\n");
                if world::send_response(&mut stream, 421, &head, b"").is_err() {
                    return;
                }
                continue;
            }
            let after = request.header("last-event-id").and_then(|id| id.parse().ok());
            let after: u32 = after.unwrap_or(0);
            self.record.line(format!("{} v{version}: runs {id} after event {after}", self.id));
            let head = format!("Attempt-Id: {id}\r\nReplica-Signature: {}.v{version}\r\n", self.id);
            if world::send_stream_head(&mut stream, &head).is_err() {
                return;
            }
            for event in after + 1..=EVENTS {
                let text = format!("id: {event}\ndata: v{version} text {event}\n\n");
                if world::send_chunk(&mut stream, text.as_bytes()).is_err() {
                    return;
                }
                thread::sleep(EVENT_PERIOD);
            }
            if world::send_chunk(&mut stream, b"").is_err() {
                return;
            }
        }
    }
}

/// Follows one stream over the client's tries. Returns the versions of its events.
fn follow_stream(world: &World, machines: &Machines, n: usize) -> (bool, BTreeSet<String>) {
    let (began, first) = (Instant::now(), format!("{n:08x}00000001"));
    let mut versions = BTreeSet::new();
    let mut last = 0;
    let mut id = first.clone();
    for retry in 0..=MAX_RETRIES {
        let left = DEADLINE.saturating_sub(began.elapsed()).as_millis();
        let mut headers = format!(
            "Authorization: Bearer k1\r\nDeadline-Remaining: {left}\r\nModel: m\r\n\
             Token-Usage: 628,290\r\nPrompt-Prefix: aa:60,{n:x}:568\r\n"
        );
        if last > 0 {
            headers += &format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n");
        }
        // A retry reaches another machine.
        let address = machines.front((n + retry) % MACHINES);
        let sent = Client::connect(&world.record, address).and_then(|mut client| {
            client.send("POST", "/ask/1", &id, &headers, format!("question {n}").as_bytes())?;
            let head = world::read_head(&mut client.stream)?;
            Ok((client, head))
        });
        let mut wait = 0.0;
        if let Ok((mut client, Some(head))) = sent {
            let signature = head.header("replica-signature").unwrap_or("none").to_owned();
            world.record.line(format!("client: {id} gets {}, {signature}", head.status()));
            wait = head.header("retry-after").and_then(|after| after.parse().ok()).unwrap_or(0.0);
            let from = last + 1;
            while head.status() == 200 {
                let Ok(chunk) = world::read_chunk(&mut client.stream) else { break };
                if chunk.is_empty() {
                    world.record.line(format!("client: {id} is complete, events {from} to {last}"));
                    return (true, versions);
                }
                let text = String::from_utf8_lossy(&chunk).into_owned();
                for line in text.lines() {
                    if let Some(event) = line.strip_prefix("id: ") {
                        last = event.parse().unwrap_or(last);
                    }
                    if let Some(data) = line.strip_prefix("data: ") {
                        versions.insert(data.split(' ').next().unwrap_or("").to_owned());
                    }
                }
            }
            if head.status() == 200 {
                world.record.line(format!("client: {id} broke off, events {from} to {last}"));
            }
        }
        if began.elapsed() + Duration::from_secs_f64(wait) >= DEADLINE {
            break;
        }
        thread::sleep(Duration::from_secs_f64(wait));
        id = format!("{n:08x}0000001{retry}");
    }
    (false, versions)
}

pub fn run(world: &World) -> u8 {
    world.store.write("op/config", Some(CONFIG));
    let hosts: Vec<Host> = (0..REPLICAS)
        .map(|n| {
            let (host, listener) = Host::new(world, n);
            host.start(listener, 1);
            world.store.write(&format!("servers/{}", host.id), Some(&host.entry(1)));
            host
        })
        .collect();
    let machines = Machines::new(MACHINES as u8, &world.folder, &world.store);
    let _gateways: Vec<_> = (0..MACHINES).map(|n| machines.start(n, true)).collect();
    if !(0..MACHINES).all(|n| machines.wait_until_ready(n)) {
        return world::NOT_RUN;
    }
    thread::sleep(Duration::from_secs(5));
    let results: Vec<(bool, BTreeSet<String>)> = thread::scope(|scope| {
        let streams: Vec<_> = (0..STREAMS)
            .map(|n| {
                thread::sleep(Duration::from_millis(40));
                let machines = &machines;
                scope.spawn(move || follow_stream(world, machines, n))
            })
            .collect();
        thread::sleep(Duration::from_secs(1));
        for host in hosts.iter().take(CRASHES).filter(|_| world.has_trouble) {
            host.crash();
            let crashed_at = Instant::now();
            let host = host.clone();
            let store = world.store.clone();
            scope.spawn(move || {
                thread::sleep(DOWN);
                let listener = TcpListener::bind(host.address).unwrap();
                host.start(listener, 2);
                thread::sleep(WRITE_DELAY);
                store.write(&format!("servers/{}", host.id), Some(&host.entry(2)));
            });
            thread::sleep(GAP.saturating_sub(crashed_at.elapsed()));
        }
        streams.into_iter().map(|stream| stream.join().unwrap()).collect()
    });
    let complete = results.iter().filter(|(is_complete, _)| *is_complete).count();
    let joined = results.iter().filter(|(_, versions)| versions.len() > 1).count();
    world.record.line(format!(
        "of {STREAMS} streams {complete} are complete, {joined} hold events of two versions"
    ));
    match (joined, complete) {
        (_, 0) => world::NOT_RUN,
        (0..=2, _) => world::KEPT,
        _ => world::BROKEN,
    }
}
