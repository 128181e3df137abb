//! Settings file of a gateway.

use std::time::Duration;

use conf::{
    gateway::{self, Hedging, WarmUpBounds},
    resources::Resources,
};

const SETTINGS: &str = "
[process]
role = gateway
host = h1
availability_zone = a
[listen]
callers = 10.1.0.1:8001
readiness = 10.1.0.1:8002
peers = 10.1.0.1:7400
operators = 10.1.0.1:8003
[store]
address = 10.200.1.7:8004
";

/// Guards against a gateway that doesn't start since its deployment states a bound that isn't a whole
/// number. On a deployment whose retry slack was 38.26 none started.
#[test]
fn bounds_may_be_decimal_numbers() {
    let bounds = "[bounds]\nretry_slack = 38.2608695652174\ngrace_s = 8.5\nrevoke_ms = 4500.5\n";
    let settings = gateway::parse("f", &format!("{SETTINGS}{bounds}")).expect("valid settings");
    assert_eq!(settings.bounds.retry_slack, 38.2608695652174);
    assert_eq!(settings.bounds.grace, Duration::from_millis(8_500));
    assert_eq!(settings.bounds.revoke, Duration::from_micros(4_500_500));
}

/// Guards against bounds that are taken from text that is no number in their range.
#[test]
fn bounds_out_of_range_are_errors() {
    for wrong in ["NaN", "inf", "-1", "5e9", "many", ""] {
        let bounds = format!("[bounds]\nretry_slack = {wrong}\nquota_window_s = 0.5\n");
        let errors = gateway::parse("f", &format!("{SETTINGS}{bounds}")).expect_err(wrong);
        assert_eq!(errors.len(), 2, "{wrong}: {errors:?}");
    }
}

/// Guards against a host whose link is taken from text that is no width.
#[test]
fn the_link_of_the_host_is_a_number() {
    let parse = |host: &str| gateway::parse("f", &format!("{SETTINGS}{host}"));
    assert_eq!(parse("").expect("valid settings").link_mbps, 100.0);
    assert_eq!(parse("[host]\nlink_mbps = 10.0\n").expect("valid settings").link_mbps, 10.0);
    for wrong in ["0", "-1", "wide", "inf", ""] {
        let errors = parse(&format!("[host]\nlink_mbps = {wrong}\n")).expect_err(wrong);
        assert_eq!(errors.len(), 1, "{wrong}: {errors:?}");
    }
}

/// Guards against a process that takes more than its host gives it, since that is read wrongly.
#[test]
fn resources_are_those_of_the_host_unless_they_are_set() {
    let parse = |host: &str| gateway::parse("f", &format!("{SETTINGS}{host}"));
    let resources = |host: &str| parse(host).expect(host).resources;
    assert_eq!(resources(""), Resources::default());
    let set = Resources { memory: Some(112_000_000), descriptors: Some(2_870) };
    assert_eq!(resources("[host]\nmemory_mb = 112\ndescriptors = 2870\n"), set);
    let errors = parse("[host]\nmemory_mb = 0\ndescriptors = many\n").expect_err("no sizes");
    assert_eq!(errors.len(), 2, "{errors:?}");
}

/// Guards against a bound on warm-ups that is in force with half of its settings, or is missed.
#[test]
fn the_bound_on_warm_ups_has_both_settings_or_none() {
    let parse = |bounds: &str| gateway::parse("f", &format!("{SETTINGS}[bounds]\n{bounds}"));
    let bound = |bounds: &str| parse(bounds).expect(bounds).bounds.warm_up;
    assert_eq!(bound(""), None);
    let both = Some(WarmUpBounds { overage: 1.5, slack: 5.0 });
    assert_eq!(bound("warmup_overage = 1.5\nwarmup_slack = 5\n"), both);
    for wrong in [
        "warmup_overage = 1.5\n",
        "warmup_slack = 5\n",
        "warmup_overage = x\nwarmup_slack = 5\n",
        "warmup_overage = 1.5\nwarmup_slack = -1\n",
    ] {
        assert_eq!(parse(wrong).expect_err(wrong).len(), 1, "{wrong}");
    }
}

fn hedging(section: &str) -> Option<Hedging> {
    gateway::parse("f", &format!("{SETTINGS}{section}")).expect("valid settings").hedging
}

/// Guards against hedges that nobody has switched on, and against a missing default.
#[test]
fn hedging_is_off_unless_a_work_share_is_set() {
    for section in ["", "[hedging]\nquantile = 0.9\n", "[hedging]\nwork_share = 0\n"] {
        assert_eq!(hedging(section), None, "{section:?}");
    }
    let on = hedging("[hedging]\nwork_share = 0.1\n");
    assert_eq!(on, Some(Hedging { work_share: 0.1, quantile: 0.95 }));
    let on = hedging("[hedging]\nwork_share = 0.5\nquantile = 0.999\n");
    assert_eq!(on, Some(Hedging { work_share: 0.5, quantile: 0.999 }));
}

/// Guards against values out of their bounds that are used or replaced by others.
#[test]
fn limits_on_hedges_are_checked() {
    for (work_share, quantile) in [("0.51", "0.4"), ("-0.1", "1"), ("NaN", "inf"), ("x", "")] {
        let section = format!("[hedging]\nwork_share = {work_share}\nquantile = {quantile}\n");
        let errors = gateway::parse("f", &format!("{SETTINGS}{section}")).expect_err("refused");
        let keys: Vec<&str> = errors.iter().map(|error| error.key.as_str()).collect();
        assert_eq!(keys, ["work_share", "quantile"], "{section}");
    }
}
