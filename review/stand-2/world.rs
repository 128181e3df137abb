//! Stand-ins for the platform's store, replicas and clients, and the control of gateway processes.
//! Only the standard library is used, so that `rustc` alone builds it.

use std::{
    collections::HashMap,
    fs::{self, File},
    io::{self, Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

/// Lets a process end with the one that starts it.
pub fn end_with_parent(command: &mut Command) {
    const PR_SET_PDEATHSIG: i32 = 1;
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
            Ok(())
        });
    }
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Sends a signal to a process that the case started.
pub fn signal(pid: u32, number: i32) {
    unsafe { kill(pid as i32, number) };
}

/// Writes what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> io::Result<Record> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record { began: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    pub fn ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8} ms  {}\n", self.ms(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Head of a message, with header names in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn id(&self) -> String {
        self.header("attempt-id").unwrap_or("").to_owned()
    }
}

/// Reads the head of a message. Returns `None` if the connection ends before.
pub fn read_head(stream: &mut TcpStream) -> io::Result<Option<Message>> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return Ok(None);
        }
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let mut lines = text.split("\r\n");
    let first_line = lines.next().unwrap_or("").to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    Ok(Some(Message { first_line, headers, body: Vec::new() }))
}

fn read_exactly(stream: &mut TcpStream, len: usize) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; len];
    stream.read_exact(&mut bytes)?;
    Ok(bytes)
}

/// Reads one chunk; an empty one is the last.
pub fn read_chunk(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut line = Vec::new();
    while !line.ends_with(b"\r\n") {
        line.extend(read_exactly(stream, 1)?);
    }
    let text = String::from_utf8_lossy(&line).trim().to_owned();
    let len = usize::from_str_radix(&text, 16).map_err(io::Error::other)?;
    let chunk = read_exactly(stream, len)?;
    read_exactly(stream, 2)?;
    Ok(chunk)
}

/// Reads a whole request.
pub fn read_request(stream: &mut TcpStream) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(stream)? else { return Ok(None) };
    if let Some(len) = message.header("content-length") {
        let len = len.parse().map_err(io::Error::other)?;
        message.body = read_exactly(stream, len)?;
    } else if message.header("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(stream)?;
            if chunk.is_empty() {
                break;
            }
            message.body.extend(chunk);
        }
    }
    Ok(Some(message))
}

/// Serves each connection on a thread of its own. `respond` returns whether it stays open.
pub fn serve(
    listener: TcpListener,
    respond: impl Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
) -> SocketAddr {
    let address = listener.local_addr().unwrap();
    let respond = Arc::new(respond);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let respond = respond.clone();
            thread::spawn(move || {
                let mut stream = stream;
                let _ = stream.set_nodelay(true);
                while let Ok(Some(request)) = read_request(&mut stream) {
                    if !matches!(respond(&request, &mut stream), Ok(true)) {
                        break;
                    }
                }
            });
        }
    });
    address
}

pub fn bind_free() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// Returns a port that is free at all these addresses.
fn free_port(ips: &[IpAddr]) -> u16 {
    loop {
        let port = bind_free().local_addr().unwrap().port();
        let is_free = |ip: &IpAddr| {
            let address = SocketAddr::new(*ip, port);
            TcpListener::bind(address).is_ok() && std::net::UdpSocket::bind(address).is_ok()
        };
        if ips.iter().all(is_free) {
            return port;
        }
    }
}

/// Sends a response with a length.
pub fn send_response(
    stream: &mut TcpStream,
    status: u16,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    let mut text =
        format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len())
            .into_bytes();
    text.extend_from_slice(body);
    stream.write_all(&text)
}

/// Sends the head of a chunked event stream of a replica.
pub fn send_stream_head(stream: &mut TcpStream, headers: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())
}

pub fn send_chunk(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let mut text = format!("{:x}\r\n", bytes.len()).into_bytes();
    text.extend_from_slice(bytes);
    text.extend_from_slice(b"\r\n");
    stream.write_all(&text)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = (0..3).fold(0u32, |word, n| word << 8 | u32::from(*part.get(n).unwrap_or(&0)));
        for n in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * n)) as usize & 63] as char;
            text.push(if n <= part.len() { digit } else { '=' });
        }
    }
    text
}

/// The platform's store. It is linearizable and keeps its whole history.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<StoreState>>,
    record: Record,
    pub address: SocketAddr,
}

#[derive(Default)]
struct StoreState {
    /// Key, value (`None` for a removal) and revision of each change.
    changes: Vec<(String, Option<String>, u64)>,
    era: u64,
    is_down: bool,
}

