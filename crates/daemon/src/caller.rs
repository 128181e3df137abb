//! The connections of callers, as far as they take from the budget of the process.

use std::{
    cell::{Cell, RefCell},
    io, mem,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use conf::resources::Resources;
use futures_channel::oneshot;
use hyper::body::{Body, Frame, SizeHint};
use rustix::{
    process::{Resource, getrlimit},
    system::sysinfo,
};
use slotmap::SecondaryMap;
use wire::time::Instant;

use crate::{
    budget::{Budget, CONNECTION_BYTES, Closed, Full, Key, Limits, Share, Stage},
    clock,
    http::{self, Aborted},
};

/// Part of the memory of a process for its callers. The rest is for the published state, connections
/// to servers and what the allocator doesn't give back.
const MEMORY_SHARE: f64 = 0.35;
/// Part of the descriptors of a process for its callers. The rest is for connections to servers.
const DESCRIPTOR_SHARE: f64 = 0.5;
/// Memory and descriptors that are assumed if the system states none.
const DEFAULT_MEMORY: u64 = 1 << 30;
const DEFAULT_DESCRIPTORS: u64 = 1024;
/// Bytes for which a buffer grows at first.
const MIN_CAPACITY: usize = 4 << 10;
/// Bytes that the HTTP library takes for a byte of a head, since it reads into a buffer that grows.
const HEAD_FACTOR: u64 = 2;
/// Largest part of a response that is passed to the HTTP library, which keeps some of them until the
/// caller has read them.
const MAX_FRAME_BYTES: usize = 16 << 10;
/// Bytes up to which a response is delivered if there is no room for it, in the buffers that its
/// connection has taken. Refusals are shorter, and tell a caller more than a closed connection.
const MAX_SHORT_BYTES: usize = 1 << 10;
/// Time between two log lines on connections that were closed for others or refused.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// Connections that were closed for others, and requests and connections that were refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub closed: u64,
    pub refused: u64,
}

/// The connections of the callers of a process.
pub struct Registry {
    budget: RefCell<Budget>,
    /// Closes a connection when it is dropped.
    open: RefCell<SecondaryMap<Key, oneshot::Sender<()>>>,
    counts: Cell<Counts>,
    /// Counts and time of the last log line.
    logged: Cell<(Counts, Option<Instant>)>,
}

impl Registry {
    /// Returns a registry without connections, for a process with these resources, or those of the
    /// system where none are set.
    pub fn new(resources: Resources) -> Rc<Registry> {
        let system_memory = || {
            let info = sysinfo();
            let bytes = info.totalram.checked_mul(u64::from(info.mem_unit));
            bytes.filter(|bytes| *bytes > 0).unwrap_or(DEFAULT_MEMORY)
        };
        let system_descriptors = || {
            let limit = getrlimit(Resource::Nofile).current;
            limit.unwrap_or(DEFAULT_DESCRIPTORS)
        };
        let memory = resources.memory.unwrap_or_else(system_memory);
        let descriptors = resources.descriptors.unwrap_or_else(system_descriptors);
        let bytes = (memory as f64 * MEMORY_SHARE) as u64;
        let by_memory = bytes / CONNECTION_BYTES;
        let by_descriptors = (descriptors as f64 * DESCRIPTOR_SHARE) as u64;
        let limits = Limits { bytes, connections: by_memory.min(by_descriptors) as usize };
        tracing::info!(
            event = "callers_limited",
            bytes = limits.bytes,
            connections = limits.connections
        );
        Rc::new(Registry {
            budget: RefCell::new(Budget::new(limits)),
            open: RefCell::default(),
            counts: Cell::default(),
            logged: Cell::default(),
        })
    }

    /// Returns the number of connections that were closed, and of those that were refused.
    pub fn counts(&self) -> Counts {
        self.counts.get()
    }

    /// Returns the bytes that callers take, and the number of their connections.
    pub fn usage(&self) -> (u64, usize) {
        let budget = self.budget.borrow();
        (budget.used(), budget.connections())
    }

    /// Adds a connection, if there is room. The receiver is cancelled when it has to be closed.
    pub fn open(self: &Rc<Self>) -> Option<(Caller, oneshot::Receiver<()>)> {
        let now = clock::now();
        let opened = self.budget.borrow_mut().open(now);
        match opened {
            Ok((key, closed)) => {
                self.close_all(now, &closed);
                let (sender, receiver) = oneshot::channel();
                self.open.borrow_mut().insert(key, sender);
                let connection = Connection {
                    registry: self.clone(),
                    key,
                    reads_head: Cell::new(true),
                    unsent: Cell::new(0),
                };
                Some((Caller(Rc::new(connection)), receiver))
            }
            Err(Full) => {
                self.count_refusal(now);
                None
            }
        }
    }

