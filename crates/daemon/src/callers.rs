//! The callers' interface of an entry.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use conf::tree;
use entry::route;
use futures_channel::mpsc;
use futures_util::{StreamExt, future::LocalBoxFuture};
use hyper::{Method, Request, Response, body, header};
use serde_json::json;
use sha2::Digest;
use wire::{
    header as names, id,
    outcome::{Outcome, Reason, Refusal, Step},
};
use xxhash_rust::xxh3;

use crate::{
    chat, clock,
    http::{self, BodyError},
    refusal,
    role_entry::{Answer, Entry},
    stream,
};

/// Path of model calls.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Path at which a load balancer asks whether to send calls.
const HEALTH_PATH: &str = "/healthz";
/// Path at which callers get idempotency keys.
const KEY_PATH: &str = "/v1/idempotency-keys";
/// Bound on a body before its route is known.
const MAX_BODY_BYTES: u64 = 16 << 20;
/// Bound on an answer that is held until it is whole.
const MAX_WHOLE_BYTES: usize = 64 << 20;

/// Time between the error event of a stream and the abort of its connection. The HTTP library
/// discards bytes that it has not sent yet when a body fails.
const ABORT_DELAY: Duration = Duration::from_millis(100);

/// Serves callers of one entry.
pub struct Callers {
    entry: Rc<Entry>,
}

/// What a streamed or held answer is recorded under.
struct Series {
    account: Bytes,
    tier: Bytes,
    started: wire::time::Instant,
}

/// Tells the entry when the caller's connection ends before its answer.
struct Guard {
    entry: Rc<Entry>,
    caller: u64,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.entry.close(self.caller);
    }
}

impl http::Handler for Callers {
    fn handle(
        self: Rc<Self>,
        request: Request<body::Incoming>,
    ) -> LocalBoxFuture<'static, Response<http::Body>> {
        Box::pin(async move { self.answer(request).await })
    }
}

impl Callers {
    /// Returns the interface of `entry`.
    pub fn new(entry: Rc<Entry>) -> Rc<Callers> {
        Rc::new(Callers { entry })
    }