impl Store {
    pub fn start(record: &Record) -> Store {
        let listener = bind_free();
        let address = listener.local_addr().unwrap();
        let state = StoreState { era: 1, ..StoreState::default() };
        let state = Arc::new(Mutex::new(state));
        let store = Store { state, record: record.clone(), address };
        let served = store.clone();
        serve(listener, move |request, stream| served.respond(request, stream));
        store
    }

    /// Writes an item, or removes it (`None`). The return is the acknowledgement.
    pub fn write(&self, key: &str, value: Option<&str>) {
        let mut state = self.state.lock().unwrap();
        let revision = state.changes.last().map_or(1, |(_, _, revision)| revision + 1);
        state.changes.push((key.to_owned(), value.map(str::to_owned), revision));
        drop(state);
        let shown = value.map(|value| value.split_whitespace().collect::<Vec<_>>().join(" "));
        let shown: String = shown.unwrap_or("(removed)".into()).chars().take(200).collect();
        self.record.line(format!("store: acknowledged {key} at revision {revision}: {shown}"));
    }

    /// Turns all calls away with 503, or serves again.
    pub fn set_down(&self, is_down: bool) {
        self.state.lock().unwrap().is_down = is_down;
        self.record.line(format!("store: {}", if is_down { "down" } else { "up" }));
    }

    pub fn revision(&self) -> u64 {
        self.state.lock().unwrap().changes.last().map_or(0, |(_, _, revision)| *revision)
    }

    /// Comes back from a copy with the changes up to `revision`, in a new era.
    pub fn restore(&self, revision: u64) {
        let mut state = self.state.lock().unwrap();
        state.changes.retain(|(_, _, at)| *at <= revision);
        state.era += 1;
        let era = state.era;
        drop(state);
        self.record.line(format!("store: back from a copy of revision {revision}, era {era}"));
    }

    fn respond(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let path = request.path().to_owned();
        let number = |name: &str| {
            let rest = path.split(name).nth(1).unwrap_or("0");
            let end = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
            rest[..end].parse::<u64>().unwrap_or(0)
        };
        let deadline = Instant::now() + Duration::from_millis(number("waitMs="));
        let era_at_start = self.state.lock().unwrap().era;
        loop {
            let state = self.state.lock().unwrap();
            let era = format!("Store-Era: {}\r\n", state.era);
            if state.is_down {
                drop(state);
                send_response(stream, 503, &era, b"")?;
                return Ok(true);
            }
            if state.era != era_at_start {
                return Ok(false);
            }
            let at = state.changes.last().map_or(0, |(_, _, revision)| *revision);
            if path.starts_with("/-/kv-range") {
                let mut items: HashMap<&str, String> = HashMap::new();
                let mut keys = Vec::new();
                for (key, value, revision) in &state.changes {
                    keys.retain(|known| known != key);
                    if value.is_some() {
                        keys.push(key.clone());
                    }
                    items.insert(key, show_item(key, value.as_deref(), *revision));
                }
                keys.sort();
                let items: Vec<String> =
                    keys.iter().map(|key| items[key.as_str()].clone()).collect();
                let body =
                    format!(r#"{{"items":[{}],"hasMore":false,"at":{at}}}"#, items.join(","));
                drop(state);
                send_response(stream, 200, &era, body.as_bytes())?;
                return Ok(true);
            }
            let after = number("after=");
            if after > at {
                drop(state);
                send_response(stream, 410, &era, b"")?;
                return Ok(true);
            }
            let events: Vec<String> = state
                .changes
                .iter()
                .filter(|(_, _, revision)| *revision > after)
                .map(|(key, value, revision)| show_item(key, value.as_deref(), *revision))
                .collect();
            drop(state);
            if !events.is_empty() || Instant::now() >= deadline {
                let body = format!(r#"{{"events":[{}],"at":{at}}}"#, events.join(","));
                send_response(stream, 200, &era, body.as_bytes())?;
                return Ok(true);
            }
            thread::sleep(Duration::from_millis(2));
        }
    }
}

fn show_item(key: &str, value: Option<&str>, revision: u64) -> String {
    match value {
        Some(value) => format!(
            r#"{{"key":"{key}","value":"{}","revision":{revision},"created":1,"lease":0}}"#,
            base64(value.as_bytes())
        ),
        None => format!(r#"{{"key":"{key}","revision":{revision},"isDeleted":true}}"#),
    }
}

/// One run of a request at a replica.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub replica: String,
    pub at_ms: u64,
}

/// All runs of a case.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().unwrap().clone()
    }

