//! Order in which the actions of a state machine are carried out.

use std::{cell::RefCell, rc::Rc};

use daemon::driver::{Driver, Execute, Machine};
use wire::time::Instant;

/// Returns an event's number as two actions.
struct Echo;

impl Machine for Echo {
    type Event = u32;
    type Action = u32;

    fn handle(&mut self, _now: Instant, event: u32, actions: &mut Vec<u32>) {
        actions.extend([event, event + 1]);
    }

    fn next_timer(&self) -> Option<Instant> {
        None
    }

    fn tick() -> u32 {
        0
    }
}

struct Executor {
    driver: Rc<Driver<Echo>>,
    executed: RefCell<Vec<u32>>,
    this: RefCell<std::rc::Weak<Executor>>,
}

impl Execute<u32> for Executor {
    fn execute(&self, action: u32) {
        self.executed.borrow_mut().push(action);
        if action == 10 {
            let this = self.this.borrow().upgrade().expect("running");
            self.driver.feed(&this, 20);
        }
    }
}

/// Guards against actions of an event that are carried out before the remaining ones of the event
/// that caused it: a pause that an agent detects while settings are put in force.
#[test]
fn events_of_an_action_wait_for_the_remaining_actions() {
    let executor = Rc::new(Executor {
        driver: Driver::new(Echo),
        executed: RefCell::default(),
        this: RefCell::default(),
    });
    *executor.this.borrow_mut() = Rc::downgrade(&executor);
    executor.driver.feed(&executor, 10);
    assert_eq!(*executor.executed.borrow(), [10, 11, 20, 21]);
}
