//! What a caller saw of an answer.

use bytes::Bytes;
use futures_util::StreamExt;
use serde_json::Value;

/// What a caller saw.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub outcome: Option<String>,
    pub request_id: Option<String>,
    pub body: Bytes,
    /// Why the answer is not whole.
    pub broken: Option<String>,
}

impl Reply {
    /// Reads an answer and keeps what came of a cut one.
    pub async fn read(response: cyper::Response) -> Reply {
        let text = |name: &str| {
            let value = response.headers().get(name)?;
            Some(value.to_str().ok()?.to_owned())
        };
        let mut reply = Reply {
            status: response.status().as_u16(),
            outcome: text("x-outcome"),
            request_id: text("x-request-id"),
            body: Bytes::new(),
            broken: None,
        };
        let mut whole = Vec::new();
        let mut parts = response.bytes_stream();
        while let Some(part) = parts.next().await {
            match part {
                Ok(part) => whole.extend_from_slice(&part),
                Err(error) => reply.broken = Some(error.to_string()),
            }
        }
        reply.body = whole.into();
        reply
    }

    /// Returns what a caller without an answer saw.
    pub fn broken(error: &cyper::Error) -> Reply {
        Reply {
            status: 0,
            outcome: None,
            request_id: None,
            body: Bytes::new(),
            broken: Some(error.to_string()),
        }
    }

    /// Returns the error object of a refusal.
    ///
    /// # Panics
    ///
    /// Panics if the body is not one.
    pub fn error(&self) -> Value {
        let value: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        assert!(value["error"].is_object(), "no error object: {self:?}");
        value["error"].clone()
    }

    /// Returns whether the answer is whole and successful.
    pub fn is_whole(&self) -> bool {
        self.status == 200 && self.broken.is_none()
    }
}
