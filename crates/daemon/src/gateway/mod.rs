//! The gateway role: the input and output around `gate::Machine`.

mod calls;
mod events;
mod exchange;
mod metrics;
mod peers;
mod process;
mod store;
mod streamed;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};

use compio::runtime;
use futures_channel::mpsc;
use gate::{Action, Event, Machine, action, backends, event::RequestNumber, refusal::Refusal};

use crate::{
    connection::Pool,
    driver::{Driver, Execute},
};

pub use process::serve;

/// Time to connect to a replica. Replicas are at most some milliseconds away, and a lost opening
/// packet is repeated only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// What the machine decided on a call.
#[derive(Clone, Debug)]
enum Instruction {
    Dispatch(action::Dispatch),
    Refuse(Refusal),
}

/// One gateway process.
struct Gateway {
    this: Weak<Gateway>,
    driver: Rc<Driver<Machine>>,
    calls: RefCell<HashMap<RequestNumber, mpsc::UnboundedSender<Instruction>>>,
    pools: RefCell<HashMap<backends::Key, Pool>>,
    next_ticket: Cell<RequestNumber>,
    stopping: Cell<bool>,
    metrics: metrics::Metrics,
    /// Messages for peers.
    outbox: mpsc::UnboundedSender<(SocketAddr, gate::message::Datagram)>,
}

impl Gateway {
    fn new(
        machine: Machine,
        outbox: mpsc::UnboundedSender<(SocketAddr, gate::message::Datagram)>,
    ) -> Rc<Gateway> {
        Rc::new_cyclic(|this| Gateway {
            this: this.clone(),
            driver: Driver::new(machine),
            calls: RefCell::default(),
            pools: RefCell::default(),
            next_ticket: Cell::default(),
            stopping: Cell::default(),
            metrics: metrics::Metrics::new(),
            outbox,
        })
    }

    /// Feeds the machine and carries out what follows.
    fn feed(self: &Rc<Self>, event: Event) {
        self.driver.feed(self, event);
    }

    /// Calls `read` with the machine.
    fn read<R>(&self, read: impl FnOnce(&Machine) -> R) -> R {
        self.driver.read(read)
    }

    /// Opens a call and returns where its instructions arrive.
    fn open(&self) -> (RequestNumber, mpsc::UnboundedReceiver<Instruction>) {
        let ticket = self.next_ticket.get() + 1;
        self.next_ticket.set(ticket);
        let (sender, receiver) = mpsc::unbounded();
        self.calls.borrow_mut().insert(ticket, sender);
        (ticket, receiver)
    }

    /// Ends a call, wherever it is.
    fn close(self: &Rc<Self>, number: RequestNumber) {
        self.calls.borrow_mut().remove(&number);
        self.feed(Event::Closed { number });
    }

    /// Returns the connections to a replica.
    fn pool(&self, dispatch: &action::Dispatch) -> Pool {
        let mut pools = self.pools.borrow_mut();
        if !pools.contains_key(&dispatch.backend) {
            pools.retain(|key, _| self.read(|machine| machine.backends().get(*key).is_some()));
        }
        let pool = pools.entry(dispatch.backend);
        pool.or_insert_with(|| Pool::new(dispatch.address, CONNECT_TIMEOUT)).clone()
    }

    fn instruct(&self, ticket: RequestNumber, instruction: Instruction) {
        if let Some(call) = self.calls.borrow().get(&ticket) {
            // A call that is being closed does not listen any more.
            let _ = call.unbounded_send(instruction);
        }
    }

    fn probe(&self, backend: backends::Key, address: SocketAddr) {
        let Some(gateway) = self.this.upgrade() else { return };
        runtime::spawn(async move {
            let reachable = Pool::new(address, CONNECT_TIMEOUT).connect().await.is_some();
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
                // The sending task lives as long as the process.
                let _ = self.outbox.unbounded_send((to, datagram));
            }
            Action::Fetch { peer, query } => {
                let Some(gateway) = self.this.upgrade() else { return };
                runtime::spawn(peers::fetch(gateway, peer, query)).detach();
            }
            Action::Install(learned) => {
                // The machine is in the middle of an event.
                let Some(gateway) = self.this.upgrade() else { return };
                runtime::spawn(async move { store::install(&gateway, learned) }).detach();
            }
            Action::Probe { backend, address } => self.probe(backend, address),
        }
    }
}
