//! Settings of one entry or agent process, read once at its start from an INI file.

use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};

use bytes::Bytes;
use wire::host;

use crate::{check, document, resources, section};

/// Most seeds of one process.
const MAX_SEEDS: usize = 64;

/// Key prefix used when none is set.
const DEFAULT_PREFIX: &str = "quincespoke/";

const ROLE: &str = "entry or agent";
const URL: &str = "http:// followed by an IP address, an optional port and an optional path";
const KEY_PREFIX: &str = "up to 256 visible ASCII characters that don't start with '/'";
pub(crate) const SEEDS: &str = "up to 64 addresses, each IP address and port, separated by commas";
pub(crate) const LEVEL: &str = "error, warn, info, debug or trace";

/// Settings of one entry or agent process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// `[process] role`: entry or agent.
    pub role: host::Role,
    /// `[process] host`: name of the host, as in the host list.
    pub host: Bytes,
    /// `[process] availability_zone`.
    pub availability_zone: Bytes,
    /// `[listen] callers`: where an entry serves callers; required for an entry, not allowed for
    /// an agent.
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
    /// `[seeds] peers`: processes from which settings are requested at the start.
    pub seeds: Vec<SocketAddr>,
    /// `[agent] pool`: pool of the backend server; required for an agent, not allowed for an entry.
    pub pool: Bytes,
    /// `[agent] backend`: address of the backend server; required for an agent, not allowed for an
    /// entry.
    pub backend: Option<SocketAddr>,
    /// `[host]`: what the process may use.
    pub resources: resources::Resources,
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
pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<check::Error>> {
    let mut report = check::Report::new(file);
    let sections = document::split(text, &mut report);
    let mut fields = Fields::default();
    let mut kinds = Vec::new();
    for section in &sections {
        kinds.push(section.kind.as_str());
        fields.read(section, &mut report);
    }
    for kind in ["process", "listen", "platform"] {
        if !kinds.contains(&kind) {
            report.add(kind, "", "", "the section is required");
        }
    }
    fields.check_role(&kinds, &mut report);
    let process = fields.build();
    report.finish(process)
}

#[derive(Default)]
struct Fields {
    role: Option<host::Role>,
    host: Option<Bytes>,
    availability_zone: Option<Bytes>,
    callers: Option<SocketAddr>,
    peers: Option<SocketAddr>,
    operators: Option<SocketAddr>,
    configuration: Option<String>,
    prefix: Option<String>,
    hosts: Option<String>,
    seeds: Vec<SocketAddr>,
    pool: Option<Bytes>,
    backend: Option<SocketAddr>,
    resources: resources::Resources,
    statsd: Option<SocketAddr>,
    log_level: Option<String>,
    has_callers_key: bool,
}

impl Fields {
    fn read(&mut self, section: &document::Section, report: &mut check::Report) {
        if !section.name.is_empty() {
            report.add(&section.header, "", "", "a section without a name");
            return;
        }
        let mut reader = section::Reader::new(section, report);
        match section.kind.as_str() {
            "process" => {
                self.role = reader.required("role", ROLE, parse_role);
                self.host = reader.name("host");
                self.availability_zone = reader.name("availability_zone");
            }
            "listen" => self.read_listen(section, &mut reader),
            "platform" => {
                self.configuration = reader.required("configuration", URL, parse_url);
                self.prefix = reader.optional("prefix", KEY_PREFIX, parse_prefix);
                self.hosts = reader.required("hosts", URL, parse_url);
            }
            "seeds" => {
                self.seeds = reader.optional("peers", SEEDS, parse_seeds).unwrap_or_default();
            }
            "agent" => {
                self.pool = reader.name("pool");
                self.backend = reader.address("backend");
            }
            resources::SECTION => {
                self.resources = resources::Resources::read(&mut reader);
            }
            "metrics" => self.statsd = reader.optional_address("statsd"),
            "log" => self.log_level = reader.optional("level", LEVEL, parse_level),
            _ => {
                let allowed = "process, listen, platform, seeds, agent, host, metrics or log";
                report.add(&section.header, "", "", allowed);
                return;
            }
        }
        reader.finish();
    }

    fn read_listen(&mut self, section: &document::Section, reader: &mut section::Reader<'_>) {
        self.has_callers_key = section.properties.contains_key("callers");
        self.callers = reader.optional_address("callers");
        self.peers = reader.address("peers");
        self.operators = reader.address("operators");
        // Other processes connect to this address, so it can't be a wildcard.
        if let Some(peers) = self.peers
            && peers.ip().is_unspecified()
        {
            reader.report_error(
                "peers",
                &peers.to_string(),
                "an address that other hosts can reach",
            );
        }
    }

    fn check_role(&self, kinds: &[&str], report: &mut check::Report) {
        match self.role {
            Some(host::Role::Entry) => {
                if kinds.contains(&"listen") && !self.has_callers_key {
                    report.add("listen", "callers", "", "an address is required for an entry");
                }
                if kinds.contains(&"agent") {
                    report.add("agent", "", "", "the section for an agent only");
                }
            }
            Some(host::Role::Agent) => {
                if self.has_callers_key {
                    report.add("listen", "callers", "", "the key for an entry only");
                }
                if !kinds.contains(&"agent") {
                    report.add("agent", "", "", "the section is required for an agent");
                }
            }
            None => {}
        }
    }

    fn build(self) -> Option<Settings> {
        Some(Settings {
            role: self.role?,
            host: self.host?,
            availability_zone: self.availability_zone?,
            callers: self.callers,
            peers: self.peers?,
            operators: self.operators?,
            configuration: self.configuration?,
            prefix: self.prefix.unwrap_or_else(|| DEFAULT_PREFIX.to_owned()),
            hosts: self.hosts?,
            seeds: self.seeds,
            pool: self.pool.unwrap_or_default(),
            backend: self.backend,
            resources: self.resources,
            statsd: self.statsd,
            log_level: self.log_level.unwrap_or_else(|| "info".to_owned()),
        })
    }
}

fn parse_role(text: &str) -> Option<host::Role> {
    match text {
        "entry" => Some(host::Role::Entry),
        "agent" => Some(host::Role::Agent),
        _ => None,
    }
}

fn parse_url(text: &str) -> Option<String> {
    let rest = text.strip_prefix("http://")?;
    let authority = rest.split('/').next()?;
    let is_address = section::parse_address(authority).is_some()
        || authority.parse::<Ipv4Addr>().is_ok()
        || authority
            .strip_prefix('[')
            .and_then(|rest| rest.strip_suffix(']'))
            .is_some_and(|ip| ip.parse::<Ipv6Addr>().is_ok());
    let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    (is_address && visible && text.len() <= 1024).then(|| text.to_owned())
}

fn parse_prefix(text: &str) -> Option<String> {
    let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    (visible && text.len() <= 256 && !text.starts_with('/')).then(|| text.to_owned())
}

pub(crate) fn parse_seeds(text: &str) -> Option<Vec<SocketAddr>> {
    if text.is_empty() {
        return Some(Vec::new());
    }
    let seeds: Option<Vec<SocketAddr>> =
        text.split(',').map(|part| section::parse_address(part.trim())).collect();
    seeds.filter(|seeds| seeds.len() <= MAX_SEEDS)
}

pub(crate) fn parse_level(text: &str) -> Option<String> {
    ["error", "warn", "info", "debug", "trace"].contains(&text).then(|| text.to_owned())
}
