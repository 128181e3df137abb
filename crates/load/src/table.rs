//! Tables of medians and ranges over the seeds.

use std::{collections::BTreeMap, fmt::Write};

use comfy_table::Table;

use crate::{
    matrix::{Plan, Results},
    policy::Policy,
    summary::Summary,
    workload::Class,
};

/// Maximum number of refusal reasons shown in a row.
const MAX_REASONS: usize = 4;

/// Returns the median, or 0 if there are no values.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    if values.is_empty() { 0.0 } else { values[(values.len() - 1) / 2] }
}

fn range_cell(runs: &[Summary], digits: usize, figure: impl Fn(&Summary) -> f64) -> String {
    let values: Vec<f64> = runs.iter().map(figure).filter(|value| value.is_finite()).collect();
    if values.is_empty() {
        return "-".to_owned();
    }
    let low = values.iter().copied().fold(f64::INFINITY, f64::min);
    let high = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    format!("{:.digits$} ({low:.digits$}-{high:.digits$})", median(values))
}

fn by_class<T>(map: &BTreeMap<Class, T>, class: Class, figure: impl Fn(&T) -> f64) -> f64 {
    map.get(&class).map_or(f64::NAN, figure)
}

/// Returns the tables of goodput and of latency.
pub fn render(plan: &Plan, results: &Results) -> String {
    let mut text = String::new();
    let _ = writeln!(text, "{}\n\n{}", goodput_table(plan, results), latency_table(plan, results));
    text
}

fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::ASCII_MARKDOWN).set_header(header);
    table
}

fn goodput_table(plan: &Plan, results: &Results) -> Table {
    let mut table = new_table(&[
        "scenario",
        "policy",
        "floor",
        "desk",
        "catalogue",
        "plain",
        "total",
        "wasted %",
        "recovered",
        "refusals by reason",
    ]);
    for ((index, policy), runs) in results {
        let class =
            |class| range_cell(runs, 3, |run| by_class(&run.goodput, class, |value| *value));
        let recovered = range_cell(runs, 2, |run| {
            run.recovery.values().copied().min_by(f64::total_cmp).unwrap_or(f64::NAN)
        });
        table.add_row(vec![
            plan.scenarios[*index].name.clone(),
            policy.name().to_owned(),
            class(Class::Floor),
            class(Class::Desk),
            class(Class::Catalogue),
            class(Class::Plain),
            range_cell(runs, 3, |run| run.total_goodput),
            range_cell(runs, 1, |run| run.wasted_prefill * 100.0),
            recovered,
            top_refusals(runs),
        ]);
    }
    table
}

/// Returns the most frequent refusals with their mean count over seeds.
fn top_refusals(runs: &[Summary]) -> String {
    let mut sums: BTreeMap<&str, u64> = BTreeMap::new();
    for (reason, count) in runs.iter().flat_map(|run| &run.refusals) {
        *sums.entry(reason).or_default() += count;
    }
    let mut sums: Vec<_> = sums.into_iter().collect();
    sums.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    let mean = |count: u64| count / runs.len().max(1) as u64;
    let shown =
        sums.iter().take(MAX_REASONS).map(|(reason, count)| format!("{reason}={}", mean(*count)));
    shown.collect::<Vec<_>>().join(" ")
}

fn latency_table(plan: &Plan, results: &Results) -> Table {
    let mut table = new_table(&[
        "scenario",
        "policy",
        "floor first token p50",
        "p95",
        "p99",
        "desk p95",
        "catalogue p95",
        "between tokens p50",
        "p95",
        "p99",
        "offers",
        "rounds",
    ]);
    for ((index, policy), runs) in results {
        let first = |class, percentile: usize| {
            range_cell(runs, 0, |run| {
                by_class(&run.first_token_ms, class, |times| times[percentile])
            })
        };
        let offers = |figure: &'static dyn Fn(&Summary) -> f64| {
            let applies = *policy == Policy::Quincespoke;
            move |run: &Summary| if applies { figure(run) } else { f64::NAN }
        };
        let between_tokens =
            |percentile: usize| range_cell(runs, 0, |run| run.between_tokens_ms[percentile]);
        table.add_row(vec![
            plan.scenarios[*index].name.clone(),
            policy.name().to_owned(),
            first(Class::Floor, 0),
            first(Class::Floor, 1),
            first(Class::Floor, 2),
            first(Class::Desk, 1),
            first(Class::Catalogue, 1),
            between_tokens(0),
            between_tokens(1),
            between_tokens(2),
            range_cell(runs, 2, offers(&|run| run.offers_per_accepted)),
            range_cell(runs, 2, offers(&|run| run.rounds_per_accepted)),
        ]);
    }
    table
}

/// Returns the counters of the state machines, summed over the seeds.
pub fn counters(plan: &Plan, results: &Results) -> String {
    let mut text = String::new();
    for ((index, policy), runs) in results {
        let mut sums: BTreeMap<&str, u64> = BTreeMap::new();
        for (name, count) in runs.iter().flat_map(|run| &run.counters) {
            *sums.entry(name).or_default() += count;
        }
        for (name, count) in sums {
            let scenario = &plan.scenarios[*index].name;
            let _ = writeln!(text, "{scenario} {} {name}={count}", policy.name());
        }
    }
    text
}
