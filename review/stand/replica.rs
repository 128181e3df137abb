//! Replicas: they answer plain requests and streams, and write their own entries in the store.

use std::{
    collections::HashSet,
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Message},
    listener::Listener,
    protocol,
    record::Record,
    store::Store,
};

/// Time between two writes of an entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Heartbeats of silence after which an entry is removed.
const MISSED_HEARTBEATS: u32 = 3;
/// Requests that run at once, and those that may wait.
const SLOTS: usize = 10;
const QUEUE: usize = 4;
/// Work of a plain request.
const PLAIN_WORK: Duration = Duration::from_millis(20);

/// Events of a stream and the time between two of them.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    pub events: u32,
    pub gap: Duration,
}

/// A request that a replica ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub attempt: String,
    pub tenant: Option<String>,
    pub replica: String,
}

struct State {
    version: String,
    born: u64,
    listener: Option<Listener>,
    is_draining: bool,
    /// Number of starts and ends so far.
    generation: u32,
    /// The entry that was written last, without `seq`, while it is in the store.
    written: Option<String>,
    seq: u64,
}

/// A fault of a replica: it sends a second answer to some requests, late, at the point where the next
/// response on the connection is expected.
#[derive(Default)]
struct Extra {
    /// The answer, and after how many answers the next request gets one too many.
    answer: Option<(String, u32)>,
    answered: u32,
    /// Callers' ends of the connections on which an answer is due.
    due: HashSet<SocketAddr>,
}

/// Requests that a replica has accepted and not ended.
#[derive(Default)]
struct Batch {
    /// In the order of their arrival. The first ones run, the others wait.
    attempts: Vec<String>,
    /// Runs that were preempted, with the time at which there is memory for them again.
    preempted: Vec<(String, Instant)>,
}

pub struct Replica {
    id: String,
    service: String,
    address: SocketAddr,
    pace: Pace,
    state: Mutex<State>,
    batch: Mutex<Batch>,
    extra: Mutex<Extra>,
    store: Arc<Store>,
    record: Arc<Record>,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

impl Replica {
    pub fn new(
        id: &str,
        service: &str,
        address: SocketAddr,
        pace: Pace,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Replica> {
        let state = State {
            version: String::new(),
            born: 0,
            listener: None,
            is_draining: false,
            generation: 0,
            written: None,
            seq: 0,
        };
        Arc::new(Replica {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            pace,
            state: Mutex::new(state),
            batch: Mutex::default(),
            extra: Mutex::default(),
            store: store.clone(),
            record: record.clone(),
            runs: Arc::default(),
        })
    }

    /// Starts a run, which writes its entry after `first_beat` and then with each heartbeat.
    pub fn start(self: &Arc<Replica>, version: &str, first_beat: Duration) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("time").as_millis() as u64;
        let replica = self.clone();
        let version_of_run = version.to_owned();
        let handler = move |request: &Message, stream: &mut TcpStream| {
            replica.answer(request, stream, &version_of_run)
        };
        let mut state = self.state.lock().expect("lock");
        state.generation += 1;
        state.version = version.to_owned();
        (state.born, state.seq, state.is_draining) = (born, 0, false);
        state.listener = Some(Listener::start(self.address, Arc::new(handler)));
        self.record.line(&format!("{}        starts, version {version}, born {born}", self.id));
        let generation = state.generation;
        drop(state);
        if first_beat.is_zero() {
            self.beat();
        }
        let replica = self.clone();
        thread::spawn(move || {
            thread::sleep(if first_beat.is_zero() { HEARTBEAT } else { first_beat });
            while replica.state.lock().expect("lock").generation == generation {
                replica.beat();
                thread::sleep(HEARTBEAT);
            }
        });
    }

