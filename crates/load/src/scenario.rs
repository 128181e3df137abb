//! Scenarios: load over time and faults.

use std::time::Duration;

use wire::time::Instant;

use crate::{agenda, workload::Class};

/// Calls sent before this time fill the queues and are not counted.
pub const WARM_UP: Duration = Duration::from_secs(10);
const SPAN: Duration = Duration::from_secs(60);
/// Load of the scenarios with a fault, so that what is left of the fleet can carry it.
const FAULT_LOAD: f64 = 0.6;
/// Index of the account that sends ten times its share; one of the large ones.
pub(crate) const LARGE_ACCOUNT: usize = 1;

/// A time in which more calls arrive.
#[derive(Clone, Debug)]
pub struct Burst {
    pub from: Duration,
    pub until: Duration,
    pub factor: f64,
    /// The class that the burst concerns; `None` for all.
    pub class: Option<Class>,
}

/// What goes wrong during a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The first of the middle-speed engines becomes slower by this factor.
    Straggler(f64),
    /// Every third host dies with its engine and stays down.
    Loss,
}

/// An account that sends a multiple of its part.
#[derive(Clone, Copy, Debug)]
pub struct Loud {
    pub account: usize,
    pub factor: f64,
    /// The only class in which it does; `None` for all.
    pub class: Option<Class>,
}

/// One scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: String,
    /// Mean load relative to the capacity of the fleet, without bursts.
    pub load: f64,
    pub span: Duration,
    pub bursts: Vec<Burst>,
    pub fault: Option<(Duration, Fault)>,
    /// An account that sends more than its part.
    pub loud: Option<Loud>,
    /// Only calls of this class arrive, as many as in the mix.
    pub only: Option<Class>,
    /// Classes that don't arrive.
    pub without: Option<Class>,
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
            loud: None,
            only: None,
            without: None,
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
        let opening = Burst { from: seconds(20), until: seconds(23), factor: 3.0, class: None };
        let sale =
            Burst { from: seconds(38), until: seconds(43), factor: 6.0, class: Some(Class::Floor) };
        all.push(Scenario { bursts: vec![opening, sale], ..Scenario::steady("burst", FAULT_LOAD) });
        all.push(fault("straggler", Fault::Straggler(5.0)));
        all.push(fault("loss", Fault::Loss));
        let loud = |class| Some(Loud { account: LARGE_ACCOUNT, factor: 10.0, class });
        all.push(Scenario { loud: loud(None), ..Scenario::steady("tenfold", 0.8) });
        for class in Class::MODEL {
            let name = format!("tenfold-{}", class.name());
            all.push(Scenario { loud: loud(Some(class)), ..Scenario::steady(&name, 0.8) });
        }
        let without = Some(Class::Desk);
        all.push(Scenario { without, ..Scenario::steady("mixed-0.8", 0.8) });
        all.push(Scenario { only: Some(Class::Floor), ..Scenario::steady("floor-alone", 2.0) });
        all.push(Scenario { only: Some(Class::Floor), ..Scenario::steady("unloaded", 0.02) });
        all
    }

    /// Returns whether calls of a class arrive.
    pub(crate) fn includes(&self, class: Class) -> bool {
        self.only.is_none_or(|only| only == class) && self.without != Some(class)
    }

    /// Returns the factor on the rate of an account and class at a time.
    pub(crate) fn factor(&self, account: usize, class: Class, now: Instant) -> f64 {
        let loud = self.loud.filter(|loud| loud.account == account);
        let loud = loud.filter(|loud| loud.class.is_none_or(|only| only == class));
        let loud = loud.map_or(1.0, |loud| loud.factor);
        let bursts = self.bursts.iter().filter(|burst| {
            let during = agenda::at(burst.from) <= now && now < agenda::at(burst.until);
            during && burst.class.is_none_or(|only| only == class)
        });
        loud * bursts.map(|burst| burst.factor).product::<f64>()
    }

    /// Returns an upper bound of [`Scenario::factor`].
    pub(crate) fn peak(&self, account: usize, class: Class) -> f64 {
        let changes = self.bursts.iter().map(|burst| agenda::at(burst.from));
        let factors = changes.map(|at| self.factor(account, class, at));
        factors.fold(self.factor(account, class, Instant::default()), f64::max)
    }

    /// Returns the ends of bursts and the time of a fault, after which goodput has to return.
    pub(crate) fn disturbances(&self) -> Vec<(Duration, Duration)> {
        let bursts = self.bursts.iter().map(|burst| (burst.from, burst.until));
        let lost = self.fault.filter(|(_, fault)| *fault == Fault::Loss).map(|(at, _)| (at, at));
        bursts.chain(lost).collect()
    }
}