    pub fn count(&self, id: &str) -> usize {
        self.all().iter().filter(|run| run.id == id).count()
    }
}

/// A replica that the case gives its behaviour.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub service: String,
    pub version: String,
    pub address: SocketAddr,
    pub born: u64,
    record: Record,
    runs: Runs,
}

impl Replica {
    /// Starts a replica. `respond` is called for each request that names this replica; the others
    /// get 421.
    pub fn start(
        record: &Record,
        runs: &Runs,
        id: &str,
        service: &str,
        version: &str,
        respond: impl Fn(&Replica, &Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
    ) -> Replica {
        static BORN: AtomicU64 = AtomicU64::new(1_790_000_000_000);
        let listener = bind_free();
        let replica = Replica {
            id: id.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            address: listener.local_addr().unwrap(),
            born: BORN.fetch_add(1000, Ordering::Relaxed),
            record: record.clone(),
            runs: runs.clone(),
        };
        let served = replica.clone();
        serve(listener, move |request, stream| {
            let id = request.id();
            let expected = request.header("expected-replica");
            if expected.is_some_and(|expected| expected != served.id) {
                served.record.line(format!("{}: {id} is for another replica: 421", served.id));
                let head = format!("Attempt-Id: {id}\r\nNot-Executed: 1\r\n");
                send_response(stream, 421, &head, b"")?;
                return Ok(true);
            }
            respond(&served, request, stream)
        });
        replica
    }

    /// Records that a request begins to run.
    pub fn begin(&self, request: &Message) -> usize {
        let id = request.id();
        let last = request.header("last-event-id").map(|id| format!(" after event {id}"));
        self.record.line(format!("{}: runs {id}{}", self.id, last.unwrap_or_default()));
        let run = Run { id, replica: self.id.clone(), at_ms: self.record.ms() };
        let mut runs = self.runs.0.lock().unwrap();
        runs.push(run);
        runs.len()
    }

    /// Returns the headers that all answers of the replica to a request have.
    pub fn headers(&self, request: &Message) -> String {
        format!("Attempt-Id: {}\r\nReplica-Signature: {}.{}\r\n", request.id(), self.id, self.born)
    }

    pub fn log(&self, text: impl AsRef<str>) {
        self.record.line(format!("{}: {}", self.id, text.as_ref()));
    }

    /// Returns the replica's entry in the store.
    pub fn entry(&self, state: &str) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"za","version":"{}","slots":10,"state":"{state}","warmupLeftMs":0,"seq":1,"born":{}}}"#,
            self.service, self.address, self.version, self.born
        )
    }

    pub fn register(&self, store: &Store, state: &str) {
        store.write(&format!("servers/{}", self.id), Some(&self.entry(state)));
    }
}

/// Addresses of the gateways' machines; ports are the same on all of them.
#[derive(Clone)]
pub struct Machines {
    pub ips: Vec<IpAddr>,
    front: u16,
    readiness: u16,
    control: u16,
    peers: u16,
    folder: PathBuf,
    store: SocketAddr,
    record: Record,
}

/// Figures of the bounds that the settings have.
pub const BOUNDS: [(&str, &str); 8] = [
    ("bounds.revokeMs", "5000"),
    ("bounds.configApplyMs", "2000"),
    ("bounds.drainMs", "2000"),
    ("bounds.graceS", "8"),
    ("bounds.retryBudget", "0.2"),
    ("bounds.retrySlack", "54"),
    ("bounds.budgetWindowS", "10"),
    ("bounds.quotaWindowS", "8"),
];

impl Machines {
    pub fn new(count: u8, folder: &Path, store: &Store) -> Machines {
        let ips: Vec<IpAddr> =
            (0..count).map(|n| IpAddr::V4(Ipv4Addr::new(127, 0, 0, 21 + n))).collect();
        let mut ports: Vec<u16> = Vec::new();
        while ports.len() < 4 {
            let port = free_port(&ips);
            if !ports.contains(&port) {
                ports.push(port);
            }
        }
        let (store, record) = (store.address, store.record.clone());
        let (front, readiness, control, peers) = (ports[0], ports[1], ports[2], ports[3]);
        let folder = folder.to_owned();
        Machines { ips, front, readiness, control, peers, folder, store, record }
    }

    pub fn front(&self, machine: usize) -> SocketAddr {
        SocketAddr::new(self.ips[machine], self.front)
    }

