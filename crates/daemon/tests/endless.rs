//! Processes that send bytes without end to entries and agents: the configuration service, the host
//! list, other processes of the system, and an agent's backend server.

mod bid;

use std::{
    cell::Cell,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::time;
use conf::resources::Resources;
use daemon::{backend, caller, error::Kind, peer, sources};
use futures_util::{StreamExt, future};
use wire::{frame, grant, id};

/// Time after which a sender gives up, which is a failure.
const SENDER_LIMIT: Duration = Duration::from_secs(20);
/// Time after which the calls of a test are abandoned, as the deadline of a request does.
const CALL_LIMIT: Duration = Duration::from_secs(4);
/// Period of the other work of the process.
const TICK: Duration = Duration::from_millis(20);
/// Most bytes that one call may have received, and those that the sockets hold.
const MOST_BYTES: usize = 48 << 20;

/// What a sender sends, after a head and over and over.
#[derive(Clone, Copy, Debug)]
struct Sender {
    name: &'static str,
    head: &'static str,
    bytes: &'static [u8],
}

const SENDERS: [Sender; 8] = [
    Sender { name: "interim", head: "", bytes: b"HTTP/1.1 100 Continue\r\n\r\n" },
    Sender { name: "status line", head: "HTTP/1.1 200 ", bytes: b"x" },
    Sender { name: "field", head: "HTTP/1.1 200 X\r\na: ", bytes: b"x" },
    Sender { name: "fields", head: "HTTP/1.1 200 X\r\n", bytes: b"a: b\r\n" },
    Sender { name: "no protocol", head: "", bytes: b"\0" },
    Sender { name: "body", head: "HTTP/1.1 200 X\r\nx-consul-index: 1\r\n\r\n", bytes: b" " },
    Sender {
        name: "chunks",
        head: "HTTP/1.1 200 X\r\nx-consul-index: 1\r\ntransfer-encoding: chunked\r\n\r\n",
        bytes: b"1\r\n \r\n",
    },
    Sender {
        name: "trailers",
        head: "HTTP/1.1 200 X\r\nx-consul-index: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        bytes: b"a: b\r\n",
    },
];

/// How long a sender sent on one connection, and how much.
#[derive(Clone, Copy, Debug)]
struct Sent {
    took: Duration,
    bytes: usize,
}

impl Sender {
    fn start(self) -> (SocketAddr, mpsc::Receiver<Sent>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("an address");
        let (done, sent) = mpsc::channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let done = done.clone();
                thread::spawn(move || {
                    let _ = done.send(self.send(stream));
                });
            }
        });
        (address, sent)
    }

    fn send(self, mut stream: TcpStream) -> Sent {
        let mut request = [0; 4096];
        let _ = stream.read(&mut request);
        let _ = stream.write_all(self.head.as_bytes());
        let _ = stream.set_write_timeout(Some(SENDER_LIMIT));
        let block = self.bytes.repeat((8 << 10) / self.bytes.len() + 1);
        let (started, mut bytes) = (Instant::now(), 0);
        while started.elapsed() < SENDER_LIMIT && stream.write_all(&block).is_ok() {
            bytes += block.len();
        }
        Sent { took: started.elapsed(), bytes }
    }
}

/// Runs a call beside the other work of the process. Checks that it ends, that the other work goes on
/// meanwhile, and that the connection is closed within the bounds.
async fn assert_bounded(
    sender: Sender,
    sent: mpsc::Receiver<Sent>,
    call: impl Future<Output = ()>,
) {
    let started = Instant::now();
    let (ticks, is_over) = (Cell::new(0), Cell::new(false));
    let other_work = async {
        while !is_over.get() {
            time::sleep(TICK).await;
            ticks.set(ticks.get() + 1);
        }
    };
    let call = async {
        let _ = time::timeout(CALL_LIMIT, call).await;
        is_over.set(true);
    };
    future::join(call, other_work).await;
    let took = started.elapsed();
    assert!(took < SENDER_LIMIT / 2, "{}: the call took {took:?}", sender.name);
    // A tick takes longer on a busy host.
    let expected = (took.as_millis() / TICK.as_millis() / 4) as u32;
    assert!(ticks.get() >= expected, "{}: {} ticks in {took:?}", sender.name, ticks.get());
    // The connection is closed by a task of the runtime.
    let closing = Instant::now();
    let sent = loop {
        match sent.try_recv() {
            Ok(sent) => break sent,
            Err(_) if closing.elapsed() > SENDER_LIMIT => panic!("{}: still open", sender.name),
            Err(_) => time::sleep(TICK).await,
        }
    };
    assert!(sent.took < SENDER_LIMIT, "{}: the connection was not closed", sender.name);
    // Interim responses are discarded as they come, up to the end of the call.
    let is_kept = sender.name != "interim";
    assert!(!is_kept || sent.bytes < MOST_BYTES, "{}: {} bytes", sender.name, sent.bytes);
}

fn sources(address: SocketAddr) -> sources::Client {
    let text = format!(
        "[process]\nrole = entry\nhost = e\navailability_zone = z\n[listen]\n\
         callers = 127.0.0.1:1\npeers = 127.0.0.1:2\noperators = 127.0.0.1:3\n[platform]\n\
         configuration = http://{address}\nhosts = http://{address}/hosts\n"
    );
    sources::Client::new(&conf::process::parse("e.ini", &text).expect("valid settings"))
}

