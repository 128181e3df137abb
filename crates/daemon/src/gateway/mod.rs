//! The gateway role: the input and output around `gate::Machine`.

mod answer;
pub mod delta;
mod events;
mod exchange;
mod metrics;
mod offer;
mod peers;
mod process;
mod relay;
mod reporter;
mod requests;
mod store;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};

use compio::runtime;
use futures_channel::{mpsc, oneshot};
use futures_util::{FutureExt, future::Shared};
use gate::{
    Action, Event, Machine, action, backends, event::RequestNumber, refusal::Refusal,
    uplink::Uplink,
};
use wire::time::Instant;

use crate::{
    caller,
    connection::Pool,
    driver::{Driver, Execute},
    signal,
};

pub use process::serve;

/// Time to connect to a backend server or peer. The round trip takes a few milliseconds at most,
/// and a lost SYN packet is sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The machine's decision for a request.
#[derive(Clone, Debug)]
enum Instruction {
    Dispatch(action::Dispatch),
    Refuse(Refusal),
}

/// One gateway process.
struct Gateway {
    this: Weak<Gateway>,
    driver: Rc<Driver<Machine>>,
    requests: RefCell<HashMap<RequestNumber, mpsc::UnboundedSender<Instruction>>>,
    pools: RefCell<HashMap<backends::Key, Pool>>,
    last_number: Cell<RequestNumber>,
    registry: Rc<caller::Registry>,
    terminate: signal::Listener,
    stopping: Cell<bool>,
    /// Dropped when the time of a planned stop is nearly over.
    ending: RefCell<Option<oneshot::Sender<()>>>,
    /// Completes then.
    nearly_over: Shared<oneshot::Receiver<()>>,
    metrics: metrics::Metrics,
    /// Large values of the published state, which replies of peers refer to.
    values: delta::Values,
    /// The host's link, as far as large replies to peers take it.
    uplink: RefCell<Uplink>,
    /// Datagrams to send to peers.
    outbox: mpsc::UnboundedSender<(SocketAddr, gate::message::Datagram)>,
    /// Requests for reads of the store besides the regular ones.
    store_reads: mpsc::UnboundedSender<()>,
}

impl Gateway {
    fn new(
        machine: Machine,
        registry: Rc<caller::Registry>,
        link_mbps: f64,
        outbox: mpsc::UnboundedSender<(SocketAddr, gate::message::Datagram)>,
        store_reads: mpsc::UnboundedSender<()>,
        terminate: signal::Listener,
    ) -> Rc<Gateway> {
        let metrics = metrics::Metrics::new(machine.hedge_counts().is_some());
        let (ending, nearly_over) = oneshot::channel();
        Rc::new_cyclic(|this| Gateway {
            this: this.clone(),
            driver: Driver::new(machine),
            requests: RefCell::default(),
            pools: RefCell::default(),
            last_number: Cell::default(),
            registry,
            terminate,
            stopping: Cell::default(),
            ending: RefCell::new(Some(ending)),
            nearly_over: nearly_over.shared(),
            metrics,
            values: delta::Values::default(),
            uplink: RefCell::new(Uplink::new(link_mbps)),
            outbox,
            store_reads,
        })
    }

    /// Passes an event to the machine and executes the resulting actions.
    fn feed(self: &Rc<Self>, event: Event) {
        self.driver.feed(self, event);
    }

    /// Begins a planned stop if one was requested. Called before each request, so that a process that
    /// was busy when the signal came admits no request in between.
    fn begin_requested_stop(self: &Rc<Self>) {
        if let Some(requested_at) = self.terminate.received_at() {
            self.begin_stop(requested_at);
        }
    }

    fn begin_stop(self: &Rc<Self>, requested_at: Instant) {
        if !self.stopping.replace(true) {
            self.feed(Event::Stop { requested_at });
        }
    }

    /// Ends the requests for which no response has begun.
    fn interrupt(&self) {
        self.ending.borrow_mut().take();
    }

    /// Calls `read` with the machine.
    fn read<R>(&self, read: impl FnOnce(&Machine) -> R) -> R {
        self.driver.read(read)
    }

    /// Registers a request and returns its number and the receiver of its instructions.
    fn open_request(&self) -> (RequestNumber, mpsc::UnboundedReceiver<Instruction>) {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let (sender, receiver) = mpsc::unbounded();
        self.requests.borrow_mut().insert(number, sender);
        (number, receiver)
    }

    /// Removes a request, whether or not it has ended.
    fn close_request(self: &Rc<Self>, number: RequestNumber) {
        self.requests.borrow_mut().remove(&number);
        self.feed(Event::Closed { number });
    }

    /// Returns the connection pool of a dispatch's backend server.
    fn pool(&self, dispatch: &action::Dispatch) -> Pool {
        let mut pools = self.pools.borrow_mut();
        if !pools.contains_key(&dispatch.backend) {
            pools.retain(|key, _| self.read(|machine| machine.backends().get(*key).is_some()));
        }
        let pool = pools.entry(dispatch.backend);
        pool.or_insert_with(|| Pool::new(dispatch.address, CONNECT_TIMEOUT)).clone()
    }

    fn instruct(&self, number: RequestNumber, instruction: Instruction) {
        if let Some(instructions) = self.requests.borrow().get(&number) {
            // Fails only for a request that is being closed, which needs no instruction.
            let _ = instructions.unbounded_send(instruction);
        }
    }

    fn probe(&self, backend: backends::Key, address: SocketAddr) {
        let Some(gateway) = self.this.upgrade() else { return };
        runtime::spawn(async move {
            let reachable = Pool::new(address, CONNECT_TIMEOUT).connect().await.is_ok();
            tracing::info!(event = "replica_probed", %address, reachable);
            gateway.feed(Event::Probed { backend, reachable });
        })
        .detach();
    }
}

impl Execute<Action> for Gateway {
    fn execute(&self, action: Action) {
        match action {
            Action::Dispatch(dispatch) => {
                self.instruct(dispatch.number, Instruction::Dispatch(dispatch));
            }
            Action::Refuse { number, refusal } => {
                self.instruct(number, Instruction::Refuse(refusal));
            }
            Action::Send { to, datagram } => {
                // The receiving task runs until the process ends.
                let _ = self.outbox.unbounded_send((to, datagram));
            }
            Action::Fetch { peer, query } => {
                let Some(gateway) = self.this.upgrade() else { return };
                runtime::spawn(peers::fetch(gateway, peer, query)).detach();
            }
            Action::Install(update) => {
                // The machine is still handling an event, and the installation feeds it further
                // ones.
                let Some(gateway) = self.this.upgrade() else { return };
                runtime::spawn(async move { store::install(&gateway, update) }).detach();
            }
            Action::ReadStore => {
                // The receiving task runs until the process ends.
                let _ = self.store_reads.unbounded_send(());
            }
            Action::Probe { backend, address } => self.probe(backend, address),
        }
    }
}
