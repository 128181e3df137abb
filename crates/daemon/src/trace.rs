//! Recent events of requests, for operators.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
};

use wire::{id, outcome, status, time::Instant};

use crate::clock;

/// Requests remembered at once.
const MAX_REQUESTS: usize = 20_000;
/// Events remembered for each request.
const MAX_EVENTS: usize = 64;

struct Event {
    at: Instant,
    step: outcome::Step,
    event: &'static str,
    peer: bytes::Bytes,
}

/// A bounded store of the latest requests' events.
#[derive(Default)]
pub struct Store {
    events: RefCell<HashMap<id::Request, Vec<Event>>>,
    order: RefCell<VecDeque<id::Request>>,
}

impl Store {
    /// Records and logs one event.
    pub fn record(
        &self,
        request: id::Request,
        step: outcome::Step,
        event: &'static str,
        peer: bytes::Bytes,
    ) {
        let shown = String::from_utf8_lossy(&peer);
        tracing::debug!(event, %request, %step, peer = %shown);
        let mut events = self.events.borrow_mut();
        let list = events.entry(request).or_insert_with(|| {
            self.order.borrow_mut().push_back(request);
            Vec::new()
        });
        if list.len() < MAX_EVENTS {
            list.push(Event { at: clock::now(), step, event, peer });
        }
        if events.len() > MAX_REQUESTS
            && let Some(oldest) = self.order.borrow_mut().pop_front()
        {
            events.remove(&oldest);
        }
    }

    /// Returns the events of a request, oldest first.
    pub fn of(&self, request: id::Request, host: &str) -> Option<Vec<status::Trace>> {
        let events = self.events.borrow();
        let list = events.get(&request)?;
        let first = list.first()?.at;
        let trace = |event: &Event| status::Trace {
            at_us: event.at.since(first).as_micros() as u64,
            host: host.into(),
            step: event.step.to_string(),
            event: event.event.into(),
            peer: String::from_utf8_lossy(&event.peer).into_owned(),
        };
        Some(list.iter().map(trace).collect())
    }
}