/// Guards against a configuration service whose bytes stop the whole process.
#[compio::test]
async fn the_configuration_service_is_bounded() {
    for sender in SENDERS {
        let (address, sent) = sender.start();
        let client = sources(address);
        let call = async {
            let read = client.read_branches(None, Duration::ZERO).await;
            assert!(read.is_err(), "{}: it is no configuration", sender.name);
        };
        assert_bounded(sender, sent, call).await;
    }
}

/// Guards against the same of the host list.
#[compio::test]
async fn the_host_list_is_bounded() {
    for sender in SENDERS {
        let (address, sent) = sender.start();
        let client = sources(address);
        let call = async {
            assert!(client.read_hosts().await.is_err(), "{}: it is no list", sender.name);
        };
        assert_bounded(sender, sent, call).await;
    }
}

/// Guards against the same of another process that is asked for a reply.
#[compio::test]
async fn replies_of_other_processes_are_bounded() {
    for sender in SENDERS {
        let (address, sent) = sender.start();
        let client = peer::Client::new(address);
        let call = async {
            let (limit, most) = (peer::EXCHANGE_TIMEOUT, frame::MAX_MESSAGE_BYTES);
            let reply = client.exchange::<String>(address, "/sync", &"digest", limit, most).await;
            assert!(reply.is_err(), "{}: it is no reply", sender.name);
        };
        assert_bounded(sender, sent, call).await;
    }
}

/// Guards against the same of an agent that is to send the frames of a response.
#[compio::test]
async fn frames_of_agents_are_bounded() {
    for sender in SENDERS {
        let (address, sent) = sender.start();
        let client = peer::Client::new(address);
        let grant = id::Grant { process: id::Process(9), seq: 1 };
        let commit = grant::Commit { grant, request: bid::head().request };
        let call = async {
            let body = Bytes::from_static(b"bid");
            let Ok(frames) = client.commit(address, &commit, &body, None).await else { return };
            let mut frames = Box::pin(frames);
            while let Some(Ok(_)) = frames.next().await {}
        };
        assert_bounded(sender, sent, call).await;
    }
}

/// Guards against the same of a backend server that answers a probe, or is asked for its load.
#[compio::test]
async fn probes_and_loads_are_bounded() {
    for sender in SENDERS {
        let (address, sent) = sender.start();
        let client = backend::Client::new(address);
        assert_bounded(sender, sent, async { drop(client.probe().await) }).await;
        let (address, sent) = sender.start();
        let client = backend::Client::new(address);
        let call = async { assert!(client.read_load().await.is_none(), "{}", sender.name) };
        assert_bounded(sender, sent, call).await;
    }
}

/// Memory of a process, and the number of requests whose frames stop just short of the bound on one.
const MEMORY: u64 = 64 << 20;
const REQUESTS: usize = 24;
/// Bytes that are sent of each.
const FRAME_BYTES: usize = (8 << 20) - 64;

/// Starts an agent that announces a frame of the largest size to each request and sends it but for its
/// end.
fn start_slow_agent() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let _ = stream.read(&mut [0; 4096]);
                let head = "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n";
                let length = (FRAME_BYTES as u32 + 32).to_be_bytes();
                let _ = stream.write_all(format!("{head}{:x}\r\n", FRAME_BYTES + 4).as_bytes());
                let _ = stream.write_all(&length);
                let _ = stream.write_all(&vec![0; FRAME_BYTES]);
                // Reads until the entry closes the connection.
                let _ = stream.read(&mut [0]);
            });
        }
    });
    address
}

/// Guards against frames of agents that are within the bound on one and take all memory together.
#[compio::test]
async fn frames_that_stop_short_of_their_bound_are_borne() {
    let resources = Resources { memory: Some(MEMORY), descriptors: Some(1000) };
    let registry = caller::Registry::new(resources);
    let address = start_slow_agent();
    let client = peer::Client::new(address);
    let read = |n: usize| {
        let (client, registry) = (client.clone(), registry.clone());
        async move {
            let (caller, _closed) = registry.open().expect("there is room");
            caller.begin_answer();
            let grant = id::Grant { process: id::Process(9), seq: n as u64 };
            let commit = grant::Commit { grant, request: bid::head().request };
            let body = Bytes::from_static(b"bid");
            let frames = client.commit(address, &commit, &body, Some(caller)).await;
            let mut frames = Box::pin(frames.expect("a stream"));
            let next = time::timeout(CALL_LIMIT, frames.next()).await;
            // Those for which there is room wait for the rest of their frame.
            matches!(next, Ok(Some(Err(error))) if error.kind == Kind::TooLarge)
        }
    };
    let refused = future::join_all((0..REQUESTS).map(read)).await;
    let refused = refused.into_iter().filter(|is_refused| *is_refused).count();
    let room = (MEMORY as f64 * 0.35) as usize / FRAME_BYTES;
    assert!(refused >= REQUESTS - room, "{refused} of {REQUESTS} were refused");
    assert!(refused < REQUESTS, "there was room for some");
    assert_eq!(registry.usage().0, 0, "all is given back");
}

/// Guards against large replies where short ones are due, of which a process waits for many at once.
#[compio::test]
async fn short_replies_have_a_small_bound() {
    let sender = Sender { name: "body", head: "HTTP/1.1 200 X\r\n\r\n", bytes: b" " };
    let (address, _sent) = sender.start();
    let client = peer::Client::new(address);
    let (limit, most) = (peer::EXCHANGE_TIMEOUT, peer::MAX_SHORT_REPLY_BYTES);
    let reply = client.exchange::<String>(address, "/offer", &"offer", limit, most).await;
    assert_eq!(reply.expect_err("it is too large").kind, Kind::TooLarge);
    assert!(most <= 64 << 10, "{most} bytes");
}
