//! Handler of callers' requests: reads them completely, then runs the exchange.

use std::{pin::pin, rc::Rc, time::Duration};

use futures_util::future::{self, Either, LocalBoxFuture};
use gate::refusal::{Reason, Refusal};
use hyper::{Request, Response, body, header, header::HeaderValue};

use crate::{
    caller::Caller,
    gateway::{Gateway, exchange, exchange::Exchange},
    http::{self, BodyError},
};

/// Largest request body until a configuration is read, in bytes.
const MAX_BODY_BYTES: u64 = 4 << 20;

/// Mean time after which a caller may retry whose body found no memory. Requests that take it end
/// within seconds.
const NO_MEMORY_RETRY: Duration = Duration::from_secs(1);

pub struct RequestHandler {
    pub gateway: Rc<Gateway>,
}

impl http::Handler for RequestHandler {
    fn handle(
        self: Rc<Self>,
        request: Request<body::Incoming>,
        caller: Caller,
    ) -> LocalBoxFuture<'static, Response<http::Body>> {
        Box::pin(async move {
            let must_close = platform::message::must_close(request.headers());
            let mut response = self.serve(request, caller).await;
            if must_close || self.gateway.stopping.get() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            response
        })
    }
}

impl RequestHandler {
    async fn serve(
        &self,
        request: Request<body::Incoming>,
        caller: Caller,
    ) -> Response<http::Body> {
        let (parts, incoming) = request.into_parts();
        let limit = self.gateway.read(|machine| {
            machine.catalog().map_or(MAX_BODY_BYTES, |catalog| catalog.limits.max_body_bytes)
        });
        let id = platform::message::request_id(&parts.headers);
        let metrics = &self.gateway.metrics;
        let refuse = |reason| exchange::refuse(metrics, &Refusal::new(reason), &id);
        let body = match http::read_body(incoming, limit, &caller).await {
            Ok(body) => body,
            Err(BodyError::TooLarge) => return refuse(Reason::TooLarge),
            Err(BodyError::NoMemory) => {
                let retry_after = Some(NO_MEMORY_RETRY.mul_f64(0.5 + fastrand::f64()));
                let refusal = Refusal { retry_after, ..Refusal::new(Reason::NoMemory) };
                return exchange::refuse(metrics, &refusal, &id);
            }
            Err(BodyError::Timeout) => return refuse(Reason::SlowBody),
            Err(BodyError::Broken) => return refuse(Reason::Malformed),
        };
        let Some(gateway_request) = platform::message::decode_request(&parts, &body) else {
            return refuse(Reason::Malformed);
        };
        let exchange = Exchange::open(self.gateway.clone(), parts, body, gateway_request, caller);
        match future::select(pin!(exchange.run()), self.gateway.nearly_over.clone()).await {
            Either::Left((response, _)) => response,
            Either::Right(_) => refuse(Reason::Interrupted),
        }
    }
}
