//! A replica is killed while it writes streams that end with their connection.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::world::{self, Client, Machines, SIGKILL, World};

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
const STREAMS: usize = 42;
const EVENTS: u32 = 58;
const EVENT_PERIOD: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_millis(15_000);
const MAX_RETRIES: usize = 2;

/// Runs a replica as a process of its own: `replica ID`. It prints its address and what it runs.
pub fn run_replica() -> ! {
    let id = std::env::args().nth(2).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    println!("{}", listener.local_addr().unwrap());
    world::serve(listener, move |request, stream| {
        let attempt = request.id();
        if request.header("expected-replica").is_some_and(|expected| expected != id) {
            let head = format!("Attempt-Id: {attempt}\r\nNot-Executed: 1\r\n");
            world::send_response(stream, 421, &head, b"")?;
            return Ok(true);
        }
        let after = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        println!("{id}: runs {attempt} after event {after}");
        // Neither a length nor chunks.
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nReplica-Signature: {id}.1\r\n\
             Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for event in after + 1..=EVENTS {
            stream.write_all(format!("id: {event}\ndata: text {event}\n\n").as_bytes())?;
            thread::sleep(EVENT_PERIOD);
        }
        println!("{id}: has ended {attempt} with event {EVENTS}");
        Ok(false)
    });
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

struct Replica {
    id: String,
    child: Child,
}

impl Replica {
    fn start(world: &World, n: usize) -> Replica {
        let id = format!("i-{n}");
        let program = std::env::current_exe().unwrap();
        let mut command = Command::new(program);
        command.args(["replica", &id]).stdin(Stdio::null()).stdout(Stdio::piped());
        world::end_with_parent(&mut command);
        let mut child = command.spawn().unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let address: SocketAddr = lines.next().unwrap().unwrap().parse().unwrap();
        let record = world.record.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.line(line);
            }
        });
        let entry = format!(
            r#"{{"service":"svc","address":"{address}","zone":"za","version":"1","slots":{SLOTS},"state":"ready","warmupLeftMs":0,"seq":1,"born":1790000000000}}"#
        );
        world.store.write(&format!("servers/{id}"), Some(&entry));
        Replica { id, child }
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Follows one stream over the client's tries. Returns its last event and whether it ended as
/// complete.
fn follow_stream(world: &World, machines: &Machines, n: usize) -> (u32, bool) {
    let (began, first) = (Instant::now(), format!("{n:08x}00000001"));
    let (mut last, mut id) = (0, first.clone());
    for retry in 0..=MAX_RETRIES {
        let left = DEADLINE.saturating_sub(began.elapsed()).as_millis();
        let mut headers = format!(
            "Authorization: Bearer k1\r\nDeadline-Remaining: {left}\r\nModel: m\r\n\
             Token-Usage: 628,290\r\nPrompt-Prefix: aa:60,{n:x}:568\r\n"
        );
        if last > 0 {
            headers += &format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n");
        }
        let address = machines.front((n + retry) % MACHINES);
        let sent = Client::connect(&world.record, address).and_then(|mut client| {
            client.send("POST", "/ask/1", &id, &headers, format!("question {n}").as_bytes())?;
            let head = world::read_head(&mut client.stream)?;
            Ok((client, head))
        });
        let mut wait = 0.0;
        if let Ok((mut client, Some(head))) = sent {
            wait = head.header("retry-after").and_then(|after| after.parse().ok()).unwrap_or(0.0);
            let signature = head.header("replica-signature").unwrap_or("none").to_owned();
            while head.status() == 200 {
                match world::read_chunk(&mut client.stream) {
                    Ok(chunk) if chunk.is_empty() => {
                        world.record.line(format!(
                            "client: {id} gets the end of the answer of {signature} after event {last}"
                        ));
                        return (last, true);
                    }
                    Ok(chunk) => {
                        let text = String::from_utf8_lossy(&chunk).into_owned();
                        for event in text.lines().filter_map(|line| line.strip_prefix("id: ")) {
                            last = event.parse().unwrap_or(last);
                        }
                    }
                    Err(error) => {
                        world.record.line(format!(
                            "client: {id} is broken off after event {last}: {error}"
                        ));
                        break;
                    }
                }
            }
        }
        if began.elapsed() + Duration::from_secs_f64(wait) >= DEADLINE {
            break;
        }
        thread::sleep(Duration::from_secs_f64(wait));
        id = format!("{n:08x}0000001{retry}");
    }
    (last, false)
}

pub fn run(world: &World) -> u8 {
    world.store.write("op/config", Some(CONFIG));
    let replicas: Vec<Replica> = (0..REPLICAS).map(|n| Replica::start(world, n)).collect();
    let machines = Machines::new(MACHINES as u8, &world.folder, &world.store);
    let _gateways: Vec<_> = (0..MACHINES).map(|n| machines.start(n, true)).collect();
    if !(0..MACHINES).all(|n| machines.wait_until_ready(n)) {
        return world::NOT_RUN;
    }
    thread::sleep(Duration::from_secs(4));
    let results: Vec<(u32, bool)> = thread::scope(|scope| {
        let streams: Vec<_> = (0..STREAMS)
            .map(|n| {
                thread::sleep(Duration::from_millis(40));
                let machines = &machines;
                scope.spawn(move || follow_stream(world, machines, n))
            })
            .collect();
        thread::sleep(Duration::from_secs(1));
        if world.has_trouble {
            world.record.line(format!("{}: is killed", replicas[0].id));
            world::signal(replicas[0].child.id(), SIGKILL);
        }
        streams.into_iter().map(|stream| stream.join().unwrap()).collect()
    });
    let whole = results.iter().filter(|(last, is_end)| *is_end && *last == EVENTS).count();
    let short = results.iter().filter(|(last, is_end)| *is_end && *last < EVENTS).count();
    world.record.line(format!(
        "of {STREAMS} streams {whole} are whole, {short} ended as complete before event {EVENTS}"
    ));
    match (short, whole) {
        (_, 0) => world::NOT_RUN,
        (0, _) => world::KEPT,
        _ => world::BROKEN,
    }
}
