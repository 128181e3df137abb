//! The checker: reads the recorded history and names every broken guarantee.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use wire::{id, outcome, time::Instant};

use crate::{
    engine,
    record::{Record, Response},
};

/// Time after a drain order from which no new work may start.
const DRAIN_BOUND: Duration = Duration::from_secs(3);
/// Engines that one poison request may cost.
const MAX_POISON_CRASHES: u32 = 2;

/// Returns a line for each violation in a history that has come to rest.
pub fn violations(record: &Record) -> Vec<String> {
    let mut found = Vec::new();
    check_single_dispatch(record, &mut found);
    check_single_response(record, &mut found);
    check_response_content(record, &mut found);
    check_refusal_outcomes(record, &mut found);
    check_single_run_per_key(record, &mut found);
    check_tier_order(record, &mut found);
    check_no_work_on_leaving_agents(record, &mut found);
    check_poison_limit(record, &mut found);
    found
}

/// Guarantee 1.
fn check_single_dispatch(record: &Record, found: &mut Vec<String>) {
    let mut runs: BTreeMap<id::Request, u32> = BTreeMap::new();
    for run in &record.runs {
        *runs.entry(run.request).or_default() += 1;
    }
    for (request, count) in runs {
        if count > 1 {
            found.push(format!("request {request} was dispatched {count} times"));
        }
    }
}

/// Every request is answered exactly once.
fn check_single_response(record: &Record, found: &mut Vec<String>) {
    for (caller, request) in &record.requests {
        match request.responses.len() {
            1 => {}
            0 if request.disconnected => {}
            count => found.push(format!("caller {caller} got {count} final responses")),
        }
    }
}

/// Guarantee 3.
fn check_response_content(record: &Record, found: &mut Vec<String>) {
    for (caller, request) in &record.requests {
        for (_, response) in &request.responses {
            if let Response::Complete(bytes) = response
                && *bytes != engine::response(&request.body)
            {
                let length = bytes.len();
                found.push(format!("caller {caller} got {length} bytes of a wrong response"));
            }
        }
    }
}

/// Guarantee 4, and `incomplete` stands for work that began. For a keyed request the work is that of the key, whoever asked for it.
fn check_refusal_outcomes(record: &Record, found: &mut Vec<String>) {
    let ran: BTreeSet<id::Request> = record.runs.iter().map(|run| run.request).collect();
    for (caller, request) in &record.requests {
        for (at, response) in &request.responses {
            let Response::Refused(refusal) = response else { continue };
            let request_ran = request.id.is_some_and(|id| ran.contains(&id));
            let key_ran = || request.key.as_ref().is_some_and(|key| key_ran(record, key, *at));
            if refusal.outcome == outcome::Outcome::Incomplete && !request_ran && !key_ran() {
                found.push(format!("caller {caller} was told incomplete, but nothing ran"));
            }
            if refusal.outcome != outcome::Outcome::NotRun {
                continue;
            }
            if request_ran || key_ran() {
                let reason = refusal.reason;
                found.push(format!("caller {caller} was told not_run ({reason}), but it ran"));
            }
        }
    }
}

/// Returns whether work for a key ran before a moment.
fn key_ran(record: &Record, key: &[u8], before: Instant) -> bool {
    record.runs.iter().any(|run| {
        let text = run.key.as_ref().map(ToString::to_string);
        run.at <= before && text.is_some_and(|text| text.as_bytes() == key)
    })
}

/// Guarantee 5.
fn check_single_run_per_key(record: &Record, found: &mut Vec<String>) {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for key in record.runs.iter().filter_map(|run| run.key.as_ref()) {
        *runs.entry(key.to_string()).or_default() += 1;
    }
    for (key, count) in runs {
        if count > 1 {
            found.push(format!("key {key} ran {count} times"));
        }
    }
}

/// Guarantee 2, at each process.
fn check_tier_order(record: &Record, found: &mut Vec<String>) {
    for shed in &record.overload_refusals {
        let lower = shed.queued.iter().find(|(rank, count)| **rank > shed.tier.0 && **count > 0);
        if let Some((rank, count)) = lower {
            let host = String::from_utf8_lossy(&shed.host);
            let tier = shed.tier.0;
            found.push(format!("{host} shed tier {tier} and kept {count} of tier {rank}"));
        }
    }
}

/// Guarantee 6.
fn check_no_work_on_leaving_agents(record: &Record, found: &mut Vec<String>) {
    for (ordered, agent) in &record.drain_starts {
        let lifted = record.drain_ends.iter().find(|(at, lifted)| lifted == agent && at >= ordered);
        let from = *ordered + DRAIN_BOUND;
        let until = lifted.map_or(Instant(u64::MAX), |(at, _)| *at);
        let late = record.runs.iter().filter(|run| run.engine == *agent);
        for run in late.filter(|run| run.at >= from && run.at < until) {
            let after = run.at.since(*ordered).as_millis();
            found.push(format!("leaving agent {agent} got work {after} ms after the order"));
        }
    }
}

fn check_poison_limit(record: &Record, found: &mut Vec<String>) {
    for (fingerprint, crashes) in &record.crashes_by_fingerprint {
        if *crashes > MAX_POISON_CRASHES {
            found.push(format!("fingerprint {fingerprint:x} crashed {crashes} engines"));
        }
    }
}

/// Returns a line for each request that a planned stop cut. Read with histories that have no
/// other fault.
pub fn interrupted_by_stop(record: &Record) -> Vec<String> {
    let mut found = Vec::new();
    for (at, requests) in &record.planned_stops {
        for request in record.requests.values() {
            let open = request.id.is_some_and(|id| requests.contains(&id));
            let whole = request.responses.iter().any(|(_, a)| matches!(a, Response::Complete(_)));
            if open && !whole {
                found.push(format!("request {:?} cut by the stop at {at:?}", request.id));
            }
        }
    }
    found
}
