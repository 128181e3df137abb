//! HTTP interface of an entry for callers.

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
    caller::{Buffer, Caller},
    chat, clock,
    http::{self, BodyError},
    refusal,
    role_entry::{Entry, ResponsePart},
    stream,
};

/// Path of requests to models.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Path of the health check for load balancers.
const HEALTH_PATH: &str = "/healthz";
/// Path at which callers get idempotency keys.
const KEY_PATH: &str = "/v1/idempotency-keys";
/// Bound on a body if no route matches its path.
const MAX_BODY_BYTES: u64 = 16 << 20;
/// Bound on a response that is buffered until it is complete.
const MAX_BUFFERED_BYTES: usize = 64 << 20;

/// Time between the error event of a stream and the abort of its connection, so that the event is
/// sent first. When a body fails, the HTTP library discards the bytes that it has not sent yet.
const ABORT_DELAY: Duration = Duration::from_millis(100);

/// Serves callers of one entry.
pub struct Callers {
    entry: Rc<Entry>,
}

/// Start time of a request, and the account and tier under which its durations are recorded.
struct Timing {
    account: Bytes,
    tier: Bytes,
    started: wire::time::Instant,
}

/// Reports the caller as disconnected when dropped, which ends a request that is still open.
struct Guard {
    entry: Rc<Entry>,
    caller: u64,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.entry.disconnect_caller(self.caller);
    }
}

impl http::Handler for Callers {
    fn handle(
        self: Rc<Self>,
        request: Request<body::Incoming>,
        caller: Caller,
    ) -> LocalBoxFuture<'static, Response<http::Body>> {
        Box::pin(async move { self.respond(request, caller).await })
    }
}

impl Callers {
    /// Returns the handler of requests to `entry`.
    pub fn new(entry: Rc<Entry>) -> Rc<Callers> {
        Rc::new(Callers { entry })
    }

