//! Scenarios: load over time and faults.

use std::time::Duration;

use wire::time::Instant;

use crate::{event_queue, workload::Class};

/// Requests sent before this time fill the queues and are not counted.
pub const WARM_UP: Duration = Duration::from_secs(10);
const SPAN: Duration = Duration::from_secs(60);
/// Load of the scenarios with bursts or a fault; low enough for the engines that remain after the
/// loss of hosts.
const FAULT_LOAD: f64 = 0.6;
/// Index of the account that sends ten times its share; its share is one of the largest.
pub(crate) const HEAVY_ACCOUNT: usize = 1;

/// A period in which more requests arrive.
#[derive(Clone, Debug)]
pub struct Burst {
    pub from: Duration,
    pub until: Duration,
    pub factor: f64,
    /// The only class affected; `None` for all classes.
    pub class: Option<Class>,
}

/// A fault during a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Engine 1, the first engine of the second-lowest speed, becomes slower by this factor.
    Straggler(f64),
    /// A third of the hosts with model engines fail, together with their engines, and stay down.
    Loss,
}

/// An account that sends a multiple of its share.
#[derive(Clone, Copy, Debug)]
pub struct HeavyAccount {
    pub account: usize,
    pub factor: f64,
    /// The only class in which it does so; `None` for all classes.
    pub class: Option<Class>,
}

/// A scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: String,
    /// Mean load without bursts, relative to the capacity of the fleet.
    pub load: f64,
    pub span: Duration,
    pub bursts: Vec<Burst>,
    pub fault: Option<(Duration, Fault)>,
    /// An account that sends more than its share.
    pub heavy_account: Option<HeavyAccount>,
    /// The only class whose requests arrive, at the same rate as in the mix of classes.
    pub only_class: Option<Class>,
    /// A class whose requests don't arrive.
    pub excluded_class: Option<Class>,
}

impl Scenario {
    /// Returns a scenario of constant load.
    pub fn steady(name: &str, load: f64) -> Scenario {
        Scenario {
            name: name.to_owned(),
            load,
            span: SPAN,
            bursts: Vec::new(),
            fault: None,
            heavy_account: None,
            only_class: None,
            excluded_class: None,
        }
    }

    /// Returns all scenarios.
    pub fn all() -> Vec<Scenario> {
        let steady = [0.5, 0.8, 1.0, 1.2, 1.6, 2.0];
        let mut all: Vec<_> = steady
            .iter()
            .map(|load| Scenario::steady(&format!("steady-{load:.1}"), *load))
            .collect();
        let middle = SPAN / 2;
        let fault = |name: &str, fault| Scenario {
            fault: Some((middle, fault)),
            ..Scenario::steady(name, FAULT_LOAD)
        };
        let seconds = Duration::from_secs;
        let general_burst =
            Burst { from: seconds(20), until: seconds(23), factor: 3.0, class: None };
        let floor_burst =
            Burst { from: seconds(38), until: seconds(43), factor: 6.0, class: Some(Class::Floor) };
        all.push(Scenario {
            bursts: vec![general_burst, floor_burst],
            ..Scenario::steady("burst", FAULT_LOAD)
        });
        all.push(fault("straggler", Fault::Straggler(5.0)));
        all.push(fault("loss", Fault::Loss));
        let heavy = |class| Some(HeavyAccount { account: HEAVY_ACCOUNT, factor: 10.0, class });
        all.push(Scenario { heavy_account: heavy(None), ..Scenario::steady("tenfold", 0.8) });
        for class in Class::MODEL {
            let name = format!("tenfold-{}", class.name());
            all.push(Scenario {
                heavy_account: heavy(Some(class)),
                ..Scenario::steady(&name, 0.8)
            });
        }
        let excluded_class = Some(Class::Desk);
        all.push(Scenario { excluded_class, ..Scenario::steady("mixed-0.8", 0.8) });
        all.push(Scenario {
            only_class: Some(Class::Floor),
            ..Scenario::steady("floor-alone", 2.0)
        });
        all.push(Scenario { only_class: Some(Class::Floor), ..Scenario::steady("unloaded", 0.02) });
        all
    }

    /// Returns whether requests of a class arrive.
    pub(crate) fn includes(&self, class: Class) -> bool {
        self.only_class.is_none_or(|only_class| only_class == class)
            && self.excluded_class != Some(class)
    }

    /// Returns the factor on the request rate of an account and class at a time.
    pub(crate) fn rate_factor(&self, account: usize, class: Class, now: Instant) -> f64 {
        let heavy = self.heavy_account.filter(|heavy| heavy.account == account);
        let heavy = heavy.filter(|heavy| heavy.class.is_none_or(|only_class| only_class == class));
        let account_factor = heavy.map_or(1.0, |heavy| heavy.factor);
        let bursts = self.bursts.iter().filter(|burst| {
            let during =
                event_queue::instant(burst.from) <= now && now < event_queue::instant(burst.until);
            during && burst.class.is_none_or(|only_class| only_class == class)
        });
        account_factor * bursts.map(|burst| burst.factor).product::<f64>()
    }

    /// Returns an upper bound of [`Scenario::rate_factor`].
    pub(crate) fn peak_factor(&self, account: usize, class: Class) -> f64 {
        let changes = self.bursts.iter().map(|burst| event_queue::instant(burst.from));
        let factors = changes.map(|at| self.rate_factor(account, class, at));
        factors.fold(self.rate_factor(account, class, Instant::default()), f64::max)
    }

    /// Returns the start and end of each disturbance after which goodput must recover: bursts and
    /// the loss of hosts.
    pub(crate) fn disturbances(&self) -> Vec<(Duration, Duration)> {
        let bursts = self.bursts.iter().map(|burst| (burst.from, burst.until));
        let losses = self.fault.filter(|(_, fault)| *fault == Fault::Loss).map(|(at, _)| (at, at));
        bursts.chain(losses).collect()
    }
}