    pub fn readiness(&self, machine: usize) -> SocketAddr {
        SocketAddr::new(self.ips[machine], self.readiness)
    }

    /// Fills in `deploy/gateway.ini` as the platform does.
    fn fill_in(&self, machine: usize, is_first_start: bool) -> String {
        let mut text = fs::read_to_string("deploy/gateway.ini").unwrap();
        let ip = self.ips[machine];
        let seeds: Vec<String> =
            self.ips.iter().take(3).map(|ip| format!("{ip}:{}", self.control)).collect();
        let (first, later) = if is_first_start { ("yes", "") } else { ("", "no") };
        text = text.replace("{{#bootstrap}}yes{{/bootstrap}}", first);
        text = text.replace("{{^bootstrap}}no{{/bootstrap}}", later);
        let mut values: Vec<(String, String)> = vec![
            ("nodeName".into(), format!("front-{machine}")),
            ("zone".into(), "za".into()),
            ("listen.front".into(), self.front(machine).to_string()),
            ("listen.readiness".into(), self.readiness(machine).to_string()),
            ("ip".into(), ip.to_string()),
            ("portRange.0".into(), self.peers.to_string()),
            ("listen.control".into(), format!("{ip}:{}", self.control)),
            ("platform.address".into(), self.store.to_string()),
            ("seeds".into(), seeds.join(",")),
            ("limits.linkMbps".into(), "1000.0".into()),
            ("limits.memoryMb".into(), "260".into()),
            ("limits.maxFds".into(), "4200".into()),
            ("bounds.quotaOverage".into(), "0.25".into()),
            ("bounds.quotaSlack".into(), "140000".into()),
        ];
        values.extend(BOUNDS.iter().map(|(name, value)| (name.to_string(), value.to_string())));
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        // The remaining sections are those of values that these deployments don't have.
        let lines: Vec<&str> = text.lines().filter(|line| !line.contains("{{")).collect();
        lines.join("\n") + "\n"
    }