    /// Ends the run as a crash does: all connections are closed, and the store is told nothing. It
    /// removes the entry after some heartbeats of silence.
    pub fn crash(self: &Arc<Replica>) {
        let mut state = self.state.lock().expect("lock");
        let Some(listener) = state.listener.take() else { return };
        self.record.line(&format!("{}        crashes", self.id));
        listener.end();
        state.generation += 1;
        let (generation, replica) = (state.generation, self.clone());
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * MISSED_HEARTBEATS);
            let mut state = replica.state.lock().expect("lock");
            if state.generation == generation && state.written.take().is_some() {
                replica.store.write(&replica.key(), None);
            }
        });
    }

    /// Reports that the replica drains, and ends the run after some time.
    pub fn leave(self: &Arc<Replica>, after: Duration) {
        self.state.lock().expect("lock").is_draining = true;
        self.beat();
        thread::sleep(after);
        let mut state = self.state.lock().expect("lock");
        let Some(listener) = state.listener.take() else { return };
        self.record.line(&format!("{}        leaves", self.id));
        state.generation += 1;
        state.written = None;
        listener.end();
        self.store.write(&self.key(), None);
    }

    /// Writes the entry if more than `seq` changed.
    fn beat(&self) {
        let mut state = self.state.lock().expect("lock");
        state.seq += 1;
        let State { version, born, seq, .. } = &*state;
        let stage = if state.is_draining { "draining" } else { "ready" };
        let fields = format!(
            r#""service":"{}","address":"{}","zone":"zone-1","version":"{version}","slots":{SLOTS},"state":"{stage}","warmupLeftMs":0,"born":{born}"#,
            self.service, self.address
        );
        let entry = format!(r#"{{{fields},"seq":{seq}}}"#);
        if state.written.as_ref() != Some(&fields) {
            self.store.write(&self.key(), Some(&entry));
            state.written = Some(fields);
        }
    }

    /// Returns the number of requests that were accepted and have not ended.
    pub fn open_count(&self) -> usize {
        self.batch.lock().expect("lock").attempts.len()
    }

    /// Memory runs out: the newest requests that run are preempted. They are read again from the
    /// start when there is memory for them.
    pub fn preempt(&self, count: usize, time: Duration) {
        let mut batch = self.batch.lock().expect("lock");
        let newest: Vec<String> =
            batch.attempts.iter().take(SLOTS).rev().take(count).cloned().collect();
        for attempt in newest {
            let ms = time.as_millis();
            self.record.line(&format!("{}        preempts {attempt} for {ms} ms", self.id));
            batch.preempted.push((attempt, Instant::now() + time));
        }
    }

    /// Writes the entry again, which the store has lost.
    pub fn forget_entry(&self) {
        self.state.lock().expect("lock").written = None;
    }

    /// From now on, one answer of `every` is followed by another one. `None` ends this.
    pub fn send_extra(&self, answer: Option<(&str, u32)>) {
        let mut extra = self.extra.lock().expect("lock");
        extra.answer = answer.map(|(text, every)| (text.to_owned(), every));
    }

    /// Sends the answer that is due on a connection.
    fn send_due(&self, stream: &mut TcpStream, attempt: &str) {
        let Ok(caller) = stream.peer_addr() else { return };
        let mut extra = self.extra.lock().expect("lock");
        if !extra.due.remove(&caller) {
            return;
        }
        if let Some((answer, _)) = &extra.answer {
            let shown = answer.replace("\r\n", "; ");
            self.record.line(&format!("{}        sends an extra answer: {shown}", self.id));
            let _ = stream.write_all(answer.as_bytes());
            self.record.line(&format!("{}        it is read as the one to {attempt}", self.id));
        }
    }

    /// Counts an answer.
    fn count_answer(&self, stream: &TcpStream) {
        let Ok(caller) = stream.peer_addr() else { return };
        let mut extra = self.extra.lock().expect("lock");
        extra.answered += 1;
        if extra.answer.as_ref().is_some_and(|(_, every)| extra.answered % every == 0) {
            extra.due.insert(caller);
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream, version: &str) -> bool {
        let attempt = request.header(protocol::ATTEMPT_ID).unwrap_or_default().to_owned();
        if request.header(protocol::EXPECTED_REPLICA).is_some_and(|id| id != self.id) {
            let headers = format!("Replica-Id: {}\r\n", self.id);
            return http::respond(stream, 421, &headers, "").is_ok();
        }
        if attempt.is_empty() {
            let headers = format!("{}: 1\r\n", protocol::NOT_EXECUTED);
            return http::respond(stream, 400, &headers, "").is_ok();
        }
        if !self.accept(&attempt) {
            self.record.line(&format!("{}        is full and rejects {attempt}", self.id));
            return stream.write_all(protocol::REJECTION.as_bytes()).is_ok();
        }
        self.send_due(stream, &attempt);
        let is_kept = self.run(request, stream, &attempt, version);
        self.count_answer(stream);
        let mut batch = self.batch.lock().expect("lock");
        batch.attempts.retain(|other| *other != attempt);
        batch.preempted.retain(|(other, _)| *other != attempt);
        is_kept
    }

    /// Admits a request, unless the slots and the queue are full.
    fn accept(&self, attempt: &str) -> bool {
        let mut batch = self.batch.lock().expect("lock");
        let is_accepted = batch.attempts.len() < SLOTS + QUEUE;
        if is_accepted {
            batch.attempts.push(attempt.to_owned());
        }
        is_accepted
    }

    /// Waits until a request may go on.
    fn wait_for_turn(&self, attempt: &str) {
        loop {
            let batch = self.batch.lock().expect("lock");
            let position = batch.attempts.iter().position(|other| other == attempt);
            let is_waiting = position.is_some_and(|position| position >= SLOTS);
            let mut preempted = batch.preempted.iter();
            let is_preempted =
                preempted.any(|(other, until)| other == attempt && Instant::now() < *until);
            if !is_waiting && !is_preempted {
                return;
            }
            drop(batch);
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn run(&self, request: &Message, stream: &mut TcpStream, attempt: &str, version: &str) -> bool {
        self.wait_for_turn(attempt);
        let last = request.header("last-event-id").and_then(|id| id.parse::<u32>().ok());
        let run = Run {
            at: self.record.elapsed(),
            attempt: attempt.to_owned(),
            tenant: request.header("tenant").map(str::to_owned),
            replica: self.id.clone(),
        };
        self.record.line(&format!(
            "{}        runs {attempt}, version {version}, tenant {}, Last-Event-Id {}",
            self.id,
            run.tenant.as_deref().unwrap_or("none"),
            last.map_or("none".to_owned(), |id| id.to_string()),
        ));
        self.runs.lock().expect("lock").push(run);
        let (id, signature) = (protocol::ATTEMPT_ID, protocol::REPLICA_SIGNATURE);
        let head = format!("{id}: {attempt}\r\n{signature}: {}.{version}\r\n", self.id);
        if request.header("model").is_none() {
            thread::sleep(PLAIN_WORK);
            return http::respond(stream, 200, &head, &format!("done by {}", self.id)).is_ok();
        }
        let sent = self.send_events(stream, &head, last.unwrap_or(0), attempt, version);
        let end = if sent.is_ok() { "ends" } else { "drops, since its connection is closed," };
        self.record.line(&format!("{}        {end} {attempt}", self.id));
        sent.is_ok()
    }

    fn send_events(
        &self,
        stream: &mut TcpStream,
        head: &str,
        last: u32,
        attempt: &str,
        version: &str,
    ) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        thread::sleep(Duration::from_millis(20));
        stream.write_all(head.as_bytes())?;
        for n in last + 1..=self.pace.events {
            self.wait_for_turn(attempt);
            let id = &self.id;
            http::send_chunk(stream, &format!("id: {n}\ndata: {version} {id} piece {n}\n\n"))?;
            thread::sleep(self.pace.gap);
        }
        http::send_chunk(stream, "")
    }
}
