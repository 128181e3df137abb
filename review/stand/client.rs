//! Clients.

use std::{
    io::{self, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    protocol,
    record::Record,
};

/// Time for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Gap after which a client abandons a stream: two seconds, four times the objective or eight times
/// the longest pause, whichever is longest.
const MAX_GAP: Duration = Duration::from_millis(3200);

fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
    stream.set_read_timeout(Some(MAX_GAP))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Returns the status of the response to a request without a body, and nothing more.
pub fn get(address: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = connect(address).ok()?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n").as_bytes()).ok()?;
    Some(http::read_head(&mut BufReader::new(stream)).ok()??.status())
}

/// Sends a request with a body on a new connection, and returns the response with its body.
pub fn send(address: SocketAddr, path: &str, headers: &str, body: &str) -> io::Result<Message> {
    let mut stream = connect(address)?;
    write_request(&mut stream, path, headers, body)?;
    let mut reader = BufReader::new(stream);
    let head = http::read_head(&mut reader)?;
    let mut response = head.ok_or(io::ErrorKind::UnexpectedEof)?;
    let length = response.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    response.body = vec![0; length];
    reader.read_exact(&mut response.body)?;
    Ok(response)
}

/// Returns the headers that all requests have.
pub fn request_headers(attempt: &str, key: &str, left: Duration) -> String {
    let (id, remaining) = (protocol::ATTEMPT_ID, protocol::DEADLINE_REMAINING);
    let left = left.as_millis();
    format!("{id}: {attempt}\r\nAuthorization: Bearer {key}\r\n{remaining}: {left}\r\n")
}

fn write_request(stream: &mut TcpStream, path: &str, headers: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    let head = format!("POST {path} HTTP/1.1\r\nHost: site.example\r\n{headers}");
    stream.write_all(format!("{head}Content-Length: {length}\r\n\r\n{body}").as_bytes())
}

/// A stream as its client sees it, over all tries.
#[derive(Debug, Default)]
pub struct Stream {
    pub name: String,
    /// Identifier and text of each event.
    pub events: Vec<(u32, String)>,
    pub is_complete: bool,
    pub tries: Vec<Try>,
}

/// One try of a client.
#[derive(Clone, Copy, Debug)]
pub struct Try {
    pub sent_at: Duration,
    /// Number of events that the client had before, and that this try brought.
    pub before: usize,
    pub got: usize,
}

/// What a client asks for.
pub struct Order<'a> {
    pub name: &'a str,
    pub path: &'a str,
    pub key: &'a str,
    pub deadline: Duration,
    /// Tries, the first one included.
    pub tries: usize,
    /// Where each try goes.
    pub gateways: &'a [SocketAddr],
    /// Time between two tries, unless the answer has a `Retry-After`.
    pub pause: Duration,
}

/// Opens a stream and takes it up again where it breaks off.
pub fn stream(order: &Order<'_>, record: &Record) -> Stream {
    let end = Instant::now() + order.deadline;
    let mut stream = Stream { name: order.name.to_owned(), ..Stream::default() };
    let mut first_attempt = String::new();
    while stream.tries.len() < order.tries && !stream.is_complete {
        let attempt = format!("{}-{}", order.name, stream.tries.len());
        let gateway = order.gateways[stream.tries.len() % order.gateways.len()];
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        let mut headers = format!(
            "{}Model: m\r\nToken-Usage: 628,500\r\nPrompt-Prefix: 5c1e07a2:60,{:x}:568\r\n",
            request_headers(&attempt, order.key, left),
            name_hash(order.name),
        );
        if let Some((last, _)) = stream.events.last() {
            headers += &format!("Resumes: {first_attempt}\r\nLast-Event-Id: {last}\r\n");
        }
        let before = stream.events.len();
        record.line(&format!("client     {attempt} is sent to {gateway}, {before} events so far"));
        let sent_at = record.elapsed();
        let result = attempt_stream(gateway, order.path, &headers, &mut stream);
        let got = stream.events.len() - before;
        if before == 0 && got > 0 {
            first_attempt = attempt.clone();
        }
        stream.tries.push(Try { sent_at, before, got });
        let (shown, retry_after) = match &result {
            Ok(end) => (end.shown.clone(), end.retry_after),
            Err(error) => (format!("connection ended: {error}"), None),
        };
        record.line(&format!("client     {attempt} got {got} events, then {shown}"));
        let most = end.saturating_duration_since(Instant::now()) / 3;
        std::thread::sleep(retry_after.unwrap_or(order.pause).min(most));
    }
    stream
}

/// How an answer ended that did not end with its connection.
struct End {
    shown: String,
    retry_after: Option<Duration>,
}

fn attempt_stream(
    gateway: SocketAddr,
    path: &str,
    headers: &str,
    stream: &mut Stream,
) -> io::Result<End> {
    let mut connection = connect(gateway)?;
    write_request(&mut connection, path, headers, "the prompt")?;
    let mut reader = BufReader::new(connection);
    let head = http::read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    if head.status() != 200 || head.header(protocol::REPLICA_SIGNATURE).is_none() {
        let retry_after = head.header("retry-after");
        let shown =
            format!("status {}, Retry-After {}", head.status(), retry_after.unwrap_or("none"));
        let retry_after = retry_after.and_then(|value| value.parse().ok());
        return Ok(End { shown, retry_after: retry_after.map(Duration::from_secs_f64) });
    }
    let mut partial = String::new();
    while let Some(chunk) = http::read_chunk(&mut reader)? {
        partial += &String::from_utf8_lossy(&chunk);
        while let Some(end) = partial.find("\n\n") {
            let event: String = partial.drain(..end + 2).collect();
            let field = |name| event.lines().find_map(|l| l.strip_prefix(name)).unwrap_or_default();
            let id = field("id: ").parse().unwrap_or(0);
            stream.events.push((id, field("data: ").to_owned()));
        }
    }
    stream.is_complete = true;
    Ok(End { shown: "its end".to_owned(), retry_after: None })
}

/// Returns a number that names the last part of a prompt, which belongs to the request itself.
fn name_hash(name: &str) -> u32 {
    name.bytes().fold(2_166_136_261, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(16_777_619))
}
