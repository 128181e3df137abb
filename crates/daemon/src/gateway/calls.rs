//! Serves callers.

use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use gate::refusal::{Reason, Refusal};
use hyper::{Request, Response, body, header, header::HeaderValue};

use crate::{
    gateway::{Gateway, exchange, exchange::Exchange},
    http::{self, BodyError},
};

/// Largest body before a configuration says it, in bytes.
const MAX_BODY_BYTES: u64 = 4 << 20;

/// Handler of callers' requests.
pub struct Calls {
    pub gateway: Rc<Gateway>,
}

impl http::Handler for Calls {
    fn handle(
        self: Rc<Self>,
        request: Request<body::Incoming>,
    ) -> LocalBoxFuture<'static, Response<http::Body>> {
        Box::pin(async move {
            let last = platform::message::must_close(request.headers());
            let mut response = self.serve(request).await;
            if last || self.gateway.stopping.get() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            response
        })
    }
}

impl Calls {
    async fn serve(&self, request: Request<body::Incoming>) -> Response<http::Body> {
        let (parts, incoming) = request.into_parts();
        let limit = self.gateway.read(|machine| {
            machine.catalog().map_or(MAX_BODY_BYTES, |catalog| catalog.limits.max_body_bytes)
        });
        let refuse = |reason| exchange::refusal(&Refusal::new(reason), &Default::default());
        let body = match http::read_body(incoming, limit).await {
            Ok(body) => body,
            Err(BodyError::TooLarge) => return refuse(Reason::TooLarge),
            Err(BodyError::Timeout) => return refuse(Reason::SlowBody),
            Err(BodyError::Broken) => return refuse(Reason::Malformed),
        };
        let Some(call) = platform::message::decode_request(&parts, &body) else {
            return refuse(Reason::Malformed);
        };
        Exchange::open(self.gateway.clone(), parts, body, call).run().await
    }
}
