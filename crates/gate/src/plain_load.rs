//! Load of the servers of plain services, summed over all gateways, and the decision whether a
//! request is sent to them.
//!
//! A server of a plain service processes as many requests as it has slots and queues some more. Each
//! gateway sends it only a few requests a second, so a bound on the gateway's own requests bounds
//! nothing: many gateways together fill the queue, and all answers are late. The requests of all
//! gateways are estimated from their reports and from the times that answers take, and a server gets
//! no more of them than it answers within a part of the objective.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use wire::time::Instant;

/// Answers from which the work of a request is estimated. A gateway among tens gets some three
/// answers a second from each server, so that the median follows a server that becomes slow within
/// some 5 s. With 16, its error where the work varies by half made gateways refuse requests too early.
const WORK_SAMPLES: usize = 32;
/// Answers of which the fastest one shows the time without a queue. Some tens of seconds at three
/// answers a second, so that it outlasts a burst.
const ANSWERS: usize = 64;
/// Age up to which the time of an answer is used. Queues that take longer than that to drain end in
/// rejections.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(500);
/// Least time of an answer, which keeps the work above 0.
const MIN_WORK_MS: f64 = 0.1;
/// Multiple of the work beyond which an answer was late because of a queue. Otherwise the work itself
/// takes longer than the objective, and fewer requests would not be answered sooner.
const QUEUED_RATIO: f64 = 2.0;
/// Part of the time of an answer, as a multiple of the work, that is not taken for a queue. Work
/// varies, and a service whose servers have free slots is not short.
const WORK_SPREAD: f64 = 1.6;
/// Part of the objective that a request of the most urgent tier may be expected to take at the
/// server. The rest covers requests of other gateways that are not reported yet, and the wait here.
const FIRST_SHARE: f64 = 0.5;
/// The same for other tiers, so that they are refused first.
const LATER_SHARE: f64 = 0.4;
/// Part of the objective for which a request of the most urgent tier waits for a server.
const FIRST_WAIT_SHARE: f64 = 0.25;
/// The same for others. A refusal within this time costs a caller no more than one at once.
const LATER_WAIT_SHARE: f64 = 0.125;
/// Time for which a tier counts after a request of it arrived.
const TIER_RETENTION: Duration = Duration::from_secs(2);

/// Urgency of a request among those that the service gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// No request of a more urgent tier arrived recently.
    First,
    Later,
    /// The objective passed at an earlier attempt of the caller, or the request may have run before.
    /// It only gets free slots.
    Overdue,
}

impl Urgency {
    /// Returns the time that a request may be expected to take at a server, in ms.
    fn budget_ms(self, objective: Duration) -> f64 {
        let share = match self {
            Urgency::First => FIRST_SHARE,
            Urgency::Later => LATER_SHARE,
            Urgency::Overdue => 0.0,
        };
        objective.as_secs_f64() * 1e3 * share
    }

    /// Returns the time for which a request waits while all servers are at their bounds.
    pub fn max_wait(self, objective: Duration) -> Duration {
        objective.mul_f64(match self {
            Urgency::First => FIRST_WAIT_SHARE,
            Urgency::Later | Urgency::Overdue => LATER_WAIT_SHARE,
        })
    }
}

/// Tiers of the requests that a service got recently.
#[derive(Clone, Debug, Default)]
pub struct Tiers {
    seen: BTreeMap<u32, Instant>,
}

impl Tiers {
    /// Records the arrival of a request.
    pub fn record(&mut self, now: Instant, tier: u32) {
        self.seen.retain(|_, at| now.since(*at) < TIER_RETENTION);
        self.seen.insert(tier, now);
    }

    /// Returns whether no more urgent tier was recorded recently.
    pub fn is_first(&self, now: Instant, tier: u32) -> bool {
        self.seen.range(..tier).all(|(_, at)| now.since(*at) >= TIER_RETENTION)
    }
}

/// Time that an answer took.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    pub received_at: Instant,
    pub ms: f64,
}

/// Estimates for one server of a plain service.
#[derive(Clone, Debug, Default)]
pub struct PlainLoad {
    /// Times of the latest answers to this gateway, in ms.
    answer_ms: VecDeque<f64>,
    /// Estimates of the work from single answers, in ms, the latest last.
    samples: VecDeque<f64>,
    /// Median of the samples. A single answer may take many times as long as others.
    work_ms: Option<f64>,
    /// Work at another server of the service, used until this one has answered.
    assumed_ms: Option<f64>,
    /// The two latest answers to this gateway and others, the latest last.
    answers: [Option<Answer>; 2],
    /// The latest answer to this gateway, until it is reported to others.
    unreported: Option<Answer>,
    /// Time of the last rejection, and requests that the server had at least.
    rejection: Option<(Instant, f64)>,
}

