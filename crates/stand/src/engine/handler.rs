//! HTTP interface of the engine.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use hyper::{Method, Response, StatusCode};
use serde::Deserialize;
use wire::header;

use super::{Order, Shared};
use crate::{
    completion,
    http::{self, Body, HandlerResult, Request},
    port::{Controller, Port},
};

const STREAMS: &str = "/v1/streams/";

#[derive(Deserialize)]
struct Control {
    #[serde(default)]
    crash: bool,
    slow: Option<f64>,
    freeze_ms: Option<u64>,
}

/// Serves the engine on `address`.
pub(super) fn serve(
    address: SocketAddr,
    controller: Rc<Controller>,
    shared: Rc<Shared>,
) -> io::Result<Port> {
    http::serve(address, controller, move |request| handle(shared.clone(), request))
}

async fn handle(shared: Rc<Shared>, request: Request) -> HandlerResult {
    match (&request.method, request.path.as_str()) {
        // Tests read and control a frozen engine too.
        (&Method::GET, "/record") => return Ok(http::json_lines(shared.record())),
        (&Method::GET, "/orders") => {
            return Ok(http::json_lines(&shared.state.borrow().orders));
        }
        (&Method::POST, "/control") => return Ok(control(&shared, &request)),
        _ => {}
    }
    while shared.thaw.get() > shared.clock.now() {
        shared.clock.sleep_until(shared.thaw.get()).await;
    }
    let now = shared.advance();
    if !shared.state.borrow().model.is_up(now) {
        return Err(http::dropped());
    }
    let instance = shared.state.borrow().model.instance();
    let answer = route(&shared, request).await?;
    Ok(http::stamp(answer, instance))
}

async fn route(shared: &Rc<Shared>, request: Request) -> HandlerResult {
    if let Some(name) = request.path.strip_prefix(STREAMS) {
        return Ok(match request.method {
            Method::GET => resume(shared, name, &request),
            Method::DELETE if shared.cancel(name) => http::text(StatusCode::OK, "cancelled\n"),
            _ => http::not_found(),
        });
    }
    match (&request.method, request.path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => complete(shared, &request).await,
        (&Method::GET, "/health") => Ok(http::text(StatusCode::OK, "ok\n")),
        (&Method::GET, "/v1/load") => {
            let now = shared.advance();
            Ok(http::json(&shared.state.borrow().model.load(now)))
        }
        (&Method::POST, "/v1/orders") => Ok(order(shared, &request)),
        _ => Ok(http::not_found()),
    }
}

async fn complete(shared: &Rc<Shared>, request: &Request) -> HandlerResult {
    let completion = match completion::Request::parse(&request.body) {
        Ok(completion) => completion,
        Err(reason) => return Ok(http::bad_request(reason)),
    };
    let name = match request.header(header::REQUEST_ID) {
        "" => format!("unnamed-{:016x}", fastrand::u64(..)),
        name => name.to_owned(),
    };
    let kind = completion.content_type();
    let streamed = completion.stream;
    let stream = shared.submit(name.clone(), completion).ok_or_else(http::dropped)?;
    let mut answer = if streamed {
        http::streamed(kind, stream.follow(0))
    } else {
        http::respond(StatusCode::OK, kind, stream.whole().await?)
    };
    if let Ok(value) = name.parse() {
        answer.headers_mut().insert(header::REQUEST_ID, value);
    }
    Ok(answer)
}

fn resume(shared: &Shared, name: &str, request: &Request) -> Response<Body> {
    shared.advance();
    let Ok(from) = request.param("from").unwrap_or("0").parse() else {
        return http::bad_request("from: not a number\n");
    };
    let Some((_, stream)) = shared.find(name) else { return http::not_found() };
    if stream.ended().is_some() && from > stream.len() {
        return http::text(StatusCode::RANGE_NOT_SATISFIABLE, "from: past the end\n");
    }
    http::streamed(stream.request.content_type(), stream.follow(from))
}

fn order(shared: &Shared, request: &Request) -> Response<Body> {
    let mut state = shared.state.borrow_mut();
    let fence = request.header(header::FENCE).parse().ok();
    let checks = shared.settings.checks_fence;
    if checks && fence.is_none() {
        return http::bad_request("x-fence: missing or not a number\n");
    }
    let accepted = !checks || fence >= state.highest_fence;
    state.highest_fence = state.highest_fence.max(fence);
    let instance = state.model.instance();
    let body = String::from_utf8_lossy(&request.body).into_owned();
    state.orders.push(Order { fence, accepted, instance, body });
    if accepted {
        http::text(StatusCode::OK, "accepted\n")
    } else {
        http::text(StatusCode::CONFLICT, "x-fence: lower than one already seen\n")
    }
}

fn control(shared: &Shared, request: &Request) -> Response<Body> {
    let control: Control = match request.json() {
        Ok(control) => control,
        Err(reason) => return http::bad_request(reason),
    };
    if let Some(factor) = control.slow {
        shared.state.borrow_mut().model.set_slowdown(factor);
    }
    if let Some(span) = control.freeze_ms {
        shared.freeze(Duration::from_millis(span));
    }
    if control.crash {
        shared.crash(Some(request.connection));
    }
    http::text(StatusCode::OK, "ok\n")
}
