//! Reads the keys of one section and reports every error.

use std::{collections::BTreeSet, net, ops::RangeInclusive, str, time::Duration};

use bytes::Bytes;

use crate::{check, document};

/// Longest name of a section, host, zone, pool, tier, account or route, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 128;

const NAME: &str = "1 to 128 characters of a-z, A-Z, 0-9, '.', '_' and '-'";
const FLAG: &str = "yes or no";
const ADDRESS: &str = "IP address and port 1 to 65535, such as 10.0.0.1:7000";

/// Reads one section. Each key that is read counts as known; `finish` reports all others.
pub(crate) struct Reader<'a> {
    section: &'a document::Section,
    report: &'a mut check::Report,
    known_keys: BTreeSet<&'static str>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(section: &'a document::Section, report: &'a mut check::Report) -> Self {
        Reader { section, report, known_keys: BTreeSet::new() }
    }

    /// Returns the section's name, reporting one that is missing or malformed.
    pub(crate) fn section_name(&mut self) -> Option<Bytes> {
        if !is_name(&self.section.name) {
            self.report.add(&self.section.header, "", &self.section.name, NAME);
            return None;
        }
        Some(Bytes::copy_from_slice(self.section.name.as_bytes()))
    }

    /// Reports an error in the value of a key.
    pub(crate) fn report_error(&mut self, key: &str, value: &str, allowed: &str) {
        self.report.add(&self.section.header, key, value, allowed);
    }

    fn raw_value(&mut self, key: &'static str) -> Option<&'a str> {
        self.known_keys.insert(key);
        self.section.properties.get(key).map(str::trim)
    }

    /// Returns whether a key is set.
    pub(crate) fn is_set(&self, key: &str) -> bool {
        self.section.properties.contains_key(key)
    }

    /// Returns a key's parsed value, `None` if it is not set or malformed. Reports a malformed one.
    pub(crate) fn optional<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let text = self.raw_value(key)?;
        let value = parse(text);
        if value.is_none() {
            self.report_error(key, text, allowed);
        }
        value
    }

    /// Returns a key's parsed value, `None` after reporting a missing or malformed one.
    pub(crate) fn required<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        if self.raw_value(key).is_none() {
            self.report_error(key, "", &format!("a value is required: {allowed}"));
            return None;
        }
        self.optional(key, allowed, parse)
    }

    /// Returns a whole number within `bounds`, `default` if it is not set or malformed; `unit` is
    /// for errors.
    pub(crate) fn number<T>(
        &mut self,
        key: &'static str,
        default: T,
        bounds: RangeInclusive<u64>,
        unit: &str,
    ) -> T
    where
        T: TryFrom<u64>,
    {
        let allowed = describe_range(&bounds, unit);
        self.optional(key, &allowed, |text| parse_number(text, &bounds)).unwrap_or(default)
    }

    /// Returns a decimal number within `bounds`, `default` if it is not set or malformed; `unit` is
    /// for errors.
    pub(crate) fn decimal(
        &mut self,
        key: &'static str,
        default: f64,
        bounds: RangeInclusive<u64>,
        unit: &str,
    ) -> f64 {
        let allowed = describe_range(&bounds, unit);
        let range = *bounds.start() as f64..=*bounds.end() as f64;
        let parse = |text: &str| text.parse().ok().filter(|number| range.contains(number));
        self.optional(key, &allowed, parse).unwrap_or(default)
    }

    /// Returns a required whole number within `bounds`.
    pub(crate) fn required_number<T>(
        &mut self,
        key: &'static str,
        bounds: RangeInclusive<u64>,
        unit: &str,
    ) -> Option<T>
    where
        T: TryFrom<u64>,
    {
        self.required(key, &describe_range(&bounds, unit), |text| parse_number(text, &bounds))
    }

    /// Returns a duration given in milliseconds.
    pub(crate) fn duration(
        &mut self,
        key: &'static str,
        default: Duration,
        bounds_ms: RangeInclusive<u64>,
    ) -> Duration {
        let default_ms = default.as_millis() as u64;
        Duration::from_millis(self.number(key, default_ms, bounds_ms, "ms"))
    }

    /// Returns a `yes` or `no`.
    pub(crate) fn flag(&mut self, key: &'static str, default: bool) -> bool {
        let parse = |text: &str| match text {
            "yes" => Some(true),
            "no" => Some(false),
            _ => None,
        };
        self.optional(key, FLAG, parse).unwrap_or(default)
    }

    /// Returns a required name.
    pub(crate) fn name(&mut self, key: &'static str) -> Option<Bytes> {
        self.required(key, NAME, |text| {
            is_name(text).then(|| Bytes::copy_from_slice(text.as_bytes()))
        })
    }

    /// Returns a required address.
    pub(crate) fn address(&mut self, key: &'static str) -> Option<net::SocketAddr> {
        self.required(key, ADDRESS, parse_address)
    }

    /// Returns an address, if set.
    pub(crate) fn optional_address(&mut self, key: &'static str) -> Option<net::SocketAddr> {
        self.optional(key, ADDRESS, parse_address)
    }

    /// Reports unknown and duplicate keys.
    pub(crate) fn finish(self) {
        let known_keys: Vec<&str> = self.known_keys.iter().copied().collect();
        let allowed = format!("one of {}", known_keys.join(", "));
        let mut seen = BTreeSet::new();
        for (key, value) in &self.section.properties {
            if !self.known_keys.contains(key) {
                self.report.add(&self.section.header, key, value, &allowed);
            } else if !seen.insert(key) {
                self.report.add(&self.section.header, key, value, "each key once");
            }
        }
    }
}

/// Returns whether `text` may name a section or a host.
pub(crate) fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

/// Returns an address with a port other than 0.
pub(crate) fn parse_address(text: &str) -> Option<net::SocketAddr> {
    let address: net::SocketAddr = text.parse().ok()?;
    (address.port() != 0).then_some(address)
}

fn parse_number<T: TryFrom<u64>>(text: &str, bounds: &RangeInclusive<u64>) -> Option<T> {
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let number: u64 = digits.then(|| text.parse().ok()).flatten()?;
    bounds.contains(&number).then(|| T::try_from(number).ok()).flatten()
}

fn describe_range(bounds: &RangeInclusive<u64>, unit: &str) -> String {
    format!("{} to {} {unit}", bounds.start(), bounds.end()).trim_end().to_owned()
}