impl PlainLoad {
    /// Records an answer to this gateway. `running` is the estimate of the requests that the server
    /// had when the answered one was sent, without that one.
    pub fn record_answer(&mut self, now: Instant, took: Duration, slots: u32, running: f64) {
        let ms = (took.as_secs_f64() * 1e3).max(MIN_WORK_MS);
        let answer = Answer { received_at: now, ms };
        push(&mut self.answer_ms, answer.ms, ANSWERS);
        push(&mut self.samples, answer.ms / rounds(running, slots), WORK_SAMPLES);
        let mut sorted: Vec<f64> = self.samples.iter().copied().collect();
        sorted.sort_unstable_by(f64::total_cmp);
        self.work_ms = Some(sorted[sorted.len() / 2]);
        self.unreported = Some(answer);
        self.record_peer_answer(answer);
    }

    /// Records an answer that another gateway reported.
    pub fn record_peer_answer(&mut self, answer: Answer) {
        let [oldest, latest] = &mut self.answers;
        if latest.is_none_or(|latest| latest.received_at <= answer.received_at) {
            *oldest = latest.replace(answer);
        } else if oldest.is_none_or(|oldest| oldest.received_at <= answer.received_at) {
            *oldest = Some(answer);
        }
    }

    /// Returns the latest answer to this gateway, unless it was returned before or is too old.
    pub fn take_report(&mut self, now: Instant) -> Option<Answer> {
        let answer = self.unreported.take();
        answer.filter(|answer| now.since(answer.received_at) < MAX_ANSWER_AGE)
    }

    /// Records that the server rejected a request since its queue is full. It has at least as many
    /// requests as the most urgent ones allow.
    pub fn record_rejection(&mut self, now: Instant, slots: u32, objective: Duration) {
        let running = self.max_running(slots, objective, Urgency::First);
        self.rejection = Some((now, running));
    }

    /// Returns whether an answer is later than the objective since its request waited in the queue.
    pub fn is_late(&self, took: Duration, objective: Duration) -> bool {
        let least = self.answer_ms.iter().copied().fold(f64::MAX, f64::min);
        took > objective && took.as_secs_f64() * 1e3 > least * QUEUED_RATIO
    }

    /// Returns the time that a server takes for a request without a queue, in ms, once measured at
    /// one of the service.
    pub fn work_ms(&self) -> Option<f64> {
        self.work_ms.or(self.assumed_ms)
    }

    /// Sets the work that is used until the server has answered.
    pub fn assume_work(&mut self, ms: f64) {
        self.assumed_ms = Some(ms);
    }

    /// Returns the number of requests that the server has. `reported` is the number known from this
    /// gateway and the reports of others, which may be received late or not at all. The two latest
    /// answers show more if both took longer, less what the server has answered since.
    pub fn running(&self, now: Instant, reported: u32, slots: u32) -> f64 {
        let reported = f64::from(reported);
        let Some(work_ms) = self.work_ms() else { return reported };
        let remaining = |at: Instant, running: f64| {
            running - now.since(at).as_secs_f64() * 1e3 * f64::from(slots) / work_ms
        };
        let measured = self.answers.iter().map(|answer| {
            let answer = answer.filter(|answer| now.since(answer.received_at) < MAX_ANSWER_AGE)?;
            let queued = (answer.ms / work_ms - WORK_SPREAD) * f64::from(slots);
            (queued > 0.0).then(|| remaining(answer.received_at, f64::from(slots) + queued))
        });
        let measured = measured.map(|running| running.unwrap_or(0.0)).fold(f64::MAX, f64::min);
        let rejected = self.rejection.map_or(0.0, |(at, running)| remaining(at, running));
        reported.max(measured).max(rejected)
    }

    /// Returns the largest number of requests of all gateways that a server should have. One with a
    /// free slot may always get a request.
    pub fn max_running(&self, slots: u32, objective: Duration, urgency: Urgency) -> f64 {
        let slots = f64::from(slots);
        let Some(work_ms) = self.work_ms() else { return slots };
        slots.max(slots * urgency.budget_ms(objective) / work_ms)
    }

    /// Returns the time until the server may get another request, zero if it may now.
    pub fn wait(
        &self,
        now: Instant,
        reported: u32,
        slots: u32,
        objective: Duration,
        urgency: Urgency,
    ) -> Duration {
        // Without an answer so far, nothing is known of the service.
        let Some(work_ms) = self.work_ms() else { return Duration::ZERO };
        let most = self.max_running(slots, objective, urgency);
        let excess = self.running(now, reported, slots) + 1.0 - most;
        let wait_ms = excess.max(0.0) * work_ms / f64::from(slots.max(1));
        Duration::from_secs_f64(wait_ms / 1e3)
    }
}

fn push(latest: &mut VecDeque<f64>, value: f64, most: usize) {
    if latest.len() >= most {
        latest.pop_front();
    }
    latest.push_back(value);
}

/// Returns how many times as long as its work a request takes behind `running` others.
fn rounds(running: f64, slots: u32) -> f64 {
    let slots = f64::from(slots.max(1));
    1.0 + (running + 1.0 - slots).max(0.0) / slots
}
