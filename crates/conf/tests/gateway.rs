//! Settings files of gateways.

use conf::gateway::{self, Hedging};

const FILE: &str = "
[process]
role = gateway
host = front-1
availability_zone = a
[listen]
callers = 10.0.0.1:80
readiness = 10.0.0.1:81
peers = 10.0.0.1:82
operators = 10.0.0.1:83
[store]
address = 10.0.9.1:8500
";

fn hedging(section: &str) -> Option<Hedging> {
    gateway::parse("g.ini", &format!("{FILE}{section}")).expect("valid settings").hedging
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
        let errors = gateway::parse("g.ini", &format!("{FILE}{section}")).expect_err("refused");
        let keys: Vec<&str> = errors.iter().map(|error| error.key.as_str()).collect();
        assert_eq!(keys, ["work_share", "quantile"], "{section}");
    }
}
