//! All gateways are killed and start again. Their clients take up the streams that broke off.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::world::{self, Client, Gateway, Machines, Replica, SIGKILL, World};

const CONFIG: &str = r#"{"version":1,
 "routes":[
  {"name":"r1","host":"h.example","pathPrefix":"/ask/","kind":"streaming","timeoutMs":15000,
   "goalMs":400,"gapGoalMs":400,"priority":1,"service":"svc","maxAttempts":3,"resumable":true,
   "sessionAffinity":true}],
 "services":[{"name":"svc","healthPath":"/health","maxConns":360,"engine":{"stride":5}}],
 "tenants":[{"name":"t1","apiKeys":["k1"],"ratePerS":0,"burst":0}]}"#;
const MACHINES: usize = 2;
const STREAMS: usize = 30;
const EVENTS: u32 = 58;
const EVENT_PERIOD: Duration = Duration::from_millis(200);
const DEADLINE: Duration = Duration::from_millis(15_000);
/// Time from the kill to the start of the processes.
const DOWN: Duration = Duration::from_millis(1000);
/// `contactMs`.
const CONTACT: Duration = Duration::from_millis(3000);
const MAX_RETRIES: usize = 4;

fn headers(began: Instant, more: &str) -> String {
    let left = DEADLINE.saturating_sub(began.elapsed()).as_millis();
    format!(
        "Authorization: Bearer k1\r\nDeadline-Remaining: {left}\r\nModel: m\r\n\
         Token-Usage: 628,290\r\nPrompt-Prefix: aa:60,{:x}:568\r\n{more}",
        began.elapsed().as_nanos()
    )
}

/// Reads a stream up to its end, or for `limit`. Returns the last event's identifier and whether the
/// stream ended as a whole.
fn read_events(client: &mut Client, last: &mut u32, limit: Instant) -> bool {
    loop {
        if Instant::now() >= limit {
            return false;
        }
        match world::read_chunk(&mut client.stream) {
            Ok(chunk) if chunk.is_empty() => return true,
            Ok(chunk) => {
                let text = String::from_utf8_lossy(&chunk).into_owned();
                for id in text.lines().filter_map(|line| line.strip_prefix("id: ")) {
                    *last = id.parse().unwrap_or(*last);
                }
            }
            Err(_) => return false,
        }
    }
}

/// What happened to a stream that was taken up at a machine in touch.
#[derive(Clone, Copy, Default)]
struct Outcome {
    was_taken_up: bool,
    went_on: bool,
}

fn follow_stream(
    world: &World,
    machines: &Machines,
    n: usize,
    breaks_at: Instant,
    back_at: Instant,
) -> Outcome {
    let (began, first) = (Instant::now(), format!("{n:08x}00000001"));
    let address = machines.front(n % MACHINES);
    let Ok(mut client) = Client::connect(&world.record, address) else { return Outcome::default() };
    let _ = client.send("POST", "/ask/1", &first, &headers(began, ""), b"a question");
    let Ok(Some(head)) = world::read_head(&mut client.stream) else { return Outcome::default() };
    let mut last = 0;
    if head.status() != 200 {
        return Outcome::default();
    }
    // Without the disruption, the client itself loses its connection.
    read_events(&mut client, &mut last, breaks_at);
    drop(client);
    world.record.line(format!("client: {first} broke off after event {last}"));
    let mut outcome = Outcome::default();
    thread::sleep(back_at.saturating_duration_since(Instant::now()));
    for retry in 0..MAX_RETRIES {
        let id = format!("{n:08x}0000001{retry}");
        let more = format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n");
        let is_in_touch = Instant::now() >= back_at + CONTACT;
        let address = machines.front((n + 1 + retry) % MACHINES);
        let sent = Client::connect(&world.record, address).and_then(|mut client| {
            client.send("POST", "/ask/1", &id, &headers(began, &more), b"a question")?;
            Ok(client)
        });
        let mut wait = 1.0;
        if let Ok(mut client) = sent {
            outcome.was_taken_up |= is_in_touch;
            if let Ok(Some(head)) = world::read_head(&mut client.stream) {
                let before = last;
                if head.status() == 200 {
                    let is_whole = read_events(&mut client, &mut last, began + DEADLINE);
                    world.record.line(format!(
                        "client: {id} gets 200, events {} to {last}, whole: {is_whole}",
                        before + 1
                    ));
                    outcome.went_on |= last > before;
                    return Outcome { was_taken_up: true, ..outcome };
                }
                let after = head.header("retry-after").and_then(|after| after.parse().ok());
                wait = after.unwrap_or(wait);
                world.record.line(format!(
                    "client: {id} gets {}, Retry-After {wait}, in touch: {is_in_touch}",
                    head.status()
                ));
            }
        }
        if began.elapsed() + Duration::from_secs_f64(wait) >= DEADLINE {
            break;
        }
        thread::sleep(Duration::from_secs_f64(wait));
    }
    outcome
}

