//! Checks the recorded history against the guarantees.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use wire::{id, outcome, time::Instant};

use crate::{
    engine,
    record::{Record, Response},
};

/// Time after a drain order, or after a host was listed as leaving, from which no new work may
/// start on that host.
const DRAIN_BOUND: Duration = Duration::from_secs(3);
/// Number of engine crashes that one poison request may cause.
const MAX_POISON_CRASHES: u32 = 2;

/// Returns a line for each violation in the history of a completed run.
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

/// Guarantee 1: no request is dispatched more than once.
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

/// Every request has exactly one response, unless its caller was disconnected.
fn check_single_response(record: &Record, found: &mut Vec<String>) {
    for (caller, request) in &record.requests {
        match request.responses.len() {
            1 => {}
            0 if request.disconnected => {}
            count => found.push(format!("caller {caller} got {count} final responses")),
        }
    }
}

/// Guarantee 3: a response is complete and belongs to its request.
fn check_response_content(record: &Record, found: &mut Vec<String>) {
    for (caller, request) in &record.requests {
        for (_, response) in &request.responses {
            if let Response::Complete(bytes) = response
                && *bytes != engine::response(&request.body)
            {
                let length = bytes.len();
                found.push(format!("caller {caller} got a wrong response of {length} bytes"));
            }
        }
    }
}

/// Guarantee 4: a request refused as `not_run` did not run, and one refused as `incomplete` did.
/// A request with a key counts as run if any request with this key ran by the time of the
/// response.
fn check_refusal_outcomes(record: &Record, found: &mut Vec<String>) {
    let ran: BTreeSet<id::Request> = record.runs.iter().map(|run| run.request).collect();
    for (caller, request) in &record.requests {
        for (at, response) in &request.responses {
            let Response::Refused(refusal) = response else { continue };
            let request_ran = request.id.is_some_and(|id| ran.contains(&id));
            let key_ran =
                || request.key.as_ref().is_some_and(|key| has_run_with_key(record, key, *at));
            if refusal.outcome == outcome::Outcome::Incomplete && !request_ran && !key_ran() {
                found.push(format!("caller {caller} got incomplete, but the request did not run"));
            }
            if refusal.outcome != outcome::Outcome::NotRun {
                continue;
            }
            if request_ran || key_ran() {
                let reason = refusal.reason;
                found.push(format!("caller {caller} got not_run ({reason}), but the request ran"));
            }
        }
    }
}

/// Returns whether a request with a key started to run at or before `until`.
fn has_run_with_key(record: &Record, key: &[u8], until: Instant) -> bool {
    record.runs.iter().any(|run| {
        let text = run.key.as_ref().map(ToString::to_string);
        run.at <= until && text.is_some_and(|text| text.as_bytes() == key)
    })
}

/// Guarantee 5: work with a key runs at most once.
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

/// Guarantee 2: no process refuses a request for lack of capacity while it queues requests of a
/// lower tier.
fn check_tier_order(record: &Record, found: &mut Vec<String>) {
    for refusal in &record.overload_refusals {
        let lower =
            refusal.queued.iter().find(|(rank, count)| **rank > refusal.tier.0 && **count > 0);
        if let Some((rank, count)) = lower {
            let host = String::from_utf8_lossy(&refusal.host);
            let tier = refusal.tier.0;
            found.push(format!(
                "{host} refused tier {tier} while {count} of tier {rank} were queued"
            ));
        }
    }
}

/// Guarantee 6: from [`DRAIN_BOUND`] after the order until its end, no work starts on the engine
/// of a leaving agent.
fn check_no_work_on_leaving_agents(record: &Record, found: &mut Vec<String>) {
    for (ordered, agent) in &record.drain_starts {
        let ended = record.drain_ends.iter().find(|(at, ended)| ended == agent && at >= ordered);
        let from = *ordered + DRAIN_BOUND;
        let until = ended.map_or(Instant(u64::MAX), |(at, _)| *at);
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

/// Returns a line for each request that a planned stop interrupted. Only valid for histories
/// without other faults.
pub fn interrupted_by_stop(record: &Record) -> Vec<String> {
    let mut found = Vec::new();
    for (at, requests) in &record.planned_stops {
        for request in record.requests.values() {
            let open = request.id.is_some_and(|id| requests.contains(&id));
            let complete = request
                .responses
                .iter()
                .any(|(_, response)| matches!(response, Response::Complete(_)));
            if open && !complete {
                found.push(format!("request {:?} interrupted by the stop at {at:?}", request.id));
            }
        }
    }
    found
}
