//! Settings of a gateway.

use conf::gateway::{self, WarmUpBounds};

const FILE: &str = "[process]\nrole = gateway\nhost = h\navailability_zone = a\n\
    [listen]\ncallers = 127.0.0.1:1\nreadiness = 127.0.0.1:2\npeers = 127.0.0.1:3\n\
    operators = 127.0.0.1:4\n[store]\naddress = 127.0.0.1:5\n[bounds]\n";

/// Guards against a bound on warm-ups that is in force with half of its settings, or is missed.
#[test]
fn the_bound_on_warm_ups_has_both_settings_or_none() {
    let parse = |bounds: &str| gateway::parse("g.ini", &format!("{FILE}{bounds}"));
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