pub fn run(world: &World) -> u8 {
    world.store.write("op/config", Some(CONFIG));
    for n in 0..4 {
        let replica =
            Replica::start(&world.record, &world.runs, &format!("i-{n}"), "svc", "1", respond);
        replica.register(&world.store, "ready");
    }
    let machines = Machines::new(MACHINES as u8, &world.folder, &world.store);
    let start = |is_first| (0..MACHINES).map(|n| machines.start(n, is_first)).collect();
    let mut gateways: Vec<Gateway> = start(true);
    if !(0..MACHINES).all(|n| machines.wait_until_ready(n)) {
        return world::NOT_RUN;
    }
    thread::sleep(Duration::from_secs(10));
    let breaks_at = Instant::now() + Duration::from_secs(3);
    let back_at = breaks_at + if world.has_trouble { DOWN } else { Duration::ZERO };
    let (outcomes, began) = thread::scope(|scope| {
        let streams: Vec<_> = (0..STREAMS)
            .map(|n| {
                let machines = &machines;
                scope.spawn(move || follow_stream(world, machines, n, breaks_at, back_at))
            })
            .collect();
        thread::sleep(breaks_at.saturating_duration_since(Instant::now()));
        if world.has_trouble {
            for gateway in &mut gateways {
                gateway.signal(SIGKILL);
            }
            for gateway in &mut gateways {
                gateway.wait(Duration::from_secs(5));
            }
            thread::sleep(back_at.saturating_duration_since(Instant::now()));
            gateways = start(false);
        }
        // New streams, at machines in touch.
        thread::sleep((back_at + CONTACT).saturating_duration_since(Instant::now()));
        let new: Vec<_> = (0..STREAMS)
            .map(|n| {
                let address = machines.front(n % MACHINES);
                thread::sleep(Duration::from_millis(100));
                scope.spawn(move || {
                    let id = format!("{n:08x}00000002");
                    let now = Instant::now();
                    let mut client = Client::connect(&world.record, address).ok()?;
                    client.send("POST", "/ask/1", &id, &headers(now, ""), b"new").ok()?;
                    let head = world::read_head(&mut client.stream).ok()??;
                    let mut last = 0;
                    if head.status() == 200 {
                        read_events(&mut client, &mut last, now + Duration::from_millis(600));
                    }
                    let status = head.status();
                    world.record.line(format!("client: {id} gets {status} and event {last}"));
                    Some(last > 0)
                })
            })
            .collect();
        let began = new.into_iter().filter_map(|new| new.join().unwrap());
        let began = began.filter(|has_begun| *has_begun).count();
        let outcomes: Vec<Outcome> =
            streams.into_iter().map(|stream| stream.join().unwrap()).collect();
        (outcomes, began)
    });
    let taken_up = outcomes.iter().filter(|outcome| outcome.was_taken_up).count();
    let went_on = outcomes.iter().filter(|outcome| outcome.was_taken_up && outcome.went_on).count();
    world.record.line(format!(
        "of {taken_up} streams that were taken up at machines in touch, {went_on} went on; of \
         {STREAMS} new ones, {began} began"
    ));
    if taken_up < 12 || began < 12 {
        return world::NOT_RUN;
    }
    let (share, new_share) = (went_on as f64 / taken_up as f64, began as f64 / STREAMS as f64);
    if share < new_share / 2.0 { world::BROKEN } else { world::KEPT }
}

/// Writes the events of a stream after the one that the request names.
fn respond(
    it: &Replica,
    request: &world::Message,
    stream: &mut std::net::TcpStream,
) -> std::io::Result<bool> {
    it.begin(request);
    let last: u32 = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    world::send_stream_head(stream, &it.headers(request))?;
    for id in last + 1..=EVENTS {
        let event = format!("id: {id}\ndata: text {id}\n\n");
        if let Err(error) = world::send_chunk(stream, event.as_bytes()) {
            it.log(format!("{} was cut before event {id}: {error}", request.id()));
            return Err(error);
        }
        thread::sleep(EVENT_PERIOD);
    }
    world::send_chunk(stream, b"")?;
    it.log(format!("{} ended", request.id()));
    Ok(true)
}
