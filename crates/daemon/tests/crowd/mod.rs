//! Callers that keep to no limit, many at once, and what a process takes because of them.

#![allow(dead_code, reason = "each test file uses a part of the helper")]

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    os::fd::OwnedFd,
    sync::{Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use rustix::net::{AddressFamily, SocketType, connect, socket, sockopt};

/// Memory that the process under test may use, as its settings have it.
pub const MEMORY_MB: u64 = 64;
/// Descriptors that it may use.
pub const DESCRIPTORS: usize = 400;
/// The same as lines of a settings file.
pub const RESOURCES: &str = "[host]\nmemory_mb = 64\ndescriptors = 400\n";
/// Largest body that the process accepts.
pub const BODY_BYTES: usize = 1 << 20;
/// Callers with bodies or responses.
pub const CALLERS: usize = 96;
/// Callers with heads, and those that send nothing.
pub const CONNECTIONS: usize = 600;
/// Bytes of a head that is not complete.
const HEAD_BYTES: usize = 60_000;
/// Bytes that a caller sends before the others send theirs.
const PIECE_BYTES: usize = 64 << 10;
/// Bytes of data in a small chunk.
const SMALL_CHUNK_BYTES: usize = 32;
/// Bytes that a caller sends of a body which is over the limit.
const SENT_BEYOND_LIMIT: usize = 3 * BODY_BYTES;
/// Time for which a caller tries to send, if nobody reads.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Receive buffer of a caller that reads nothing, in bytes.
const SMALL_BUFFER: usize = 4 << 10;

/// Successive periods with next to no processor time after which a process has read what was sent.
const QUIET_PERIODS: u32 = 3;
const QUIET_PERIOD: Duration = Duration::from_millis(200);
/// Ticks of 10 ms that an idle process takes in a period.
const QUIET_TICKS: u64 = 2;
/// Longest time to wait for that.
const SETTLE_LIMIT: Duration = Duration::from_secs(60);

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Keeps other tests of the file from running beside this one.
pub fn run_alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(|failed| failed.into_inner())
}

/// How a caller sends a request that it doesn't complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// A body of legal size with its length, but for the last byte.
    Whole,
    /// The same, in turn with the others.
    Pieces,
    /// A chunked body of legal size without the last chunk.
    LargeChunks,
    /// The same, in small chunks.
    SmallChunks,
    /// A body over the limit with its length.
    TooLong,
    /// A chunked body over the limit.
    TooManyChunks,
    /// A head without its end.
    Head,
    /// Nothing.
    Silent,
}

impl Shape {
    pub const BODIES: [Shape; 6] = [
        Shape::Whole,
        Shape::Pieces,
        Shape::LargeChunks,
        Shape::SmallChunks,
        Shape::TooLong,
        Shape::TooManyChunks,
    ];
    pub const CONNECTIONS: [Shape; 2] = [Shape::Head, Shape::Silent];

    fn callers(self) -> usize {
        if Shape::CONNECTIONS.contains(&self) { CONNECTIONS } else { CALLERS }
    }

    /// Returns the parts that a caller sends, each in turn with the other callers.
    fn parts(self, head: &str) -> Vec<Vec<u8>> {
        let with_length = |length: usize| format!("{head}content-length: {length}\r\n\r\n");
        let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
        let body = |length: usize| vec![b'x'; length];
        match self {
            Shape::Whole => {
                vec![with_length(BODY_BYTES).into_bytes(), body(BODY_BYTES - 1)]
            }
            Shape::Pieces => {
                let pieces = body(BODY_BYTES - 1);
                let pieces = pieces.chunks(PIECE_BYTES).map(<[u8]>::to_vec);
                [with_length(BODY_BYTES).into_bytes()].into_iter().chain(pieces).collect()
            }
            Shape::LargeChunks => vec![chunked.into_bytes(), chunks(BODY_BYTES, PIECE_BYTES)],
            Shape::SmallChunks => vec![chunked.into_bytes(), chunks(BODY_BYTES, SMALL_CHUNK_BYTES)],
            Shape::TooLong => {
                vec![with_length(1 << 30).into_bytes(), body(SENT_BEYOND_LIMIT)]
            }
            Shape::TooManyChunks => {
                vec![chunked.into_bytes(), chunks(SENT_BEYOND_LIMIT, PIECE_BYTES)]
            }
            Shape::Head => {
                let first = head.split_inclusive("\r\n").next().unwrap_or_default();
                let line = format!("a: {}\r\n", "x".repeat(995));
                vec![format!("{first}{}", line.repeat(HEAD_BYTES / line.len())).into_bytes()]
            }
            Shape::Silent => Vec::new(),
        }
    }
}

