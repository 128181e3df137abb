//! Planned stop of the HTTP server while requests arrive.

use std::{
    cell::Cell,
    collections::HashSet,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    rc::Rc,
    sync::{Arc, Mutex, mpsc},
    thread,
    time::{Duration, Instant},
};

use compio::runtime;
use conf::resources::Resources;
use daemon::{
    caller::{self, Caller},
    http::{self, Handler, Server},
};
use futures_util::future::{self, LocalBoxFuture};
use hyper::{Request, Response, body};

/// Time that a request takes.
const SERVICE_TIME: Duration = Duration::from_millis(50);
/// Longest time of a stop, on a slow host too.
const LIMIT: Duration = Duration::from_secs(30);

/// Records the paths of the requests that it gets.
#[derive(Default)]
struct SlowHandler {
    paths: Arc<Mutex<HashSet<String>>>,
}

impl Handler for SlowHandler {
    fn handle(
        self: Rc<Self>,
        request: Request<body::Incoming>,
        _caller: Caller,
    ) -> LocalBoxFuture<'static, Response<http::Body>> {
        self.paths.lock().expect("lock").insert(request.uri().path().to_owned());
        Box::pin(async {
            compio::time::sleep(SERVICE_TIME).await;
            http::buffered(200, "text/plain", "done".into())
        })
    }
}

async fn start(handler: impl Handler + 'static) -> (Rc<Server>, SocketAddr) {
    let listener = http::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("bind");
    let address = listener.local_addr().expect("an address");
    let server = Server::new(&caller::Registry::new(Resources::default()));
    runtime::spawn(server.clone().serve(listener, Rc::new(handler))).detach();
    // The task of the server begins to accept.
    compio::time::sleep(Duration::from_millis(1)).await;
    (server, address)
}

/// Sends a request on a new connection and returns the connection.
fn send(address: SocketAddr, path: &str) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nhost: h\r\n\r\n").as_bytes())?;
    Ok(stream)
}

fn is_answered(mut stream: TcpStream) -> bool {
    let mut response = String::new();
    stream.read_to_string(&mut response).is_ok() && response.ends_with("done")
}

/// Guards against requests that arrive just before the end of a stop, whose connections the system
/// has accepted and the process hasn't.
#[test]
fn requests_that_wait_to_be_accepted_are_answered() {
    let runtime = runtime::Runtime::new().expect("runtime");
    let streams: Vec<TcpStream> = runtime.block_on(async {
        let (server, address) = start(SlowHandler::default()).await;
        // The server runs on this thread, so it accepts none of them before the stop begins.
        let streams = (0..20).map(|_| send(address, "/").expect("a connection")).collect();
        server.close(LIMIT).await;
        streams
    });
    drop(runtime);
    let answered = streams.into_iter().map(is_answered).filter(|answered| *answered).count();
    assert_eq!(answered, 20);
}

/// Guards against a stop that accepts requests until its time is over and then cuts them.
#[test]
fn a_stop_under_load_ends_without_cut_requests() {
    let (sender, receiver) = mpsc::channel();
    let paths: Arc<Mutex<HashSet<String>>> = Arc::default();
    let handler = SlowHandler { paths: paths.clone() };
    let server_thread = thread::spawn(move || {
        let runtime = runtime::Runtime::new().expect("runtime");
        runtime.block_on(async {
            let (server, address) = start(handler).await;
            sender.send(address).expect("the test waits");
            compio::time::sleep(SERVICE_TIME * 4).await;
            server.close(LIMIT / 20).await;
        });
        // The runtime ends as the process would.
        drop(runtime);
    });
    let address = receiver.recv().expect("an address");
    let callers: Vec<_> = (0..8)
        .map(|caller| {
            thread::spawn(move || {
                let mut cut = Vec::new();
                // Until connections are refused.
                for n in 0.. {
                    let path = format!("/{caller}/{n}");
                    let Ok(stream) = send(address, &path) else { return cut };
                    if !is_answered_once(stream) {
                        cut.push(path);
                    }
                }
                cut
            })
        })
        .collect();
    let cut = callers.into_iter().flat_map(|caller| caller.join().expect("a caller"));
    let cut: Vec<String> = cut.collect();
    let accepted = paths.lock().expect("lock");
    let cut: Vec<String> = cut.into_iter().filter(|path| accepted.contains(path)).collect();
    server_thread.join().expect("the server ends");
    assert_eq!(cut, Vec::<String>::new());
}

/// Reads one response, on a connection that may stay open.
fn is_answered_once(mut stream: TcpStream) -> bool {
    let mut response = Vec::new();
    let mut buffer = [0; 512];
    while !response.ends_with(b"done") {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return false,
            Ok(length) => response.extend_from_slice(&buffer[..length]),
        }
    }
    true
}

/// Never responds.
#[derive(Default)]
struct SilentHandler {
    has_request: Rc<Cell<bool>>,
}

impl Handler for SilentHandler {
    fn handle(
        self: Rc<Self>,
        _request: Request<body::Incoming>,
        _caller: Caller,
    ) -> LocalBoxFuture<'static, Response<http::Body>> {
        self.has_request.set(true);
        Box::pin(future::pending())
    }
}

/// Guards against a stop that outlives its time on a busy host, where timers are late.
#[test]
fn a_stop_on_a_busy_host_ends_in_time() {
    let limit = Duration::from_secs(1);
    let runtime = runtime::Runtime::new().expect("runtime");
    let took = runtime.block_on(async {
        let handler = SilentHandler::default();
        let has_request = handler.has_request.clone();
        let (server, address) = start(handler).await;
        let _stream = send(address, "/").expect("a connection");
        while !has_request.get() {
            compio::time::sleep(Duration::from_millis(1)).await;
        }
        runtime::spawn(async {
            loop {
                thread::sleep(Duration::from_millis(100));
                compio::time::sleep(Duration::from_millis(1)).await;
            }
        })
        .detach();
        let began = Instant::now();
        server.close(limit).await;
        began.elapsed()
    });
    assert!(took >= limit && took < limit * 5, "{took:?} for {limit:?}");
}

/// Responds at once.
struct PromptHandler;

impl Handler for PromptHandler {
    fn handle(
        self: Rc<Self>,
        _request: Request<body::Incoming>,
        _caller: Caller,
    ) -> LocalBoxFuture<'static, Response<http::Body>> {
        Box::pin(future::ready(http::buffered(200, "text/plain", "done".into())))
    }
}

/// Guards against a stop that is late, since the process was busy, and resets connections whose
/// requests have arrived.
#[test]
fn a_late_stop_answers_what_has_arrived() {
    let runtime = runtime::Runtime::new().expect("runtime");
    let stream = runtime.block_on(async {
        let (server, address) = start(PromptHandler).await;
        // It isn't accepted before the stop, whose time is over.
        let stream = send(address, "/").expect("a connection");
        server.close(Duration::ZERO).await;
        stream
    });
    drop(runtime);
    assert!(is_answered(stream));
}
