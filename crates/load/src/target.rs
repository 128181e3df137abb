//! The policy targets, computed from the results of a comparison.

use std::fmt::Write;

use crate::{
    matrix::{Plan, Results},
    policy::Policy,
    summary::Summary,
    table,
    workload::Class,
};

/// Results by the names of scenarios.
struct Lookup<'a> {
    plan: &'a Plan,
    results: &'a Results,
}

impl Lookup<'_> {
    /// Returns the median of a figure, if the scenario was run under the policy.
    fn figure(&self, name: &str, policy: Policy, of: impl Fn(&Summary) -> f64) -> Option<f64> {
        let index = self.plan.scenarios.iter().position(|scenario| scenario.name == name)?;
        let runs = self.results.get(&(index, policy))?;
        Some(table::median(runs.iter().map(of).collect()))
    }

    fn own(&self, name: &str, of: impl Fn(&Summary) -> f64) -> Option<f64> {
        self.figure(name, Policy::Quincespoke, of)
    }

    /// Returns the figures of the baselines.
    fn baselines(&self, name: &str, of: impl Fn(&Summary) -> f64) -> Vec<f64> {
        let baselines = Policy::ALL.into_iter().filter(|policy| *policy != Policy::Quincespoke);
        baselines.filter_map(|policy| self.figure(name, policy, &of)).collect()
    }
}

/// Returns one line for each target and scenario: the figure, its bound and the verdict.
pub fn render(plan: &Plan, results: &Results) -> String {
    let lookup = Lookup { plan, results };
    let mut text = String::new();
    let mut line = |name: &str, target: &str, value: f64, bound: f64, least: bool| {
        let met = if least { value >= bound } else { value <= bound };
        let (sign, verdict) =
            (if least { ">=" } else { "<=" }, if met { "met" } else { "not met" });
        let _ = writeln!(text, "{name:<17} {target:<44} {value:8.3} {sign} {bound:<8.3} {verdict}");
    };
    let floor = |run: &Summary| run.goodput.get(&Class::Floor).copied().unwrap_or(0.0);
    if let (Some(own), Some(alone)) =
        (lookup.own("steady-2.0", floor), lookup.own("floor-alone", floor))
    {
        line("steady-2.0", "floor goodput relative to floor alone", own / alone, 0.99, true);
    }
    for scenario in plan.scenarios.iter().filter(|s| s.only.is_none()) {
        let name = scenario.name.as_str();
        let Some(total) = lookup.own(name, |run| run.total) else { continue };
        let best = lookup.baselines(name, |run| run.total).into_iter().fold(0.0, f64::max);
        let factor = if scenario.load >= 1.2 { 1.0 } else { 0.95 };
        line(name, "total goodput, bound by best baseline", total, best * factor, true);
        let wasted = lookup.own(name, |run| run.wasted).unwrap_or(0.0);
        line(name, "wasted prefill", wasted, 0.03, false);
        let overload =
            scenario.load > 1.0 || scenario.loud.is_some_and(|loud| loud.class.is_none());
        if overload || name == "straggler" {
            let least = lookup.baselines(name, |run| run.wasted).into_iter().fold(1.0, f64::min);
            line(name, "wasted prefill, a third of best baseline", wasted, least / 3.0, false);
        }
        let rounds = lookup.own(name, |run| run.rounds).unwrap_or(0.0);
        line(name, "request rounds offered for each accepted", rounds, 1.1, false);
        for class in Class::MODEL.into_iter().filter(|_| !scenario.disturbances().is_empty()) {
            let back = lookup.own(name, |run| run.recovered.get(&class).copied().unwrap_or(0.0));
            let target = format!("{} goodput 5 s later, relative", class.name());
            line(name, &target, back.unwrap_or(0.0), 0.95, true);
        }
    }
    let first = |run: &Summary| run.first_token_ms.get(&Class::Floor).map_or(0.0, |times| times[1]);
    if let (Some(mixed), Some(idle)) =
        (lookup.own("mixed-0.8", first), lookup.own("unloaded", first))
    {
        line("mixed-0.8", "floor first token p95 relative to unloaded", mixed / idle, 2.0, false);
    }
    for class in Class::MODEL {
        let others = |run: &Summary| run.others(class);
        let name = format!("tenfold-{}", class.name());
        if let (Some(loud), Some(quiet)) =
            (lookup.own(&name, others), lookup.own("steady-0.8", others))
        {
            let target = format!("{} goodput of other accounts, relative", class.name());
            line(&name, &target, loud / quiet, 0.98, true);
        }
    }
    text
}
