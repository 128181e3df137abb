//! Frames in which an agent sends a response to the entry, and the codec of all messages.

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

use crate::{error, id, outcome};

/// Upper bound of one encoded message, in bytes. A settings branch alone may have 1 MiB.
pub const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// One frame. Each has its request and grant, so that a frame of another response is detected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    pub request: id::Request,
    pub grant: id::Grant,
    pub body: Body,
}

/// The content of a frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The backend server began its response with this status.
    Started {
        status: u16,
        content_type: Bytes,
    },
    Data {
        offset: u64,
        bytes: Bytes,
    },
    /// The explicit end; a response without it is incomplete.
    End {
        length: u64,
        crc32: u32,
    },
    /// The response ends incomplete. With outcome `not_run` the agent has released the grant
    /// and will not run the request.
    Refused(outcome::Refusal),
}

/// Encodes a message.
///
/// # Panics
///
/// Panics if a type can't be serialised, which no type of this crate is.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    rmp_serde::to_vec(message).expect("wire types serialise").into()
}

/// Decodes a message.
///
/// # Errors
///
/// Returns an error if the bytes are not exactly one message of the type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, error::Error> {
    rmp_serde::from_slice(bytes).map_err(|e| error::Error::Malformed(e.to_string()))
}

/// Encodes a message with its length in front, for a stream of messages.
///
/// # Panics
///
/// Panics if a type can't be serialised, which no type of this crate is.
pub fn encode_delimited<T: Serialize>(message: &T) -> Bytes {
    let body = encode(message);
    let mut out = Vec::with_capacity(4 + body.len());
    out.extend_from_slice(&(body.len() as u32).to_be_bytes());
    out.extend_from_slice(&body);
    out.into()
}

/// Splits a byte stream into messages.
#[derive(Debug)]
pub struct Reader {
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
}

impl Default for Reader {
    fn default() -> Reader {
        let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_BYTES).new_codec();
        Reader { codec, buffer: BytesMut::new() }
    }
}

impl Reader {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete message, if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error if a message is over the limit or malformed.
    pub fn read<T: DeserializeOwned>(&mut self) -> Result<Option<T>, error::Error> {
        match self.codec.decode(&mut self.buffer) {
            Ok(Some(bytes)) => decode(&bytes).map(Some),
            Ok(None) => Ok(None),
            Err(e) => Err(error::Error::Malformed(e.to_string())),
        }
    }

    /// Returns the number of bytes that belong to no complete message so far.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the bytes received after the last complete message and leaves the reader empty.
    pub fn take_remaining(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}
