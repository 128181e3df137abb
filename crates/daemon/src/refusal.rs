//! Encodes refusals for callers as HTTP status, headers and a JSON body.

use hyper::{Response, header};
use serde::Serialize;
use wire::outcome::{Outcome, Reason, Refusal};

use crate::http;

/// The response body, in the format that chat-completions clients expect.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: Detail<'a>,
}

#[derive(Debug, Serialize)]
struct Detail<'a> {
    message: String,
    #[serde(rename = "type")]
    kind: &'static str,
    code: Reason,
    outcome: Outcome,
    step: wire::outcome::Step,
    peer: std::borrow::Cow<'a, str>,
    request_id: &'a str,
    /// Milliseconds until a retry may succeed.
    retry_after_ms: Option<u64>,
}

/// Returns the response body as JSON text.
///
/// # Panics
///
/// Panics if the refusal can't be serialised.
pub fn text(refusal: &Refusal, request_id: &str) -> String {
    let Refusal { outcome, step, reason, peer, retry_after } = refusal;
    let body = ErrorBody {
        error: Detail {
            message: format!("request ended at step {step} with outcome {outcome}: {reason}"),
            kind: if status(refusal) < 500 { "invalid_request_error" } else { "server_error" },
            code: *reason,
            outcome: *outcome,
            step: *step,
            peer: String::from_utf8_lossy(peer),
            request_id,
            retry_after_ms: retry_after.map(|wait| wait.as_millis() as u64),
        },
    };
    serde_json::to_string(&body).expect("refusals serialise")
}

/// Returns the response for a refusal.
pub fn response(refusal: &Refusal, request_id: &str) -> Response<http::Body> {
    let text = text(refusal, request_id);
    let mut response = http::buffered(status(refusal), "application/json", text.into());
    let headers = response.headers_mut();
    let outcome = refusal.outcome.to_string();
    if let Ok(outcome) = header::HeaderValue::from_str(&outcome) {
        headers.insert(wire::header::OUTCOME, outcome);
    }
    if let Ok(id) = header::HeaderValue::from_str(request_id) {
        headers.insert(wire::header::REQUEST_ID, id);
    }
    if let Some(wait) = refusal.retry_after {
        // The header is in whole seconds.
        let seconds = wait.as_millis().div_ceil(1000).max(1) as u64;
        headers.insert(header::RETRY_AFTER, seconds.into());
    }
    response
}

fn status(refusal: &Refusal) -> u16 {
    match (refusal.outcome, refusal.reason) {
        (Outcome::Incomplete, _) | (Outcome::Unknown, Reason::BackendStatus) => 502,
        (Outcome::Unknown, _) => 504,
        (Outcome::NotRun, Reason::BadRequest | Reason::BadKey) => 400,
        (Outcome::NotRun, Reason::UnknownAccount) => 401,
        (Outcome::NotRun, Reason::NoRoute) => 404,
        (Outcome::NotRun, Reason::TooLarge) => 413,
        (Outcome::NotRun, Reason::AccountLimit) => 429,
        (Outcome::NotRun, Reason::Poison) => 422,
        (Outcome::NotRun, _) => 503,
    }
}
