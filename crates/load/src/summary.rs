//! Figures of one run.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use stand::run::{End, Run};

use crate::{
    agenda,
    ledger::{Answer, Ledger},
    scenario::{LARGE_ACCOUNT, Scenario, WARM_UP},
    workload::{Call, Class},
};

/// Time allowed for goodput to return after a disturbance, and the time then compared.
const RECOVERY: Duration = Duration::from_secs(5);
const COMPARED: Duration = Duration::from_secs(8);
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latency at the 50th, 95th and 99th percentile, in milliseconds.
pub type Percentiles = [f64; 3];

/// Figures of one run. Calls sent during the warm-up are left out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// Part of offered calls answered in full and in time.
    pub goodput: BTreeMap<Class, f64>,
    /// The same for model calls of all classes.
    pub total: f64,
    /// The same by class and account.
    pub accounts: BTreeMap<(Class, usize), f64>,
    /// Part of computed prompt tokens whose run was cancelled or crashed, or that were
    /// computed again for a call.
    pub wasted: f64,
    pub refusals: BTreeMap<String, u64>,
    pub first_token_ms: BTreeMap<Class, Percentiles>,
    pub between_tokens_ms: Percentiles,
    /// Offers sent for each accepted request, and with the first offers within the spread
    /// counted as one.
    pub offers: f64,
    pub rounds: f64,
    /// Least goodput after recovery by class, relative to that before the disturbance.
    pub recovered: BTreeMap<Class, f64>,
    pub counters: BTreeMap<String, u64>,
}

impl Summary {
    /// Returns the mean goodput of the accounts that never send ten times their share.
    pub fn others(&self, class: Class) -> f64 {
        let own = self.accounts.iter().filter(|((other, _), _)| *other == class);
        let others = own.filter(|((_, account), _)| *account != LARGE_ACCOUNT);
        let (sum, count) = others.fold((0.0, 0.0), |(sum, n), (_, part)| (sum + part, n + 1.0));
        sum / f64::max(count, 1.0)
    }
}

/// Computes the figures of one run.
pub fn of(scenario: &Scenario, calls: &[Call], ledger: &Ledger, runs: &[Run]) -> Summary {
    let counted = |call: &Call| call.sent >= agenda::at(WARM_UP);
    let good: Vec<bool> = (0..calls.len()).map(|i| ledger.is_good(i, &calls[i])).collect();
    let part = |wanted: &dyn Fn(&Call) -> bool| {
        let found = calls.iter().zip(&good).filter(|(call, _)| counted(call) && wanted(call));
        let (count, hits) = found.fold((0, 0), |(n, g), (_, good)| (n + 1, g + u32::from(*good)));
        if count == 0 { 0.0 } else { f64::from(hits) / f64::from(count) }
    };
    let mut summary = Summary {
        total: part(&|call| call.class != Class::Plain),
        wasted: wasted(runs),
        between_tokens_ms: percentiles(ledger.gaps.iter().map(|(gap, n)| (*gap, *n))),
        counters: ledger.counters.clone(),
        ..Summary::default()
    };
    for class in Class::ALL.into_iter().filter(|class| scenario.includes(*class)) {
        summary.goodput.insert(class, part(&|call| call.class == class));
        for account in 0..calls.iter().map(|call| call.account + 1).max().unwrap_or(0) {
            let goodput = part(&|call| call.class == class && call.account == account);
            summary.accounts.insert((class, account), goodput);
        }
        let times =
            calls.iter().zip(&ledger.entries).filter(|(c, _)| c.class == class && counted(c));
        let times = times.filter_map(|(call, entry)| Some(entry.first_token?.since(call.sent)));
        let times = percentiles(times.map(|time| (time.as_micros() as u64, 1)));
        summary.first_token_ms.insert(class, times);
        let within = |from: Duration, until: Duration| {
            let (from, until) = (agenda::at(from), agenda::at(until));
            part(&|call| call.class == class && from <= call.sent && call.sent < until)
        };
        let recovered = scenario.disturbances().into_iter().map(|(start, end)| {
            let before = within(WARM_UP, start.min(WARM_UP + COMPARED));
            within(end + RECOVERY, end + RECOVERY + COMPARED) / before.max(f64::MIN_POSITIVE)
        });
        if let Some(least) = recovered.min_by(f64::total_cmp) {
            summary.recovered.insert(class, least);
        }
    }
    for (call, entry) in calls.iter().zip(&ledger.entries).filter(|(call, _)| counted(call)) {
        let reason = match entry.answer {
            Some(Answer::Refused(reason)) => reason.to_string(),
            Some(Answer::TimedOut) => "timed_out".to_owned(),
            None => "unanswered".to_owned(),
            Some(Answer::Whole(_)) => continue,
        };
        *summary.refusals.entry(format!("{}:{reason}", call.class.name())).or_default() += 1;
    }
    let count = |name: &str| ledger.counters.get(name).copied().unwrap_or(0) as f64;
    let accepted = count("entry_accepted").max(1.0);
    summary.offers = count("entry_offers") / accepted;
    summary.rounds = (accepted + count("entry_retries")) / accepted;
    summary
}

fn wasted(runs: &[Run]) -> f64 {
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
        // An auto-resizing histogram takes any value.
        let _ = histogram.record_n(value, count);
    }
    [0.50, 0.95, 0.99].map(|quantile| histogram.value_at_quantile(quantile) as f64 / 1e3)
}
