//! Settings of one process, read once at its start from an INI file.

use std::net::SocketAddr;

use bytes::Bytes;
use wire::host;

use crate::check;

/// Settings of one `quincespoked` process.
#[derive(Clone, Debug)]
pub struct Process {
    /// `[process] role`: entry or agent.
    pub role: host::Role,
    /// `[process] host`: name of the host, as in the host list.
    pub host: Bytes,
    /// `[process] availability_zone`.
    pub availability_zone: Bytes,
    /// `[listen] callers`: where an entry serves callers; required for an entry only.
    pub callers: Option<SocketAddr>,
    /// `[listen] peers`: where the process serves other processes of the system.
    pub peers: SocketAddr,
    /// `[listen] operators`: where the process serves operators, read only.
    pub operators: SocketAddr,
    /// `[platform] configuration`: base URL of the configuration service.
    pub configuration: String,
    /// `[platform] prefix`: key prefix of the settings tree.
    pub prefix: String,
    /// `[platform] hosts`: URL of the host list.
    pub hosts: String,
    /// `[seeds] peers`: processes asked for settings at the start.
    pub seeds: Vec<SocketAddr>,
    /// `[agent] pool`: pool of the backend server; required for an agent only.
    pub pool: Bytes,
    /// `[agent] backend`: address of the backend server; required for an agent only.
    pub backend: Option<SocketAddr>,
    /// `[metrics] statsd`: address that receives metrics, none if not set.
    pub statsd: Option<SocketAddr>,
    /// `[log] level`: error, warn, info, debug or trace.
    pub log_level: String,
}

/// Parses and checks a process settings file; `file` names it in errors.
///
/// # Errors
///
/// Returns every error of the file.
pub fn parse(file: &str, text: &str) -> Result<Process, Vec<check::Error>> {
    let _ = (file, text);
    todo!()
}
