//! Checks of the results of a comparison against the targets of the scheduler.

use std::fmt::Write;

use crate::{
    matrix::{Plan, Results},
    policy::Policy,
    summary::Summary,
    table,
    workload::Class,
};

/// Access to results by the name of the scenario.
struct Lookup<'a> {
    plan: &'a Plan,
    results: &'a Results,
}

impl Lookup<'_> {
    /// Returns the median of a figure; `None` if the scenario was not run under the policy.
    fn median(&self, name: &str, policy: Policy, figure: impl Fn(&Summary) -> f64) -> Option<f64> {
        let index = self.plan.scenarios.iter().position(|scenario| scenario.name == name)?;
        let runs = self.results.get(&(index, policy))?;
        Some(table::median(runs.iter().map(figure).collect()))
    }

    fn scheduler_median(&self, name: &str, figure: impl Fn(&Summary) -> f64) -> Option<f64> {
        self.median(name, Policy::Quincespoke, figure)
    }

    /// Returns the medians of a figure under the baseline policies.
    fn baseline_medians(&self, name: &str, figure: impl Fn(&Summary) -> f64) -> Vec<f64> {
        let baselines = Policy::ALL.into_iter().filter(|policy| *policy != Policy::Quincespoke);
        baselines.filter_map(|policy| self.median(name, policy, &figure)).collect()
    }
}

/// Returns a line for each target and scenario with the figure, its bound and whether it was met.
pub fn render(plan: &Plan, results: &Results) -> String {
    let lookup = Lookup { plan, results };
    let mut text = String::new();
    let mut line = |name: &str, target: &str, value: f64, bound: f64, is_minimum: bool| {
        let met = if is_minimum { value >= bound } else { value <= bound };
        let (sign, result) =
            (if is_minimum { ">=" } else { "<=" }, if met { "met" } else { "not met" });
        let _ = writeln!(text, "{name:<17} {target:<44} {value:8.3} {sign} {bound:<8.3} {result}");
    };
    let floor_goodput = |run: &Summary| run.goodput.get(&Class::Floor).copied().unwrap_or(0.0);
    if let (Some(mixed), Some(alone)) = (
        lookup.scheduler_median("steady-2.0", floor_goodput),
        lookup.scheduler_median("floor-alone", floor_goodput),
    ) {
        line("steady-2.0", "floor goodput relative to floor alone", mixed / alone, 0.99, true);
    }
    for scenario in plan.scenarios.iter().filter(|s| s.only_class.is_none()) {
        let name = scenario.name.as_str();
        let Some(total) = lookup.scheduler_median(name, |run| run.total_goodput) else { continue };
        let best =
            lookup.baseline_medians(name, |run| run.total_goodput).into_iter().fold(0.0, f64::max);
        let factor = if scenario.load >= 1.2 { 1.0 } else { 0.95 };
        line(name, "total goodput, bound by best baseline", total, best * factor, true);
        let wasted = lookup.scheduler_median(name, |run| run.wasted_prefill).unwrap_or(0.0);
        line(name, "wasted prefill", wasted, 0.03, false);
        let overload = scenario.load > 1.0
            || scenario.heavy_account.is_some_and(|account| account.class.is_none());
        if overload || name == "straggler" {
            let least = lookup
                .baseline_medians(name, |run| run.wasted_prefill)
                .into_iter()
                .fold(1.0, f64::min);
            line(name, "wasted prefill, a third of best baseline", wasted, least / 3.0, false);
        }
        let rounds = lookup.scheduler_median(name, |run| run.rounds_per_accepted).unwrap_or(0.0);
        line(name, "request rounds offered for each accepted", rounds, 1.1, false);
        for class in Class::MODEL.into_iter().filter(|_| !scenario.disturbances().is_empty()) {
            let recovery = lookup
                .scheduler_median(name, |run| run.recovery.get(&class).copied().unwrap_or(0.0));
            let target = format!("{} goodput 5 s later, relative", class.name());
            line(name, &target, recovery.unwrap_or(0.0), 0.95, true);
        }
    }
    let first_token_p95 =
        |run: &Summary| run.first_token_ms.get(&Class::Floor).map_or(0.0, |times| times[1]);
    if let (Some(mixed), Some(unloaded)) = (
        lookup.scheduler_median("mixed-0.8", first_token_p95),
        lookup.scheduler_median("unloaded", first_token_p95),
    ) {
        line(
            "mixed-0.8",
            "floor first token p95 relative to unloaded",
            mixed / unloaded,
            2.0,
            false,
        );
    }
    for class in Class::MODEL {
        let others = |run: &Summary| run.other_accounts_goodput(class);
        let name = format!("tenfold-{}", class.name());
        if let (Some(heavy), Some(normal)) =
            (lookup.scheduler_median(&name, others), lookup.scheduler_median("steady-0.8", others))
        {
            let target = format!("{} goodput of other accounts, relative", class.name());
            line(&name, &target, heavy / normal, 0.98, true);
        }
    }
    text
}
