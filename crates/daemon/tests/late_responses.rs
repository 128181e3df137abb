//! Late second copies of responses on connections that are in use again.

mod bid;

use std::{
    cell::RefCell,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use agent::Progress;
use bytes::Bytes;
use daemon::backend::Client;
use wire::id;

/// Whether responses name the request that they belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Echo {
    Always,
    Never,
    /// Only the first response of a connection does.
    First,
}

/// Reads a request and returns its identifier.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        received.push(byte[0]);
    }
    let text = String::from_utf8(received).ok()?;
    let find = |name: &str| {
        let line = text.lines().find(|line| line.to_ascii_lowercase().starts_with(name))?;
        Some(line.split_once(':')?.1.trim().to_owned())
    };
    let length = find("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    stream.read_exact(&mut vec![0; length]).ok()?;
    Some(find("x-request-id").unwrap_or_default())
}

/// Starts a server that answers each request after the first one of a connection with a second copy
/// of the response before. Returns its address and the number of connections that it accepted.
fn serve(echo: Echo) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("an address");
    let connections = Arc::new(AtomicUsize::new(0));
    let accepted = connections.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            accepted.fetch_add(1, Ordering::SeqCst);
            thread::spawn(move || {
                let mut previous: Option<String> = None;
                let mut is_first = true;
                while let Some(id) = read_request(&mut stream) {
                    let body = format!("for {}", previous.as_ref().unwrap_or(&id));
                    let named = previous.as_ref().unwrap_or(&id);
                    let echoes = echo == Echo::Always || (echo == Echo::First && is_first);
                    let header =
                        if echoes { format!("x-request-id: {named}\r\n") } else { String::new() };
                    let length = body.len();
                    let text = format!(
                        "HTTP/1.1 200 OK\r\n{header}content-length: {length}\r\n\r\n{body}"
                    );
                    if stream.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                    is_first = false;
                    previous = Some(id);
                }
            });
        }
    });
    (address, connections)
}

/// Dispatches a request and returns the body that was reported, and the last progress.
async fn dispatch(client: &Client, seq: u64) -> (String, Option<Progress>) {
    let (body, last) = (RefCell::new(Vec::new()), RefCell::new(None));
    let report = |progress| {
        if let Progress::Data { bytes, .. } = &progress {
            body.borrow_mut().extend_from_slice(bytes);
        }
        *last.borrow_mut() = Some(progress);
    };
    let grant = id::Grant { process: id::Process(9), seq };
    client.clone().dispatch(grant, bid::head(), Bytes::from_static(b"bid"), report).await;
    (String::from_utf8(body.into_inner()).expect("text"), last.into_inner())
}

/// Guards against a caller that gets the response to an earlier request, of which the backend server
/// sent a second copy late on a connection that is in use again.
#[compio::test]
async fn a_second_copy_of_a_response_goes_to_no_other_caller() {
    for echo in [Echo::Always, Echo::Never, Echo::First] {
        let (address, _) = serve(echo);
        let client = Client::new(address);
        for seq in 1..=4 {
            let grant = id::Grant { process: id::Process(9), seq };
            let (body, last) = dispatch(&client, seq).await;
            let is_own = body == format!("for {grant}") && last == Some(Progress::End);
            let is_lost = body.is_empty() && last == Some(Progress::ConnectionLost);
            assert!(is_own || is_lost, "{echo:?} {seq}: {body:?} {last:?}");
        }
    }
}

/// Guards against a new connection for each request to a server that names requests.
#[compio::test]
async fn connections_to_a_server_that_names_requests_are_kept() {
    let (address, connections) = serve(Echo::Always);
    let client = Client::new(address);
    assert_eq!(dispatch(&client, 1).await.1, Some(Progress::End));
    assert_eq!(dispatch(&client, 2).await.1, Some(Progress::ConnectionLost));
    assert_eq!(connections.load(Ordering::SeqCst), 1);
}

/// Guards against a second copy of the response to a probe that is taken for that to a request.
#[compio::test]
async fn a_second_copy_of_a_probe_goes_to_no_caller() {
    for echo in [Echo::Always, Echo::Never, Echo::First] {
        let (address, _) = serve(echo);
        let client = Client::new(address);
        client.clone().probe().await.expect("the server responds");
        let (body, last) = dispatch(&client, 7).await;
        let is_own = body.ends_with("-7") && last == Some(Progress::End);
        let is_lost = body.is_empty() && last == Some(Progress::ConnectionLost);
        assert!(is_own || is_lost, "{echo:?}: {body:?} {last:?}");
    }
}