    async fn respond(
        &self,
        request: Request<body::Incoming>,
        caller: Caller,
    ) -> Response<http::Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, HEALTH_PATH) => http::empty(self.health()),
            (&Method::POST, KEY_PATH) => self.handle_key_request(&request).await,
            _ => match self.handle_request(request, caller).await {
                Ok(response) => response,
                Err(refusal) => refusal::response(&refusal, ""),
            },
        }
    }

    /// Returns the status for a load balancer: 503 if this entry would refuse every request.
    fn health(&self) -> u16 {
        if self.entry.is_serving() { 200 } else { 503 }
    }

    async fn handle_key_request(&self, request: &Request<body::Incoming>) -> Response<http::Body> {
        let header_account = request.headers().get(names::ACCOUNT);
        let header_account = header_account.map(|value| Bytes::copy_from_slice(value.as_bytes()));
        let (account, authenticated) = self.authenticate(request.headers(), header_account);
        // Agents store a bounded number of keys, so only admitted accounts get them.
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
        match self.entry.issue_key(route).await {
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

    async fn handle_request(
        &self,
        request: Request<body::Incoming>,
        connection: Caller,
    ) -> Result<Response<http::Body>, Refusal> {
        let (parts, unread_body) = request.into_parts();
        let limit = self.body_limit(parts.uri.path());
        let body = http::read_body(unread_body, limit, &connection).await.map_err(|error| {
            self.refuse(match error {
                BodyError::TooLarge => Reason::TooLarge,
                BodyError::NoMemory => Reason::Overload,
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
        let incoming = self.parse(&parts, &body, summary)?;
        let timing = Timing {
            account: incoming.account.clone(),
            tier: tier(&self.entry.tree(), &incoming),
            started: clock::now(),
        };
        let (caller, response_parts) =
            self.entry.open_request(body, connection.clone(), |caller| entry::IncomingRequest {
                caller,
                ..incoming
            });
        let guard = Guard { entry: self.entry.clone(), caller };
        Ok(match stream {
            true => self.respond_streamed(response_parts, guard, timing, connection).await,
            false => self.respond_buffered(response_parts, guard, timing, connection).await,
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
        let (account, authenticated) = self.authenticate(&parts.headers, text(names::ACCOUNT));
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
            idempotency_key: text(names::IDEMPOTENCY_KEY),
            prompt_tokens: summary.prompt_tokens,
            output_tokens: summary.output_tokens,
            body_len: body.len() as u64,
            body_hash: xxh3::xxh3_64(body),
            prefix_hash: summary.prefix_hash,
        })
    }

    /// Returns the account and whether the bearer token authenticates it. Without an account
    /// header the token alone identifies the account, since existing chat-completions clients send
    /// nothing else.
    fn authenticate(
        &self,
        headers: &hyper::HeaderMap,
        header_account: Option<Bytes>,
    ) -> (Bytes, bool) {
        let token = headers
            .get(header::AUTHORIZATION)
            .and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "));
        let Some(token) = token else { return (header_account.unwrap_or_default(), false) };
        let hash = hex(&sha2::Sha256::digest(token.as_bytes()));
        let tree = self.entry.tree();
        match header_account {
            Some(name) => {
                let expected = tree.accounts.get(&name).map(|a| &a.api_key_sha256[..]);
                let is_authenticated = expected == Some(hash.as_bytes());
                (name, is_authenticated)
            }
            None => {
                let mut accounts = tree.accounts.iter();
                let found = accounts.find(|(_, a)| a.api_key_sha256 == hash.as_bytes());
                found.map_or((Bytes::new(), false), |(name, _)| (name.clone(), true))
            }
        }
    }

    /// Responds once the response is complete.
    async fn respond_buffered(
        &self,
        mut response_parts: mpsc::UnboundedReceiver<ResponsePart>,
        guard: Guard,
        timing: Timing,
        connection: Caller,
    ) -> Response<http::Body> {
        let mut head = None;
        let mut buffered = Buffer::new(connection);
        while let Some(part) = response_parts.next().await {
            match part {
                ResponsePart::Start { request, status, content_type } => {
                    self.record("first_token_ms", &timing);
                    head = Some((request, status, content_type));
                }
                ResponsePart::Data(bytes) if buffered.len() + bytes.len() > MAX_BUFFERED_BYTES => {
                    break;
                }
                ResponsePart::Data(bytes) => {
                    if buffered.extend(&bytes, MAX_BUFFERED_BYTES).is_err() {
                        break;
                    }
                }
                ResponsePart::Finish => {
                    let Some((request, status, content_type)) = head else { break };
                    self.record("total_ms", &timing);
                    drop(guard);
                    let response = http::respond(status, &content_type, buffered.into_body());
                    return with_request_id(response, request);
                }
                ResponsePart::Refuse { request, refusal } => {
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

    /// Responds with a stream as soon as the response starts; a refusal before that is an ordinary
    /// response.
    async fn respond_streamed(
        &self,
        mut response_parts: mpsc::UnboundedReceiver<ResponsePart>,
        guard: Guard,
        timing: Timing,
        connection: Caller,
    ) -> Response<http::Body> {
        match response_parts.next().await {
            Some(ResponsePart::Start { request, status, content_type }) => {
                self.record("first_token_ms", &timing);
                let (sender, receiver) = stream::channel(Some(connection));
                let entry = self.entry.clone();
                let caller = guard.caller;
                let copier = copy_parts(response_parts, sender, entry, timing, (caller, request));
                // When the body is dropped, the task ends and the caller is reported as
                // disconnected.
                let copier = compio::runtime::spawn(copier);
                let response = http::streamed(status, &content_type, receiver, (guard, copier));
                with_request_id(response, request)
            }
            Some(ResponsePart::Refuse { request, refusal }) => {
                let id = request.map(|request| request.to_string()).unwrap_or_default();
                refusal::response(&refusal, &id)
            }
            _ => refusal::response(&self.refuse(Reason::NotReady), ""),
        }
    }

    fn record(&self, name: &'static str, timing: &Timing) {
        let time = clock::now().since(timing.started);
        self.entry.metrics.record(name, &timing.account, &timing.tier, time);
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

async fn copy_parts(
    mut response_parts: mpsc::UnboundedReceiver<ResponsePart>,
    sender: stream::Sender,
    entry: Rc<Entry>,
    timing: Timing,
    (caller, request): (u64, id::Request),
) {
    let mut last = clock::now();
    while let Some(part) = response_parts.next().await {
        let now = clock::now();
        match part {
            ResponsePart::Data(bytes) => {
                let between = now.since(last);
                entry.metrics.record("between_tokens_ms", &timing.account, &timing.tier, between);
                last = now;
                if !sender.send(bytes) {
                    tracing::warn!(event = "caller_too_slow", %request);
                    entry.disconnect_caller(caller);
                    break;
                }
            }
            ResponsePart::Finish => {
                let total = now.since(timing.started);
                entry.metrics.record("total_ms", &timing.account, &timing.tier, total);
                return sender.finish();
            }
            ResponsePart::Refuse { refusal, .. } => {
                let text = refusal::text(&refusal, &request.to_string());
                let event = format!("event: error\ndata: {text}\n\n");
                let _ = sender.send(event.into());
                compio::time::sleep(ABORT_DELAY).await;
                break;
            }
            ResponsePart::Start { .. } => {}
        }
    }
    // The sender is dropped without the end of the body, so that HTTP clients don't take a truncated
    // response for a complete one.
}

/// Returns the name of a request's tier. If the request names none, this is the tier of its route,
/// lowered to the account's top tier.
fn tier(tree: &tree::Tree, incoming: &entry::IncomingRequest) -> Bytes {
    if let Some(requested) = &incoming.tier {
        return requested.clone();
    }
    let Some((_, route)) = route::find(tree, &incoming.path, &incoming.model) else {
        return Bytes::new();
    };
    let top_tier = tree.accounts.get(&incoming.account).map(|account| &account.top_tier);
    let rank = |name: &Bytes| tree.tiers.get(name).map(|tier| tier.rank);
    match (rank(&route.tier), top_tier.and_then(rank), top_tier) {
        (Some(route_rank), Some(top_rank), Some(top_tier)) if route_rank.outranks(top_rank) => {
            top_tier.clone()
        }
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

fn with_request_id(
    mut response: Response<http::Body>,
    request: id::Request,
) -> Response<http::Body> {
    if let Ok(id) = header::HeaderValue::from_str(&request.to_string()) {
        response.headers_mut().insert(names::REQUEST_ID, id);
    }
    response
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
