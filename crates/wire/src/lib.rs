//! Domain types and messages shared by the processes of the system, with their codec.

pub mod error;
pub mod event_stream;
pub mod frame;
pub mod grant;
pub mod header;
pub mod host;
pub mod id;
pub mod key;
pub mod offer;
pub mod outcome;
pub mod request;
pub mod response;
pub mod status;
pub mod sync;
pub mod tier;
pub mod time;

pub use error::Error;
pub use frame::Frame;
