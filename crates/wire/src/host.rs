//! Records of the platform's host list.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Role of the process that a host runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    Entry,
    Agent,
}

/// Whether a host takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    Live,
    Leaving,
}

/// One host of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub host: Bytes,
    pub role: Role,
    /// Address at which its process serves other processes of the system.
    pub address: SocketAddr,
    pub availability_zone: Bytes,
    /// Pool of the backend server, empty for an entry.
    #[serde(default)]
    pub pool: Bytes,
    /// Relative speed of the backend server's hardware in percent of the pool's slowest.
    #[serde(default = "normal_speed")]
    pub speed: u32,
    pub state: State,
}

fn normal_speed() -> u32 {
    100
}
