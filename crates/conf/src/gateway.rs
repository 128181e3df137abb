//! Settings of one gateway process, read once at its start from an INI file. On SIGHUP the file is
//! only checked.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;

use crate::{check, document, process, resources, section};

/// Value of `[process] role` in a gateway's settings.
pub const ROLE: &str = "gateway";

const ROLE_ALLOWED: &str = "gateway";
const RATIO: &str = "a number from 0 to 10";
const SLACK: &str = "a number from 0 to 1000000";
const WORK_SHARE: &str = "a number from 0 to 0.5; 0 is off";
const QUANTILE: &str = "a number from 0.5 to 0.999";
/// Quantile of the response times after which a request is hedged, if none is set. Hedges after the
/// 95th percentile are the published practice (Dean and Barroso, The Tail at Scale, 2013).
const DEFAULT_QUANTILE: f64 = 0.95;
/// Width of the host's link if none is set.
const DEFAULT_LINK_MBPS: f64 = 100.0;

/// Settings of one gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// `[process] host`: name of the host.
    pub host: Bytes,
    /// `[process] availability_zone`.
    pub availability_zone: Bytes,
    /// `[process] first_start`: whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// `[listen] callers`: where callers are served.
    pub callers: SocketAddr,
    /// `[listen] readiness`: where the load balancer checks whether to send new connections.
    pub readiness: SocketAddr,
    /// `[listen] peers`: where gateways exchange their state; the port is the same on all hosts.
    pub peers: SocketAddr,
    /// `[listen] operators`: where metrics and status are served, read only.
    pub operators: SocketAddr,
    /// `[store] address`: store of the configuration and of the backend servers' records.
    pub store: SocketAddr,
    /// `[seeds] hosts`: hosts of other gateways; their ports are not used.
    pub seeds: Vec<SocketAddr>,
    pub bounds: Bounds,
    /// `[host] link_mbps`: megabits a second of the host's link.
    pub link_mbps: f64,
    /// `[host]`: what the process may use.
    pub resources: resources::Resources,
    /// `[hedging]`: hedges of slow responses; `None` if they are off.
    pub hedging: Option<Hedging>,
    /// `[log] level`: error, warn, info, debug or trace.
    pub log_level: String,
}

/// Bounds that a deployment sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// `[bounds] revoke_ms`: longest time for which a withdrawn API key may still be accepted.
    pub revoke: Duration,
    /// `[bounds] apply_ms`: longest time after which an accepted configuration is in force.
    pub apply: Duration,
    /// `[bounds] drain_ms`: longest time for which a backend server that leaves may get requests.
    pub drain: Duration,
    /// `[bounds] grace_s`: time that a planned stop may take.
    pub grace: Duration,
    /// `[bounds] retry_ratio`: attempts of a request at a backend server beyond the first, as a
    /// share of requests.
    pub retry_ratio: f64,
    /// `[bounds] retry_slack`: attempts beyond that share, of all gateways together.
    pub retry_slack: f64,
    /// `[bounds] retry_window_s`: time over which requests and attempts are counted.
    pub retry_window: Duration,
    /// `[bounds] quota_window_s`: time over which quotas of accounts are counted.
    pub quota_window: Duration,
    /// `[bounds] quota_overage`: share of a quota that may be exceeded.
    pub quota_overage: f64,
    /// `[bounds] quota_slack`: units beyond that share, of all gateways together.
    pub quota_slack: f64,
    /// Bound on requests to backend servers that warm up, where it is in force.
    pub warm_up: Option<WarmUpBounds>,
}

/// Bound on the requests in a second at a backend server that warms up, from all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpBounds {
    /// `[bounds] warmup_overage`: multiple of the rate that the backend server tolerates.
    pub overage: f64,
    /// `[bounds] warmup_slack`: requests beyond that.
    pub slack: f64,
}