    async fn answer(&self, request: Request<body::Incoming>) -> Response<http::Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, HEALTH_PATH) => http::empty(self.health()),
            (&Method::POST, KEY_PATH) => self.issue_key(&request).await,
            _ => match self.call(request).await {
                Ok(response) => response,
                Err(refusal) => refusal::response(&refusal, ""),
            },
        }
    }

    /// Returns the status for a load balancer, which is to send no calls to an entry that would
    /// refuse them all.
    fn health(&self) -> u16 {
        if self.entry.is_serving() { 200 } else { 503 }
    }

    async fn issue_key(&self, request: &Request<body::Incoming>) -> Response<http::Body> {
        let named = request.headers().get(names::ACCOUNT);
        let named = named.map(|value| Bytes::copy_from_slice(value.as_bytes()));
        let (account, authenticated) = self.account(request.headers(), named);
        // Agents keep a bounded number of keys, so only known accounts get them.
        if self.entry.is_serving() && !self.is_admitted(&account, authenticated) {
            return refusal::response(&self.refuse(Reason::UnknownAccount), "");
        }
        let route = request
            .uri()
            .query()
            .unwrap_or_default()
            .split('&')
            .find_map(|pair| pair.strip_prefix("route="))
            .unwrap_or_default();
        let route = Bytes::copy_from_slice(route.as_bytes());
        match self.entry.key(route).await {
            Some(Ok(key)) => http::json(201, &json!({ "idempotency_key": key.to_string() })),
            Some(Err(refused)) => refusal::response(&refused, ""),
            None => refusal::response(&self.refuse(Reason::NotReady), ""),
        }
    }

    fn is_admitted(&self, account: &Bytes, authenticated: bool) -> bool {
        let tree = self.entry.tree();
        let account = tree.accounts.get(account);
        account.is_some_and(|account| account.admits(authenticated))
    }

    async fn call(
        &self,
        request: Request<body::Incoming>,
    ) -> Result<Response<http::Body>, Refusal> {
        let (parts, incoming) = request.into_parts();
        let limit = self.body_limit(parts.uri.path());
        let body = http::read_body(incoming, limit).await.map_err(|error| {
            self.refuse(match error {
                BodyError::TooLarge => Reason::TooLarge,
                BodyError::Timeout | BodyError::Broken => Reason::BadRequest,
            })
        })?;
        let is_chat = parts.uri.path() == CHAT_PATH;
        let summary = match is_chat {
            true => chat::summarise(&body).map_err(|error| {
                tracing::info!(event = "bad_body", %error);
                self.refuse(Reason::BadRequest)
            })?,
            false => plain_summary(body.len()),
        };
        let stream = summary.stream;
        let call = self.parse(&parts, &body, summary)?;
        let series = Series {
            account: call.account.clone(),
            tier: tier(&self.entry.tree(), &call),
            started: clock::now(),
        };
        let (caller, answers) =
            self.entry.open(body, |caller| entry::IncomingRequest { caller, ..call });
        let guard = Guard { entry: self.entry.clone(), caller };
        Ok(match stream {
            true => self.stream(answers, guard, series).await,
            false => self.hold(answers, guard, series).await,
        })
    }

    fn body_limit(&self, path: &str) -> u64 {
        let tree = self.entry.tree();
        let routes = tree.routes.values();
        let matching = routes.filter(|route| path.as_bytes().starts_with(&route.path));
        matching.map(|route| route.max_body_bytes).max().unwrap_or(MAX_BODY_BYTES)
    }

    fn parse(
        &self,
        parts: &hyper::http::request::Parts,
        body: &Bytes,
        summary: chat::Summary,
    ) -> Result<entry::IncomingRequest, Refusal> {
        let text = |name: &str| {
            let value = parts.headers.get(name)?;
            Some(Bytes::copy_from_slice(value.as_bytes()))
        };
        let deadline = match parts.headers.get(names::DEADLINE_MS) {
            Some(value) => {
                let value = value.to_str().ok().and_then(|text| text.parse().ok());
                Some(Duration::from_millis(value.ok_or_else(|| self.refuse(Reason::BadRequest))?))
            }
            None => None,
        };
        let (account, authenticated) = self.account(&parts.headers, text(names::ACCOUNT));
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        Ok(entry::IncomingRequest {
            caller: 0,
            method: Bytes::copy_from_slice(parts.method.as_str().as_bytes()),
            path: Bytes::copy_from_slice(path.as_bytes()),
            content_type: text(header::CONTENT_TYPE.as_str()).unwrap_or_default(),
            model: summary.model.into(),
            account,
            authenticated,
            tier: text(names::TIER),
            deadline,
            key: text(names::IDEMPOTENCY_KEY),
            prompt_tokens: summary.prompt_tokens,
            output_tokens: summary.output_tokens,
            body_len: body.len() as u64,
            body_hash: xxh3::xxh3_64(body),
            prefix_hash: summary.prefix_hash,
        })
    }

    /// Returns the account and whether the bearer token is its own. Without an account header
    /// the token alone names the account, as existing chat-completions clients send it.
    fn account(&self, headers: &hyper::HeaderMap, named: Option<Bytes>) -> (Bytes, bool) {
        let token = headers
            .get(header::AUTHORIZATION)
            .and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "));
        let Some(token) = token else { return (named.unwrap_or_default(), false) };
        let hash = hex(&sha2::Sha256::digest(token.as_bytes()));
        let tree = self.entry.tree();
        match named {
            Some(name) => {
                let expected = tree.accounts.get(&name).map(|a| &a.api_key_sha256[..]);
                let same = expected == Some(hash.as_bytes());
                (name, same)
            }
            None => {
                let mut accounts = tree.accounts.iter();
                let found = accounts.find(|(_, a)| a.api_key_sha256 == hash.as_bytes());
                found.map_or((Bytes::new(), false), |(name, _)| (name.clone(), true))
            }
        }
    }

    /// Answers once the whole answer is known.
    async fn hold(
        &self,
        mut answers: mpsc::UnboundedReceiver<Answer>,
        guard: Guard,
        series: Series,
    ) -> Response<http::Body> {
        let mut head = None;
        let mut whole = Vec::new();
        while let Some(answer) = answers.next().await {
            match answer {
                Answer::Start { request, status, content_type } => {
                    self.record("first_token_ms", &series);
                    head = Some((request, status, content_type));
                }
                Answer::Data(bytes) if whole.len() + bytes.len() > MAX_WHOLE_BYTES => break,
                Answer::Data(bytes) => whole.extend_from_slice(&bytes),
                Answer::Finish => {
                    let Some((request, status, content_type)) = head else { break };
                    self.record("total_ms", &series);
                    drop(guard);
                    let content_type = String::from_utf8_lossy(&content_type);
                    let response = http::buffered(status, &content_type, whole.into());
                    return with_id(response, request);
                }
                Answer::Refuse { request, refusal } => {
                    let id = request.map(|request| request.to_string()).unwrap_or_default();
                    return refusal::response(&refusal, &id);
                }
            }
        }
        let id = head.map(|(request, ..)| request.to_string()).unwrap_or_default();
        let (outcome, step) = (Outcome::Incomplete, Step::MidStream);
        let refusal = Refusal { outcome, step, ..self.refuse(Reason::TooLarge) };
        refusal::response(&refusal, &id)
    }

    /// Answers with a stream from the first bytes on; a refusal before them is a plain answer.
    async fn stream(
        &self,
        mut answers: mpsc::UnboundedReceiver<Answer>,
        guard: Guard,
        series: Series,
    ) -> Response<http::Body> {
        match answers.next().await {
            Some(Answer::Start { request, status, content_type }) => {
                self.record("first_token_ms", &series);
                let (sender, receiver) = stream::channel();
                let entry = self.entry.clone();
                let caller = guard.caller;
                let copy = copy_answers(answers, sender, entry, series, (caller, request));
                // Dropped with the body, which ends the copy and reports the caller as gone.
                let copy = compio::runtime::spawn(copy);
                let response = http::streamed(status, &content_type, receiver, (guard, copy));
                with_id(response, request)
            }
            Some(Answer::Refuse { request, refusal }) => {
                let id = request.map(|request| request.to_string()).unwrap_or_default();
                refusal::response(&refusal, &id)
            }
            _ => refusal::response(&self.refuse(Reason::NotReady), ""),
        }
    }

    fn record(&self, name: &'static str, series: &Series) {
        let time = clock::now().since(series.started);
        self.entry.metrics.record(name, &series.account, &series.tier, time);
    }

    fn refuse(&self, reason: Reason) -> Refusal {
        Refusal {
            outcome: Outcome::NotRun,
            step: Step::Received,
            reason,
            peer: self.entry.host(),
            retry_after: None,
        }
    }
}

