//! Figures of one run.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use stand::run::{End, Run};

use crate::{
    event_queue,
    record::{Outcome, Record},
    scenario::{HEAVY_ACCOUNT, Scenario, WARM_UP},
    workload::{Class, Request},
};

/// Time allowed for goodput to recover after a disturbance.
const RECOVERY_TIME: Duration = Duration::from_secs(5);
/// Length of the two periods whose goodput is compared. The first starts after the warm-up and ends
/// before the disturbance; the other starts after the recovery time.
const COMPARISON_TIME: Duration = Duration::from_secs(8);
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latency at the 50th, 95th and 99th percentile, in milliseconds.
pub type Percentiles = [f64; 3];

/// Figures of one run, without the requests sent during the warm-up.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// Share of requests with a complete response in time, by class.
    pub goodput: BTreeMap<Class, f64>,
    /// Goodput of model requests of all classes.
    pub total_goodput: f64,
    /// Goodput by class and account.
    pub accounts: BTreeMap<(Class, usize), f64>,
    /// Share of computed prompt tokens that were computed for a run that was cancelled or
    /// crashed, or for a repeated run of a request.
    pub wasted_prefill: f64,
    /// Number of requests without a complete response, by class and reason.
    pub refusals: BTreeMap<String, u64>,
    pub first_token_ms: BTreeMap<Class, Percentiles>,
    pub between_tokens_ms: Percentiles,
    /// Offers sent per accepted request.
    pub offers_per_accepted: f64,
    /// Rounds of offers per accepted request; the first offers within the spread are one round.
    pub rounds_per_accepted: f64,
    /// Lowest goodput after the recovery time of a disturbance, relative to the goodput before
    /// the disturbance, by class.
    pub recovery: BTreeMap<Class, f64>,
    pub counters: BTreeMap<String, u64>,
}

impl Summary {
    /// Returns the mean goodput of all accounts but the one that may send ten times its share.
    pub fn other_accounts_goodput(&self, class: Class) -> f64 {
        let of_class = self.accounts.iter().filter(|((other, _), _)| *other == class);
        let others = of_class.filter(|((_, account), _)| *account != HEAVY_ACCOUNT);
        let (sum, count) =
            others.fold((0.0, 0.0), |(sum, n), (_, goodput)| (sum + goodput, n + 1.0));
        sum / f64::max(count, 1.0)
    }
}

/// Computes the figures of one run.
pub fn summarize(
    scenario: &Scenario,
    requests: &[Request],
    record: &Record,
    runs: &[Run],
) -> Summary {
    let counted = |request: &Request| request.sent >= event_queue::instant(WARM_UP);
    let met_deadline: Vec<bool> =
        (0..requests.len()).map(|i| record.counts_as_goodput(i, &requests[i])).collect();
    let goodput_of = |wanted: &dyn Fn(&Request) -> bool| {
        let found = requests
            .iter()
            .zip(&met_deadline)
            .filter(|(request, _)| counted(request) && wanted(request));
        let (count, hits) = found.fold((0, 0), |(count, hits), (_, met_deadline)| {
            (count + 1, hits + u32::from(*met_deadline))
        });
        if count == 0 { 0.0 } else { f64::from(hits) / f64::from(count) }
    };
    let mut summary = Summary {
        total_goodput: goodput_of(&|request| request.class != Class::Plain),
        wasted_prefill: wasted_prefill(runs),
        between_tokens_ms: percentiles(record.token_gaps.iter().map(|(gap, n)| (*gap, *n))),
        counters: record.counters.clone(),
        ..Summary::default()
    };
    for class in Class::ALL.into_iter().filter(|class| scenario.includes(*class)) {
        summary.goodput.insert(class, goodput_of(&|request| request.class == class));
        for account in 0..requests.iter().map(|request| request.account + 1).max().unwrap_or(0) {
            let goodput =
                goodput_of(&|request| request.class == class && request.account == account);
            summary.accounts.insert((class, account), goodput);
        }
        let times = requests
            .iter()
            .zip(&record.requests)
            .filter(|(request, _)| request.class == class && counted(request));
        let times =
            times.filter_map(|(request, progress)| Some(progress.first_token?.since(request.sent)));
        let times = percentiles(times.map(|time| (time.as_micros() as u64, 1)));
        summary.first_token_ms.insert(class, times);
        let within = |from: Duration, until: Duration| {
            let (from, until) = (event_queue::instant(from), event_queue::instant(until));
            goodput_of(&|request| {
                request.class == class && from <= request.sent && request.sent < until
            })
        };
        let recovered = scenario.disturbances().into_iter().map(|(start, end)| {
            let before = within(WARM_UP, start.min(WARM_UP + COMPARISON_TIME));
            within(end + RECOVERY_TIME, end + RECOVERY_TIME + COMPARISON_TIME)
                / before.max(f64::MIN_POSITIVE)
        });
        if let Some(least) = recovered.min_by(f64::total_cmp) {
            summary.recovery.insert(class, least);
        }
    }
    for (request, progress) in
        requests.iter().zip(&record.requests).filter(|(request, _)| counted(request))
    {
        let reason = match progress.outcome {
            Some(Outcome::Refused(reason)) => reason.to_string(),
            Some(Outcome::TimedOut) => "timed_out".to_owned(),
            None => "unanswered".to_owned(),
            Some(Outcome::Complete(_)) => continue,
        };
        *summary.refusals.entry(format!("{}:{reason}", request.class.name())).or_default() += 1;
    }
    let count = |name: &str| record.counters.get(name).copied().unwrap_or(0) as f64;
    let accepted = count("entry_accepted").max(1.0);
    summary.offers_per_accepted = count("entry_offers") / accepted;
    summary.rounds_per_accepted = (accepted + count("entry_retries")) / accepted;
    summary
}

fn wasted_prefill(runs: &[Run]) -> f64 {
    let mut total = 0;
    let mut wasted = 0;
    let mut finished: BTreeMap<u64, u32> = BTreeMap::new();
    for run in runs {
        let computed = u64::from(run.prefill_computed);
        total += computed;
        let repeated = run.end == Some(End::Finished) && {
            let times = finished.entry(run.fingerprint).or_default();
            *times += 1;
            *times > 1
        };
        if repeated || matches!(run.end, Some(End::Cancelled | End::Crashed)) {
            wasted += computed;
        }
    }
    wasted as f64 / total.max(1) as f64
}

fn percentiles(values: impl Iterator<Item = (u64, u64)>) -> Percentiles {
    let Ok(mut histogram) = Histogram::<u64>::new(SIGNIFICANT_DIGITS) else { return [0.0; 3] };
    for (value, count) in values {
        // The histogram resizes itself, so recording can't fail.
        let _ = histogram.record_n(value, count);
    }
    [0.50, 0.95, 0.99].map(|quantile| histogram.value_at_quantile(quantile) as f64 / 1e3)
}