/// Limits on second attempts for requests whose response is slow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hedging {
    /// `[hedging] work_share`: most work of hedges, as a share of the work of first attempts.
    pub work_share: f64,
    /// `[hedging] quantile`: quantile of the recent response times after which a response is slow.
    pub quantile: f64,
}

/// Parses and checks a gateway's settings file; `file` names it in errors.
///
/// # Errors
///
/// Returns every error of the file.
pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<check::Error>> {
    let mut report = check::Report::new(file);
    let sections = document::split(text, &mut report);
    let mut fields = Fields::default();
    for section in &sections {
        fields.read(section, &mut report);
    }
    for kind in ["process", "listen", "store"] {
        if !sections.iter().any(|section| section.kind == kind) {
            report.add(kind, "", "", "the section is required");
        }
    }
    let gateway = fields.build();
    report.finish(gateway)
}

/// Returns whether a settings file has the role of a gateway.
pub fn is_gateway(text: &str) -> bool {
    let mut report = check::Report::new("");
    let sections = document::split(text, &mut report);
    let process = sections.iter().find(|section| section.kind == "process");
    process.and_then(|section| section.properties.get("role")).is_some_and(|r| r.trim() == ROLE)
}

#[derive(Default)]
struct Fields {
    host: Option<Bytes>,
    availability_zone: Option<Bytes>,
    first_start: bool,
    callers: Option<SocketAddr>,
    readiness: Option<SocketAddr>,
    peers: Option<SocketAddr>,
    operators: Option<SocketAddr>,
    store: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
    bounds: Option<Bounds>,
    link_mbps: Option<f64>,
    resources: resources::Resources,
    hedging: Option<Hedging>,
    log_level: Option<String>,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            revoke: Duration::from_secs(5),
            apply: Duration::from_secs(3),
            drain: Duration::from_secs(3),
            grace: Duration::from_secs(8),
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window: Duration::from_secs(10),
            quota_window: Duration::from_secs(8),
            quota_overage: 0.0,
            quota_slack: 0.0,
            warm_up: None,
        }
    }
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
                reader.required("role", ROLE_ALLOWED, |text| (text == ROLE).then_some(()));
                self.host = reader.name("host");
                self.availability_zone = reader.name("availability_zone");
                self.first_start = reader.flag("first_start", false);
            }
            "listen" => {
                self.callers = reader.address("callers");
                self.readiness = reader.address("readiness");
                self.peers = reader.address("peers");
                self.operators = reader.address("operators");
            }
            "store" => self.store = reader.address("address"),
            "seeds" => {
                let seeds = reader.optional("hosts", process::SEEDS, process::parse_seeds);
                self.seeds = seeds.unwrap_or_default();
            }
            "bounds" => self.bounds = Some(Bounds::read(&mut reader)),
            resources::SECTION => {
                let link_mbps =
                    reader.decimal("link_mbps", DEFAULT_LINK_MBPS, 1..=1_000_000, "Mbit/s");
                self.link_mbps = Some(link_mbps);
                self.resources = resources::Resources::read(&mut reader);
            }
            "hedging" => self.hedging = Hedging::read(&mut reader),
            "log" => {
                self.log_level = reader.optional("level", process::LEVEL, process::parse_level);
            }
            _ => {
                let allowed = "process, listen, store, seeds, host, bounds, hedging or log";
                report.add(&section.header, "", "", allowed);
                return;
            }
        }
        reader.finish();
    }

    fn build(self) -> Option<Settings> {
        Some(Settings {
            host: self.host?,
            availability_zone: self.availability_zone?,
            first_start: self.first_start,
            callers: self.callers?,
            readiness: self.readiness?,
            peers: self.peers?,
            operators: self.operators?,
            store: self.store?,
            seeds: self.seeds,
            bounds: self.bounds.unwrap_or_default(),
            link_mbps: self.link_mbps.unwrap_or(DEFAULT_LINK_MBPS),
            resources: self.resources,
            hedging: self.hedging,
            log_level: self.log_level.unwrap_or_else(|| "info".to_owned()),
        })
    }
}

