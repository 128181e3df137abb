//! Recent events of requests, shown to operators.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
};

use wire::{id, outcome, status, time::Instant};

use crate::clock;

/// Maximum number of requests in the store.
const MAX_REQUESTS: usize = 20_000;
/// Maximum number of events for each request.
const MAX_EVENTS: usize = 64;

struct Event {
    at: Instant,
    step: outcome::Step,
    event: &'static str,
    peer: bytes::Bytes,
}

/// Events of the latest requests, bounded in number.
#[derive(Default)]
pub struct Store {
    events: RefCell<HashMap<id::Request, Vec<Event>>>,
    insertion_order: RefCell<VecDeque<id::Request>>,
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
        let peer_text = String::from_utf8_lossy(&peer);
        tracing::debug!(event, %request, %step, peer = %peer_text);
        let mut events = self.events.borrow_mut();
        let request_events = events.entry(request).or_insert_with(|| {
            self.insertion_order.borrow_mut().push_back(request);
            Vec::new()
        });
        if request_events.len() < MAX_EVENTS {
            request_events.push(Event { at: clock::now(), step, event, peer });
        }
        if events.len() > MAX_REQUESTS
            && let Some(oldest) = self.insertion_order.borrow_mut().pop_front()
        {
            events.remove(&oldest);
        }
    }

    /// Returns the events of a request, oldest first.
    pub fn find(&self, request: id::Request, host: &str) -> Option<Vec<status::Trace>> {
        let events = self.events.borrow();
        let request_events = events.get(&request)?;
        let first = request_events.first()?.at;
        let trace = |event: &Event| status::Trace {
            at_us: event.at.since(first).as_micros() as u64,
            host: host.into(),
            step: event.step.to_string(),
            event: event.event.into(),
            peer: String::from_utf8_lossy(&event.peer).into_owned(),
        };
        Some(request_events.iter().map(trace).collect())
    }
}
