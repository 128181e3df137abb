//! Callers with one persistent connection each.

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use compio::{net, runtime};
use cyper_core::HyperStream;
use http_body_util::{BodyExt, Full};
use hyper::{Request, client::conn::http1};

/// Number of accounts over which the requests of one caller are spread.
const ACCOUNTS: usize = 23;
/// Body of a short plain request.
const BODY: &[u8] = &[b'x'; 200];
/// Body of a request whose response is delayed.
const DELAYED_BODY: &[u8] = &[b'x'; 1_024];

/// One caller.
pub struct Caller {
    sender: http1::SendRequest<Full<Bytes>>,
    requests: usize,
    has_failed: bool,
}

impl Caller {
    pub async fn connect(address: SocketAddr) -> Caller {
        let stream = net::TcpStream::connect(address).await.expect("the process listens");
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(HyperStream::new_plain(stream)).await;
        let (sender, connection) = handshake.expect("a fresh connection");
        runtime::spawn(async move {
            let _ = connection.await;
        })
        .detach();
        Caller { sender, requests: 0, has_failed: false }
    }

    /// Sends one short request and returns whether its response was successful and complete.
    pub async fn send(&mut self) -> bool {
        self.requests += 1;
        let response = match self.sender.send_request(plain_request(BODY, self.requests)).await {
            Ok(response) => response,
            Err(error) => {
                if !self.has_failed {
                    self.has_failed = true;
                    eprintln!("failed: {error}");
                }
                return false;
            }
        };
        let is_success = response.status().is_success();
        let Ok(body) = response.into_body().collect().await else { return false };
        // A refusal makes a measurement invalid, so the first one of each caller is printed.
        if !is_success && !self.has_failed {
            self.has_failed = true;
            eprintln!("refused: {}", String::from_utf8_lossy(&body.to_bytes()));
        }
        is_success
    }
}

/// Reads `responses` streamed responses with `width` callers and returns how many parts arrived.
pub async fn read_streams(address: SocketAddr, width: usize, responses: usize) -> usize {
    let parts = Rc::new(Cell::new(0));
    let mut tasks = Vec::new();
    for index in 0..width {
        let mut caller = Caller::connect(address).await;
        let parts = parts.clone();
        tasks.push(runtime::spawn(async move {
            for number in 0..responses / width {
                let request = chat_request(index * responses + number);
                let response = caller.sender.send_request(request).await.expect("a response");
                assert!(response.status().is_success(), "refused: {}", response.status());
                let mut body = response.into_body();
                while let Some(frame) = body.frame().await {
                    frame.expect("a complete response");
                    parts.set(parts.get() + 1);
                }
            }
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
    parts.get()
}

fn chat_request(number: usize) -> Request<Full<Bytes>> {
    let body = format!(
        r#"{{"model":"assistant","messages":[{{"role":"user","content":"lot {number}"}}],"max_tokens":400,"stream":true}}"#
    );
    let request = Request::post("/v1/chat/completions")
        .header("host", "127.0.0.1")
        .header("x-account", format!("account-{:04}", number % ACCOUNTS))
        .header("content-type", "application/json");
    request.body(Full::new(body.into())).expect("a valid request")
}

/// Opens a request whose response is delayed; it ends when the task is dropped.
pub async fn open_delayed(address: SocketAddr) -> runtime::JoinHandle<()> {
    let mut caller = Caller::connect(address).await;
    runtime::spawn(async move {
        let _ = caller.sender.send_request(plain_request(DELAYED_BODY, 0)).await;
    })
}

/// Sends `requests` requests from `width` callers and returns how many responses were complete.
pub async fn send_requests(address: SocketAddr, width: usize, requests: usize) -> usize {
    let remaining = Rc::new(Cell::new(requests));
    let complete = Rc::new(Cell::new(0));
    let mut tasks = Vec::new();
    for _ in 0..width {
        let mut caller = Caller::connect(address).await;
        let (remaining, complete) = (remaining.clone(), complete.clone());
        tasks.push(runtime::spawn(async move {
            while remaining.get() > 0 {
                remaining.set(remaining.get() - 1);
                let is_complete = caller.send().await;
                complete.set(complete.get() + usize::from(is_complete));
            }
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
    complete.get()
}

/// Returns a plain request. The accounts alternate, since the plain requests of one account go to
/// the same agents.
fn plain_request(body: &'static [u8], number: usize) -> Request<Full<Bytes>> {
    let request = Request::post("/quotes/lot-7")
        .header("host", "127.0.0.1")
        .header("x-account", format!("account-{:04}", number % ACCOUNTS))
        .header("content-type", "application/json");
    request.body(Full::new(Bytes::from_static(body))).expect("a constant request")
}
