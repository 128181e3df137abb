//! Runs a state machine: feeds it events, executes its actions and runs its timer.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
};

use compio::runtime;
use wire::time::Instant;

use crate::clock;

/// Interface of a state machine for the driver.
pub trait Machine: 'static {
    type Event;
    type Action;

    /// Handles one event and appends the resulting actions.
    fn handle(&mut self, now: Instant, event: Self::Event, actions: &mut Vec<Self::Action>);
    /// Returns when the next tick is due.
    fn next_timer(&self) -> Option<Instant>;
    /// Returns the event to feed when the timer is due.
    fn tick() -> Self::Event;
}

macro_rules! impl_machine {
    ($($module:ident),*) => {$(
        impl Machine for $module::Machine {
            type Event = $module::Event;
            type Action = $module::Action;

            fn handle(
                &mut self,
                now: Instant,
                event: $module::Event,
                actions: &mut Vec<$module::Action>,
            ) {
                $module::Machine::handle(self, now, event, actions);
            }

            fn next_timer(&self) -> Option<Instant> {
                $module::Machine::next_timer(self)
            }

            fn tick() -> $module::Event {
                $module::Event::Tick
            }
        }
    )*};
}

impl_machine!(agent, entry, gate, sync);

/// Carries out the actions of a state machine. An event that it feeds to the same driver is handled
/// after the remaining actions of the current one.
pub trait Execute<A> {
    /// Carries out one action.
    fn execute(&self, action: A);
}

/// Owner of one state machine on the process's single thread.
pub struct Driver<M: Machine> {
    machine: RefCell<M>,
    timer: Cell<Option<Instant>>,
    /// Events that wait while actions are carried out.
    waiting: RefCell<VecDeque<M::Event>>,
    executing: Cell<bool>,
    closed: Cell<bool>,
}

impl<M: Machine> Driver<M> {
    /// Returns a driver of `machine`.
    pub fn new(machine: M) -> Rc<Driver<M>> {
        Rc::new(Driver {
            machine: RefCell::new(machine),
            timer: Cell::new(None),
            waiting: RefCell::default(),
            executing: Cell::new(false),
            closed: Cell::new(false),
        })
    }

    /// Ignores all further events. The runtime drops the remaining tasks at the end of the process,
    /// and one that reported its end then would start a timer in a runtime that is being dropped.
    pub fn close(&self) {
        self.closed.set(true);
    }

    /// Feeds one event and carries out the resulting actions.
    ///
    /// # Panics
    ///
    /// Panics if called from within the closure of `read` of the same driver.
    pub fn feed(
        self: &Rc<Self>,
        executor: &Rc<impl Execute<M::Action> + 'static>,
        event: M::Event,
    ) {
        if self.closed.get() {
            return;
        }
        self.waiting.borrow_mut().push_back(event);
        if self.executing.replace(true) {
            return;
        }
        loop {
            let event = self.waiting.borrow_mut().pop_front();
            let Some(event) = event else { break };
            let mut actions = Vec::new();
            self.machine.borrow_mut().handle(clock::now(), event, &mut actions);
            for action in actions {
                executor.execute(action);
            }
        }
        self.executing.set(false);
        self.schedule(executor);
    }

    /// Calls `read` with the state machine.
    pub fn read<R>(&self, read: impl FnOnce(&M) -> R) -> R {
        read(&self.machine.borrow())
    }

    /// Starts a timer unless one is due at least as early. If the next tick moves to a later time,
    /// the timer that is running causes one extra tick, which is cheaper than cancelling a timer
    /// for each event.
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
