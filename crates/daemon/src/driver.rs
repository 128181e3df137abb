//! Runs a state machine: feeds events, executes actions, keeps its timer.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use compio::runtime;
use wire::time::Instant;

use crate::clock;

/// A state machine as the driver sees it.
pub trait Machine: 'static {
    type Event;
    type Action;

    /// Handles one event and appends what has to be done.
    fn handle(&mut self, now: Instant, event: Self::Event, actions: &mut Vec<Self::Action>);
    /// Returns when the next tick is due.
    fn next_timer(&self) -> Option<Instant>;
    /// Returns the event of a due timer.
    fn tick() -> Self::Event;
}

macro_rules! impl_machine {
    ($($area:ident),*) => {$(
        impl Machine for $area::Machine {
            type Event = $area::Event;
            type Action = $area::Action;

            fn handle(
                &mut self,
                now: Instant,
                event: $area::Event,
                actions: &mut Vec<$area::Action>,
            ) {
                $area::Machine::handle(self, now, event, actions);
            }

            fn next_timer(&self) -> Option<Instant> {
                $area::Machine::next_timer(self)
            }

            fn tick() -> $area::Event {
                $area::Event::Tick
            }
        }
    )*};
}

impl_machine!(agent, entry, gate, sync);

/// Carries out the actions of a machine. Must not feed the same driver synchronously.
pub trait Execute<A> {
    /// Carries out one action.
    fn execute(&self, action: A);
}

/// Owner of one state machine within the process's single thread.
pub struct Driver<M: Machine> {
    machine: RefCell<M>,
    timer: Cell<Option<Instant>>,
}

impl<M: Machine> Driver<M> {
    /// Returns a driver of `machine`.
    pub fn new(machine: M) -> Rc<Driver<M>> {
        Rc::new(Driver { machine: RefCell::new(machine), timer: Cell::new(None) })
    }

    /// Feeds one event and carries out what follows from it.
    ///
    /// # Panics
    ///
    /// Panics if called from within `Execute::execute` of the same driver.
    pub fn feed(
        self: &Rc<Self>,
        executor: &Rc<impl Execute<M::Action> + 'static>,
        event: M::Event,
    ) {
        let mut actions = Vec::new();
        self.machine.borrow_mut().handle(clock::now(), event, &mut actions);
        for action in actions {
            executor.execute(action);
        }
        self.schedule(executor);
    }

    /// Calls `read` with the machine.
    pub fn read<R>(&self, read: impl FnOnce(&M) -> R) -> R {
        read(&self.machine.borrow())
    }

    /// Starts a timer unless one is due at least as early. A timer that has become too early
    /// costs one extra tick, which is cheaper than cancelling one for each event.
    fn schedule(self: &Rc<Self>, executor: &Rc<impl Execute<M::Action> + 'static>) {
        let Some(next) = self.machine.borrow().next_timer() else { return };
        if self.timer.get().is_some_and(|due| due <= next) {
            return;
        }
        self.timer.set(Some(next));
        let driver = self.clone();
        let executor = executor.clone();
        runtime::spawn(async move {
            compio::time::sleep(next.since(clock::now())).await;
            if driver.timer.get() == Some(next) {
                driver.timer.set(None);
                driver.feed(&executor, M::tick());
            }
        })
        .detach();
    }
}