async fn copy_answers(
    mut answers: mpsc::UnboundedReceiver<Answer>,
    sender: stream::Sender,
    entry: Rc<Entry>,
    series: Series,
    (caller, request): (u64, id::Request),
) {
    let mut last = clock::now();
    while let Some(answer) = answers.next().await {
        let now = clock::now();
        match answer {
            Answer::Data(bytes) => {
                let between = now.since(last);
                entry.metrics.record("between_tokens_ms", &series.account, &series.tier, between);
                last = now;
                if !sender.send(bytes) {
                    tracing::warn!(event = "caller_too_slow", %request);
                    entry.close(caller);
                    break;
                }
            }
            Answer::Finish => {
                let total = now.since(series.started);
                entry.metrics.record("total_ms", &series.account, &series.tier, total);
                return;
            }
            Answer::Refuse { refusal, .. } => {
                let text = refusal::text(&refusal, &request.to_string());
                let event = format!("event: error\ndata: {text}\n\n");
                let _ = sender.send(event.into());
                compio::time::sleep(ABORT_DELAY).await;
                break;
            }
            Answer::Start { .. } => {}
        }
    }
    // Without the last chunk, a client library can't take a cut answer for a whole one.
    sender.abort();
}

/// Returns the name of the tier that a call runs at: the one it names, or its route's, lowered
/// to the account's top tier.
fn tier(tree: &tree::Tree, call: &entry::IncomingRequest) -> Bytes {
    if let Some(named) = &call.tier {
        return named.clone();
    }
    let Some((_, route)) = route::find(tree, &call.path, &call.model) else { return Bytes::new() };
    let top = tree.accounts.get(&call.account).map(|account| &account.top_tier);
    let rank = |name: &Bytes| tree.tiers.get(name).map(|tier| tier.rank);
    match (rank(&route.tier), top.and_then(rank), top) {
        (Some(own), Some(highest), Some(top)) if own.outranks(highest) => top.clone(),
        _ => route.tier.clone(),
    }
}

fn plain_summary(body_len: usize) -> chat::Summary {
    chat::Summary {
        model: String::new(),
        stream: false,
        prompt_tokens: (body_len / 4).clamp(1, u32::MAX as usize) as u32,
        output_tokens: 1,
        prefix_hash: 0,
    }
}

fn with_id(mut response: Response<http::Body>, request: id::Request) -> Response<http::Body> {
    if let Ok(id) = header::HeaderValue::from_str(&request.to_string()) {
        response.headers_mut().insert(names::REQUEST_ID, id);
    }
    response
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