impl Bounds {
    /// Reads the bounds, which a deployment may state as decimal numbers.
    fn read(reader: &mut section::Reader<'_>) -> Bounds {
        let default = Bounds::default();
        let seconds = |reader: &mut section::Reader<'_>, key, default: Duration| {
            let seconds = reader.decimal(key, default.as_secs_f64(), 1..=3600, "s");
            Duration::from_secs_f64(seconds)
        };
        let ratio = |reader: &mut section::Reader<'_>, key, default| {
            reader.optional(key, RATIO, parse_ratio).unwrap_or(default)
        };
        let slack = |reader: &mut section::Reader<'_>, key, default: f64, unit| {
            reader.decimal(key, default, 0..=u64::from(u32::MAX), unit)
        };
        let millis = |reader: &mut section::Reader<'_>, key, default: Duration| {
            let default_ms = default.as_secs_f64() * 1e3;
            let millis = reader.decimal(key, default_ms, 500..=3_600_000, "ms");
            Duration::from_secs_f64(millis / 1e3)
        };
        Bounds {
            revoke: millis(reader, "revoke_ms", default.revoke),
            apply: millis(reader, "apply_ms", default.apply),
            drain: millis(reader, "drain_ms", default.drain),
            grace: seconds(reader, "grace_s", default.grace),
            retry_ratio: ratio(reader, "retry_ratio", default.retry_ratio),
            retry_slack: slack(reader, "retry_slack", default.retry_slack, "arrivals"),
            retry_window: seconds(reader, "retry_window_s", default.retry_window),
            quota_window: seconds(reader, "quota_window_s", default.quota_window),
            quota_overage: ratio(reader, "quota_overage", default.quota_overage),
            quota_slack: slack(reader, "quota_slack", default.quota_slack, "units"),
            warm_up: WarmUpBounds::read(reader),
        }
    }
}

impl WarmUpBounds {
    fn read(reader: &mut section::Reader<'_>) -> Option<WarmUpBounds> {
        let overage = reader.optional("warmup_overage", RATIO, parse_ratio);
        let slack = reader.optional("warmup_slack", SLACK, parse_slack);
        let missing = match (reader.is_set("warmup_overage"), reader.is_set("warmup_slack")) {
            (true, false) => Some("warmup_slack"),
            (false, true) => Some("warmup_overage"),
            _ => None,
        };
        if let Some(key) = missing {
            reader.report_error(key, "", "warmup_overage and warmup_slack, or neither");
        }
        Some(WarmUpBounds { overage: overage?, slack: slack? })
    }
}

fn parse_slack(text: &str) -> Option<f64> {
    let slack: f64 = text.parse().ok()?;
    (0.0..=1e6).contains(&slack).then_some(slack)
}

impl Hedging {
    /// Returns `None` if hedging is off.
    fn read(reader: &mut section::Reader<'_>) -> Option<Hedging> {
        let work_share = reader.optional("work_share", WORK_SHARE, parse_work_share);
        let quantile = reader.optional("quantile", QUANTILE, parse_quantile);
        let quantile = quantile.unwrap_or(DEFAULT_QUANTILE);
        let work_share = work_share.filter(|share| *share > 0.0)?;
        Some(Hedging { work_share, quantile })
    }
}

fn parse_work_share(text: &str) -> Option<f64> {
    let share: f64 = text.parse().ok()?;
    (0.0..=0.5).contains(&share).then_some(share)
}

fn parse_quantile(text: &str) -> Option<f64> {
    let quantile: f64 = text.parse().ok()?;
    (0.5..=0.999).contains(&quantile).then_some(quantile)
}

fn parse_ratio(text: &str) -> Option<f64> {
    let ratio: f64 = text.parse().ok()?;
    (0.0..=10.0).contains(&ratio).then_some(ratio)
}
