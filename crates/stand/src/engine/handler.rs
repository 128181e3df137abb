//! HTTP interface of the engine.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use hyper::{Method, Response, StatusCode, header::HeaderValue};
use serde::Deserialize;
use wire::header;

use super::{Order, Shared};
use crate::{
    completion,
    http::{self, Body, HandlerResult, Request},
    port::{Controller, Port},
};

const STREAMS_PATH: &str = "/v1/streams/";

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
        // Records and control requests are served even while the engine is frozen.
        (&Method::GET, "/record") => return Ok(http::json_lines(shared.record())),
        (&Method::GET, "/orders") => {
            return Ok(http::json_lines(&shared.state.borrow().orders));
        }
        (&Method::POST, "/control") => return Ok(control(&shared, &request)),
        _ => {}
    }
    while shared.frozen_until.get() > shared.clock.now() {
        shared.clock.sleep_until(shared.frozen_until.get()).await;
    }
    let now = shared.advance();
    if !shared.state.borrow().model.is_up(now) {
        return Err(http::connection_aborted());
    }
    let instance = shared.state.borrow().model.instance();
    let id = request.header(header::REQUEST_ID).to_owned();
    let mut response = http::add_request_id(dispatch(&shared, request).await?, &id);
    if let Some(limit) = shared.rate_limit.get() {
        let limit = HeaderValue::try_from(limit.to_string()).map_err(io::Error::other)?;
        response.headers_mut().insert(header::RATE_LIMIT, limit);
    }
    Ok(http::add_instance_header(response, instance))
}

async fn dispatch(shared: &Rc<Shared>, request: Request) -> HandlerResult {
    if let Some(stream_id) = request.path.strip_prefix(STREAMS_PATH) {
        return Ok(match request.method {
            Method::GET => resume(shared, stream_id, &request),
            Method::DELETE if shared.cancel(stream_id) => http::text(StatusCode::OK, "cancelled\n"),
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
        (&Method::POST, "/v1/orders") => Ok(submit_order(shared, &request)),
        _ => Ok(http::not_found()),
    }
}

async fn complete(shared: &Rc<Shared>, request: &Request) -> HandlerResult {
    let completion = match completion::Request::parse(&request.body) {
        Ok(completion) => completion,
        Err(reason) => return Ok(http::bad_request(reason)),
    };
    let stream_id = match request.header(header::REQUEST_ID) {
        "" => format!("unnamed-{:016x}", fastrand::u64(..)),
        stream_id => stream_id.to_owned(),
    };
    let content_type = completion.content_type();
    let is_streamed = completion.stream;
    let stream =
        shared.submit(stream_id.clone(), completion).ok_or_else(http::connection_aborted)?;
    let mut response = if is_streamed {
        http::streamed(content_type, stream.read_from(0))
    } else {
        http::respond(StatusCode::OK, content_type, stream.wait_until_finished().await?)
    };
    if let Ok(value) = stream_id.parse() {
        response.headers_mut().insert(header::REQUEST_ID, value);
    }
    Ok(response)
}

fn resume(shared: &Shared, stream_id: &str, request: &Request) -> Response<Body> {
    shared.advance();
    let Ok(offset) = request.param("from").unwrap_or("0").parse() else {
        return http::bad_request("from: not a number\n");
    };
    let Some((_, stream)) = shared.find(stream_id) else { return http::not_found() };
    if stream.ended().is_some() && offset > stream.len() {
        return http::text(StatusCode::RANGE_NOT_SATISFIABLE, "from: past the end\n");
    }
    http::streamed(stream.request.content_type(), stream.read_from(offset))
}

fn submit_order(shared: &Shared, request: &Request) -> Response<Body> {
    let mut state = shared.state.borrow_mut();
    let fence = request.header(header::FENCE).parse().ok();
    let checks_fence = shared.settings.checks_fence;
    if checks_fence && fence.is_none() {
        return http::bad_request("x-fence: missing or not a number\n");
    }
    let accepted = !checks_fence || fence >= state.highest_fence;
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
    if let Some(millis) = control.freeze_ms {
        shared.freeze(Duration::from_millis(millis));
    }
    if control.crash {
        shared.crash(Some(request.connection));
    }
    http::text(StatusCode::OK, "ok\n")
}