    fn close_all(&self, now: Instant, closed: &[Closed]) {
        if closed.is_empty() {
            return;
        }
        let counts = self.counts.get();
        self.counts.set(Counts { closed: counts.closed + closed.len() as u64, ..counts });
        for (key, _) in closed {
            self.open.borrow_mut().remove(*key);
        }
        self.log(now, closed.first().map(|(_, share)| *share));
    }

    fn count_refusal(&self, now: Instant) {
        let counts = self.counts.get();
        self.counts.set(Counts { refused: counts.refused + 1, ..counts });
        self.log(now, None);
    }

    /// Logs what was closed and refused since the last line, and one of those that were closed.
    fn log(&self, now: Instant, example: Option<Share>) {
        let (before, at) = self.logged.get();
        if at.is_some_and(|at| now.since(at) < LOG_PERIOD) {
            return;
        }
        let counts = self.counts.get();
        self.logged.set((counts, Some(now)));
        let (used, connections) = self.usage();
        tracing::warn!(
            event = "callers_over_budget",
            closed = counts.closed - before.closed,
            refused = counts.refused - before.refused,
            used,
            connections,
            stage = example.map(|share| share.stage.name()),
            stage_bytes = example.map(|share| share.bytes),
            stage_ms = example.map(|share| now.since(share.since).as_millis() as u64),
        );
    }
}

/// One connection of a caller.
#[derive(Clone)]
pub struct Caller(Rc<Connection>);

struct Connection {
    registry: Rc<Registry>,
    key: Key,
    /// Whether what is read belongs to the head of a request, and the last response has ended.
    reads_head: Cell<bool>,
    /// Bytes of responses that were passed on and not written to the connection yet.
    unsent: Cell<usize>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.registry.budget.borrow_mut().close(self.key);
        self.registry.open.borrow_mut().remove(self.key);
    }
}

impl Caller {
    /// Takes bytes for a request or response of the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room for them.
    pub fn take(&self, bytes: usize) -> Result<(), Full> {
        let (registry, now) = (&self.0.registry, clock::now());
        let taken = registry.budget.borrow_mut().take(now, self.0.key, bytes as u64);
        match taken {
            Ok(closed) => {
                registry.close_all(now, &closed);
                Ok(())
            }
            Err(Full) => {
                registry.count_refusal(now);
                Err(Full)
            }
        }
    }

    /// Gives back bytes.
    pub fn give_back(&self, bytes: usize) {
        self.0.registry.budget.borrow_mut().give_back(self.0.key, bytes as u64);
    }

    /// Records that bytes of the connection were read. Those of a head are taken until the response
    /// has been delivered.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room for a head.
    pub fn record_read(&self, bytes: usize) -> io::Result<()> {
        if !self.0.reads_head.get() {
            return Ok(());
        }
        let taken = self.take(bytes * HEAD_FACTOR as usize);
        taken.map_err(|Full| io::Error::new(io::ErrorKind::OutOfMemory, "no room for a head"))
    }

    /// Records that the head of a request was read.
    pub fn end_head(&self) {
        self.0.reads_head.set(false);
    }

    /// Records that the whole request was read.
    pub fn begin_answer(&self) {
        self.enter(Stage::Answer);
    }

    fn enter(&self, stage: Stage) {
        self.0.registry.budget.borrow_mut().enter(clock::now(), self.0.key, stage);
    }

    /// Records that bytes were written to the connection.
    pub fn record_written(&self, bytes: usize) {
        let unsent = self.0.unsent.get();
        if unsent == 0 {
            return;
        }
        let written = bytes.min(unsent);
        self.0.unsent.set(unsent - written);
        self.give_back(written);
        match self.0.unsent.get() {
            0 if self.0.reads_head.get() => self.finish(),
            _ => self.enter(Stage::Delivery),
        }
    }

    /// Records that a part of a response was passed on, of which so many bytes were taken.
    fn record_part(&self, bytes: usize) {
        self.0.unsent.set(self.0.unsent.get() + bytes);
        self.enter(Stage::Delivery);
    }

    /// Records that a response was passed on as a whole, or given up.
    fn end_response(&self) {
        self.0.reads_head.set(true);
        if self.0.unsent.get() == 0 {
            self.finish();
        }
    }

    fn finish(&self) {
        self.0.registry.budget.borrow_mut().finish(clock::now(), self.0.key);
    }
}

/// Bytes that are taken for a caller until the hold is dropped.
pub struct Hold {
    caller: Caller,
    bytes: usize,
}