    /// Starts the gateway of a machine with the command of the deploy file.
    pub fn start(&self, machine: usize, is_first_start: bool) -> Gateway {
        let file = self.folder.join(format!("settings-{machine}.ini"));
        fs::write(&file, self.fill_in(machine, is_first_start)).unwrap();
        let deploy = fs::read_to_string("deploy/system.toml").unwrap();
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = ")).unwrap();
        let words: Vec<&str> = run.trim_matches('"').split(' ').collect();
        let mut command = Command::new(words[0]);
        for word in &words[1..] {
            match *word {
                "/etc/quincespoke/settings.toml" => command.arg(&file),
                word => command.arg(word),
            };
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("log-{machine}.txt")))
            .unwrap();
        end_with_parent(&mut command);
        let child = command
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        self.record.line(format!("front-{machine}: started, process {}", child.id()));
        Gateway { child, machine, record: self.record.clone() }
    }

    /// Waits until a gateway says that it is ready.
    pub fn wait_until_ready(&self, machine: usize) -> bool {
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(15) {
            if self.is_ready(machine) {
                self.record.line(format!("front-{machine}: ready"));
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn is_ready(&self, machine: usize) -> bool {
        let request = "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let Ok(mut stream) = TcpStream::connect(self.readiness(machine)) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        stream.write_all(request.as_bytes()).is_ok()
            && matches!(read_head(&mut stream), Ok(Some(head)) if head.status() == 200)
    }
}

/// A gateway process. It is killed when it is dropped.
pub struct Gateway {
    child: Child,
    machine: usize,
    record: Record,
}

impl Gateway {
    pub fn signal(&self, number: i32) {
        self.record.line(format!("front-{}: signal {number}", self.machine));
        signal(self.child.id(), number);
    }

    /// Waits for the end of the process, for a time at most.
    pub fn wait(&mut self, limit: Duration) -> bool {
        let began = Instant::now();
        while began.elapsed() < limit {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.record.line(format!("front-{}: ended, {status}", self.machine));
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What a client got for a request.
#[derive(Clone, Debug)]
pub enum Answer {
    /// A whole answer.
    Whole(Message),
    /// The head and a part of the body, and why it ended.
    Partial(Message, String),
    /// No head of an answer, and why.
    None(String),
}

impl Answer {
    pub fn status(&self) -> u16 {
        match self {
            Answer::Whole(message) | Answer::Partial(message, _) => message.status(),
            Answer::None(_) => 0,
        }
    }

    pub fn show(&self) -> String {
        let show = |message: &Message| {
            let signature = message.header("replica-signature").unwrap_or("none");
            let retry = message.header("retry-after").unwrap_or("none");
            let body = String::from_utf8_lossy(&message.body).replace(['\r', '\n'], " ");
            let body: String = body.chars().take(160).collect();
            format!(
                "{}, signature {signature}, Retry-After {retry}, {} bytes: {body}",
                message.status(),
                message.body.len()
            )
        };
        match self {
            Answer::Whole(message) => format!("whole answer {}", show(message)),
            Answer::Partial(message, why) => format!("partial answer ({why}) {}", show(message)),
            Answer::None(why) => format!("no answer ({why})"),
        }
    }
}

/// A client's connection to a gateway.
pub struct Client {
    pub stream: TcpStream,
    record: Record,
}

impl Client {
    pub fn connect(record: &Record, address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        Ok(Client { stream, record: record.clone() })
    }

    /// Sends a request of a key, with further headers.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        headers: &str,
        body: &[u8],
    ) -> io::Result<()> {
        let local = self.stream.local_addr()?;
        self.record.line(format!("client {}: sends {id} {method} {path}", local.port()));
        let mut text = format!(
            "{method} {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\n{headers}\
             Content-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        text.extend_from_slice(body);
        self.stream.write_all(&text)
    }

    /// Reads the answer to a request.
    pub fn receive(&mut self, id: &str) -> Answer {
        let answer = self.read_answer();
        self.record.line(format!("client: {id} gets {}", answer.show()));
        answer
    }

    fn read_answer(&mut self) -> Answer {
        let mut message = match read_head(&mut self.stream) {
            Ok(Some(message)) => message,
            Ok(None) => return Answer::None("closed".into()),
            Err(error) => return Answer::None(error.to_string()),
        };
        if message.header("transfer-encoding").is_some() {
            loop {
                match read_chunk(&mut self.stream) {
                    Ok(chunk) if chunk.is_empty() => return Answer::Whole(message),
                    Ok(chunk) => message.body.extend(chunk),
                    Err(error) => return Answer::Partial(message, error.to_string()),
                }
            }
        }
        let len = message.header("content-length").and_then(|len| len.parse().ok());
        let Some(len) = len else {
            return match self.stream.read_to_end(&mut message.body) {
                Ok(_) => Answer::Whole(message),
                Err(error) => Answer::Partial(message, error.to_string()),
            };
        };
        match read_exactly(&mut self.stream, len) {
            Ok(body) => {
                message.body = body;
                Answer::Whole(message)
            }
            Err(error) => Answer::Partial(message, error.to_string()),
        }
    }
}

/// Sends one request on a new connection and returns the answer.
pub fn ask(
    record: &Record,
    address: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    headers: &str,
    body: &[u8],
) -> Answer {
    let result = Client::connect(record, address)
        .and_then(|mut client| client.send(method, path, id, headers, body).map(|()| client));
    match result {
        Ok(mut client) => client.receive(id),
        Err(error) => {
            record.line(format!("client: {id} is not sent: {error}"));
            Answer::None(error.to_string())
        }
    }
}

/// What a case gets to work with.
pub struct World {
    pub record: Record,
    pub store: Store,
    pub runs: Runs,
    pub folder: PathBuf,
    pub has_trouble: bool,
}

pub const KEPT: u8 = 0;
pub const BROKEN: u8 = 1;
pub const NOT_RUN: u8 = 2;

/// Runs a case: `CASE FOLDER`, with `TROUBLE=0` in the environment for one without the disruption.
pub fn run(case: impl FnOnce(&World) -> u8) -> ! {
    let Some(folder) = std::env::args().nth(2).map(PathBuf::from) else {
        eprintln!("usage: world-2 CASE FOLDER");
        std::process::exit(i32::from(NOT_RUN));
    };
    let temporary = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    fs::create_dir_all(&temporary).unwrap();
    let record = Record::create(&folder).unwrap();
    let has_trouble = !std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let store = Store::start(&record);
    let runs = Runs::default();
    record.line(format!("disruption: {has_trouble}"));
    let world = World { record, store, runs, folder: temporary.clone(), has_trouble };
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| case(&world)));
    let code = result.unwrap_or(NOT_RUN);
    let verdict = ["the rule held", "the rule was broken", "the case couldn't run"];
    world.record.line(verdict[usize::from(code)]);
    println!("{}", verdict[usize::from(code)]);
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(temporary);
    }
    std::process::exit(i32::from(code));
}
