//! Callers with one kept connection each.

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use compio::{net, runtime};
use cyper_core::HyperStream;
use http_body_util::{BodyExt, Full};
use hyper::{Request, client::conn::http1};

/// Accounts that the calls of one caller are spread over.
const ACCOUNTS: usize = 23;
/// Body of a short plain request.
const BODY: &[u8] = &[b'x'; 200];
/// Body of a request that waits.
const WAITING_BODY: &[u8] = &[b'x'; 1_024];

/// One caller.
pub struct Client {
    sender: http1::SendRequest<Full<Bytes>>,
    calls: usize,
    is_refused: bool,
}

impl Client {
    pub async fn connect(address: SocketAddr) -> Client {
        let stream = net::TcpStream::connect(address).await.expect("the process listens");
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(HyperStream::new_plain(stream)).await;
        let (sender, connection) = handshake.expect("a fresh connection");
        runtime::spawn(async move {
            let _ = connection.await;
        })
        .detach();
        Client { sender, calls: 0, is_refused: false }
    }

    /// Makes one short call and returns whether it was answered in full.
    pub async fn call(&mut self) -> bool {
        self.calls += 1;
        let response = match self.sender.send_request(request(BODY, self.calls)).await {
            Ok(response) => response,
            Err(error) => {
                if !self.is_refused {
                    self.is_refused = true;
                    eprintln!("failed: {error}");
                }
                return false;
            }
        };
        let is_success = response.status().is_success();
        let Ok(body) = response.into_body().collect().await else { return false };
        // Refusals make a measurement void, so the first of each caller is shown.
        if !is_success && !self.is_refused {
            self.is_refused = true;
            eprintln!("refused: {}", String::from_utf8_lossy(&body.to_bytes()));
        }
        is_success
    }
}

/// Reads `answers` streamed answers with `width` callers and returns how many parts came.
pub async fn stream(address: SocketAddr, width: usize, answers: usize) -> usize {
    let parts = Rc::new(Cell::new(0));
    let mut tasks = Vec::new();
    for caller in 0..width {
        let mut client = Client::connect(address).await;
        let parts = parts.clone();
        tasks.push(runtime::spawn(async move {
            for answer in 0..answers / width {
                let request = chat(caller * answers + answer);
                let response = client.sender.send_request(request).await.expect("an answer");
                assert!(response.status().is_success(), "refused: {}", response.status());
                let mut body = response.into_body();
                while let Some(Ok(_)) = body.frame().await {
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

fn chat(number: usize) -> Request<Full<Bytes>> {
    let body = format!(
        r#"{{"model":"assistant","messages":[{{"role":"user","content":"lot {number}"}}],"max_tokens":400,"stream":true}}"#
    );
    let request = Request::post("/v1/chat/completions")
        .header("host", "127.0.0.1")
        .header("x-account", format!("account-{:04}", number % ACCOUNTS))
        .header("content-type", "application/json");
    request.body(Full::new(body.into())).expect("a valid request")
}

/// Opens a call that is answered late; it ends when the task is dropped.
pub async fn open(address: SocketAddr) -> runtime::JoinHandle<()> {
    let mut client = Client::connect(address).await;
    runtime::spawn(async move {
        let _ = client.sender.send_request(request(WAITING_BODY, 0)).await;
    })
}

/// Makes `calls` calls from `width` callers and returns how many were answered.
pub async fn run(address: SocketAddr, width: usize, calls: usize) -> usize {
    let left = Rc::new(Cell::new(calls));
    let answered = Rc::new(Cell::new(0));
    let mut tasks = Vec::new();
    for _ in 0..width {
        let mut client = Client::connect(address).await;
        let (left, answered) = (left.clone(), answered.clone());
        tasks.push(runtime::spawn(async move {
            while left.get() > 0 {
                left.set(left.get() - 1);
                let is_answered = client.call().await;
                answered.set(answered.get() + usize::from(is_answered));
            }
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
    answered.get()
}

/// Returns a call; accounts take turns, since one account's plain calls go to the same agents.
fn request(body: &'static [u8], number: usize) -> Request<Full<Bytes>> {
    let request = Request::post("/quotes/lot-7")
        .header("host", "127.0.0.1")
        .header("x-account", format!("account-{:04}", number % ACCOUNTS))
        .header("content-type", "application/json");
    request.body(Full::new(Bytes::from_static(body))).expect("a constant request")
}
