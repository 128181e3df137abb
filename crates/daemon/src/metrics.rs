//! Histograms for each account and tier, and metrics sent in the statsd protocol.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

use bytes::Bytes;
use cadence::{Counted, CountedExt, Gauged, StatsdClient, Timed};
use hdrhistogram::Histogram;
use wire::status;

use crate::caller;

/// Number of histograms after which new accounts share those of the account name `other`. The target
/// of 2,300 accounts, three tiers and three names has 20,700.
const MAX_SERIES: usize = 24_000;
/// Decimal digits of a histogram's values. With one digit, a series takes about 2 KB, so that
/// 2,300 accounts at three tiers stay under a third of the memory allowed for the control plane.
const SIGNIFICANT_DIGITS: u8 = 1;
/// Upper bound of a recorded time, in microseconds.
const MAX_US: u64 = 3_600_000_000;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Series {
    name: &'static str,
    account: Bytes,
    tier: Bytes,
}

/// Metrics of one process.
pub struct Metrics {
    statsd: StatsdClient,
    histograms: RefCell<BTreeMap<Series, Histogram<u32>>>,
}

impl Metrics {
    /// Returns metrics sent to `address`, or kept only in memory without one.
    pub fn new(address: Option<SocketAddr>) -> Metrics {
        Metrics { statsd: build_client(address), histograms: RefCell::default() }
    }

    /// Records a duration for an account and tier.
    pub fn record(&self, name: &'static str, account: &Bytes, tier: &Bytes, time: Duration) {
        let mut histograms = self.histograms.borrow_mut();
        let mut series = Series { name, account: account.clone(), tier: tier.clone() };
        if histograms.len() >= MAX_SERIES && !histograms.contains_key(&series) {
            series.account = Bytes::from_static(b"other");
        }
        let account = String::from_utf8_lossy(&series.account).into_owned();
        let tier = String::from_utf8_lossy(&series.tier).into_owned();
        let _ = self
            .statsd
            .time_with_tags(name, time.as_millis() as u64)
            .with_tag("account", &account)
            .with_tag("tier", &tier)
            .try_send();
        let histogram = histograms.entry(series).or_insert_with(|| {
            Histogram::new_with_max(MAX_US, SIGNIFICANT_DIGITS)
                .expect("bounds of a histogram are constant")
        });
        histogram.saturating_record(time.as_micros() as u64);
    }

    /// Counts one event.
    pub fn count(&self, name: &str) {
        let _ = self.statsd.incr(name);
    }

    /// Sends what callers take, and how many were closed or refused since `before`.
    pub fn send_callers(&self, callers: &caller::Registry, before: caller::Counts) {
        let ((bytes, connections), counts) = (callers.usage(), callers.counts());
        let _ = self.statsd.gauge("callers_memory_bytes", bytes);
        let _ = self.statsd.gauge("connections", connections as u64);
        let _ = self.statsd.count("crowded_out_closed", counts.closed - before.closed);
        let _ = self.statsd.count("crowded_out_refused", counts.refused - before.refused);
    }

    /// Returns all histograms, in milliseconds.
    pub fn histograms(&self) -> Vec<status::Histogram> {
        let text = |bytes: &Bytes| String::from_utf8_lossy(bytes).into_owned();
        let milliseconds = |us: u64| us as f64 / 1000.0;
        let histograms = self.histograms.borrow();
        let row = |(series, histogram): (&Series, &Histogram<u32>)| status::Histogram {
            name: series.name.into(),
            account: text(&series.account),
            tier: text(&series.tier),
            count: histogram.len(),
            p50: milliseconds(histogram.value_at_quantile(0.50)),
            p95: milliseconds(histogram.value_at_quantile(0.95)),
            p99: milliseconds(histogram.value_at_quantile(0.99)),
            max: milliseconds(histogram.max()),
        };
        histograms.iter().map(row).collect()
    }
}

fn build_client(address: Option<SocketAddr>) -> StatsdClient {
    let sink = address.and_then(|address| {
        let socket = UdpSocket::bind("0.0.0.0:0").ok()?;
        // If the socket buffer is full, metrics are dropped instead of blocking requests.
        socket.set_nonblocking(true).ok()?;
        cadence::BufferedUdpMetricSink::from(address, socket).ok()
    });
    match sink {
        Some(sink) => StatsdClient::from_sink("quincespoke", sink),
        None => StatsdClient::from_sink("quincespoke", cadence::NopMetricSink),
    }
}