/// Returns so many bytes in chunks, without the last chunk.
fn chunks(length: usize, chunk_bytes: usize) -> Vec<u8> {
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
    chunk.repeat(length / chunk_bytes).into_bytes()
}

fn open(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_write_timeout(Some(SEND_TIMEOUT)).ok()?;
    Some(stream)
}

/// Opens the connections of a crowd that sends requests of this shape, of which `head` is the begin,
/// and keeps those open that are not closed meanwhile.
pub fn gather(address: SocketAddr, shape: Shape, head: &str) -> Vec<TcpStream> {
    let mut streams: Vec<Option<TcpStream>> = (0..shape.callers()).map(|_| open(address)).collect();
    for part in shape.parts(head) {
        for stream in &mut streams {
            if stream.as_mut().is_some_and(|stream| stream.write_all(&part).is_err()) {
                *stream = None;
            }
        }
    }
    streams.into_iter().flatten().collect()
}

/// Opens a connection that holds few bytes which were not read.
pub fn open_slow_reader(address: SocketAddr) -> Option<TcpStream> {
    let descriptor: OwnedFd = socket(AddressFamily::INET, SocketType::STREAM, None).ok()?;
    sockopt::set_socket_recv_buffer_size(&descriptor, SMALL_BUFFER).ok()?;
    connect(&descriptor, &address).ok()?;
    let stream = TcpStream::from(descriptor);
    stream.set_write_timeout(Some(SEND_TIMEOUT)).ok()?;
    Some(stream)
}

/// Callers that send a whole request each and read nothing of the response.
pub fn gather_slow_readers(
    address: SocketAddr,
    request: impl Fn(usize) -> String,
) -> Vec<TcpStream> {
    let open = |n: usize| {
        let mut stream = open_slow_reader(address)?;
        stream.write_all(request(n).as_bytes()).ok()?;
        Some(stream)
    };
    (0..CALLERS).filter_map(open).collect()
}

/// What a process has taken at most.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    pub memory_mb: u64,
    pub descriptors: usize,
}

/// Returns the most memory that a running process had, and its open descriptors; `None` if it ended.
pub fn usage(pid: u32) -> Option<Usage> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kibibytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    let descriptors = fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count();
    Some(Usage { memory_mb: kibibytes * 1024 / 1_000_000, descriptors })
}

/// Checks that a process lives and stays within what it may use.
pub fn assert_within_limits(pid: u32, what: &str) {
    let usage = usage(pid).unwrap_or_else(|| panic!("{what}: the process has ended"));
    println!("{what}: {usage:?}");
    assert!(usage.memory_mb <= MEMORY_MB, "{what}: {usage:?}");
    assert!(usage.descriptors <= DESCRIPTORS, "{what}: {usage:?}");
}

/// Waits until a caller of a crowd has its whole response, its connection is closed, or nothing arrives
/// for a while, and returns what it got.
pub fn read_some(stream: &mut TcpStream) -> String {
    let _ = stream.set_read_timeout(Some(Duration::from_millis(300)));
    let mut bytes = Vec::new();
    let started = Instant::now();
    let mut buffer = [0; 4 << 10];
    while started.elapsed() < SEND_TIMEOUT {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Waits until a process has read what the crowd has sent, which shows as processor time that it no
/// longer takes, and returns whether it got there.
pub fn settle(pid: u32) -> bool {
    let started = Instant::now();
    let mut last = processor_ticks(pid);
    let mut quiet_periods = 0;
    while quiet_periods < QUIET_PERIODS && started.elapsed() < SETTLE_LIMIT {
        thread::sleep(QUIET_PERIOD);
        let ticks = processor_ticks(pid);
        let is_quiet = ticks.zip(last).is_some_and(|(now, last)| now - last <= QUIET_TICKS);
        quiet_periods = if is_quiet { quiet_periods + 1 } else { 0 };
        last = ticks;
    }
    quiet_periods >= QUIET_PERIODS
}

/// Returns the processor time that a process has taken, in ticks.
fn processor_ticks(pid: u32) -> Option<u64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let mut fields = stat.rsplit(')').next()?.split_whitespace().skip(11);
    let (user, system): (u64, u64) = (fields.next()?.parse().ok()?, fields.next()?.parse().ok()?);
    Some(user + system)
}