impl Hold {
    /// Returns a hold of no bytes.
    pub fn new(caller: Caller) -> Hold {
        Hold { caller, bytes: 0 }
    }

    /// Takes as many bytes as are missing, or gives back those that are too many. They are taken in
    /// units of `MIN_CAPACITY`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room for them.
    pub fn set(&mut self, bytes: usize) -> Result<(), Full> {
        let bytes = bytes.next_multiple_of(MIN_CAPACITY);
        match bytes.checked_sub(self.bytes) {
            Some(more) => self.caller.take(more)?,
            None => self.caller.give_back(self.bytes - bytes),
        }
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.caller.give_back(self.bytes);
    }
}

/// Bytes of a request or response that are collected for a caller. They are given back when the buffer
/// is dropped.
pub struct Buffer {
    caller: Caller,
    bytes: Vec<u8>,
}

impl Buffer {
    /// Returns an empty buffer.
    pub fn new(caller: Caller) -> Buffer {
        Buffer { caller, bytes: Vec::new() }
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Adds bytes. `most` is the number that there may be in the end.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room for them.
    pub fn extend(&mut self, data: &[u8], most: usize) -> Result<(), Full> {
        let (len, capacity) = (self.bytes.len() + data.len(), self.bytes.capacity());
        if len > capacity {
            let grown = len.max(2 * capacity).max(MIN_CAPACITY).min(most.max(len));
            self.caller.take(grown - capacity)?;
            self.bytes.reserve_exact(grown - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Returns the bytes, which are taken until the response to the request has been delivered.
    pub fn into_bytes(mut self) -> Bytes {
        self.shrink();
        mem::take(&mut self.bytes).into()
    }

    /// Returns the bytes, which are given back, and leaves the buffer empty.
    pub fn take(&mut self) -> Bytes {
        self.caller.give_back(self.bytes.capacity());
        mem::take(&mut self.bytes).into()
    }

    /// Returns the body of a response. Its bytes stay taken until it is delivered.
    pub fn into_body(mut self) -> http::Body {
        self.shrink();
        Box::pin(Collected(self))
    }

    fn shrink(&mut self) {
        let before = self.bytes.capacity();
        self.bytes.shrink_to_fit();
        self.caller.give_back(before - self.bytes.capacity());
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.caller.give_back(self.bytes.capacity());
    }
}

/// Body of a response that was collected before.
struct Collected(Buffer);

impl Body for Collected {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        // The delivery takes the bytes again at once.
        let frame = (!self.0.is_empty()).then(|| Ok(Frame::data(self.0.take())));
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.len() as u64)
    }
}

/// Body of a response to a caller, which notices whether the caller reads it.
pub struct Delivery {
    /// `None` once the response has ended.
    body: Option<http::Body>,
    caller: Caller,
    /// Part of the body that was not passed on yet.
    rest: Bytes,
    /// Whether it is taken for the caller. A short one may not be.
    is_taken: bool,
}

impl Delivery {
    /// Returns the body of the response to a caller.
    pub fn new(body: http::Body, caller: Caller) -> Delivery {
        Delivery { body: Some(body), caller, rest: Bytes::new(), is_taken: true }
    }
}

impl Drop for Delivery {
    fn drop(&mut self) {
        // What the body holds is given back before the connection counts as idle.
        self.body = None;
        self.caller.end_response();
    }
}

impl Body for Delivery {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        if self.rest.is_empty() {
            let Some(body) = &mut self.body else { return Poll::Ready(None) };
            match body.as_mut().poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => {
                        self.is_taken = self.caller.take(data.len()).is_ok();
                        if !self.is_taken && data.len() > MAX_SHORT_BYTES {
                            return Poll::Ready(Some(Err(Aborted)));
                        }
                        self.rest = data;
                    }
                    Err(frame) => return Poll::Ready(Some(Ok(frame))),
                },
                Poll::Pending => {
                    self.caller.enter(Stage::Answer);
                    return Poll::Pending;
                }
                end => return end,
            }
        }
        let len = self.rest.len().min(MAX_FRAME_BYTES);
        self.caller.record_part(if self.is_taken { len } else { 0 });
        let part = self.rest.split_to(len);
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.body.as_ref().is_none_or(|body| body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        let rest = self.rest.len() as u64;
        let hint = self.body.as_ref().map(Body::size_hint).unwrap_or_default();
        let mut whole = SizeHint::new();
        whole.set_lower(hint.lower() + rest);
        if let Some(upper) = hint.upper() {
            whole.set_upper(upper + rest);
        }
        whole
    }
}
