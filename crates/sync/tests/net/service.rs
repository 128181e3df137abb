//! Simulated configuration service that can be down for some groups or serve an old state.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use sync::Event;
use wire::sync::Branch;

type State = (u64, BTreeMap<String, Branch>);

#[derive(Default)]
pub struct Service {
    state: State,
    saved: State,
    is_stale: bool,
    /// Groups of processes that can't reach the service.
    pub down: BTreeSet<u8>,
    /// Names and revisions that must not come into force.
    pub bad: BTreeSet<(Bytes, u64)>,
    /// Blocking reads by number, with the process and its run.
    pub waiting: BTreeMap<u64, (usize, u64)>,
}

impl Service {
    pub fn is_up(&self, group: u8) -> bool {
        !self.down.contains(&group)
    }

    pub fn is_stale(&self) -> bool {
        self.is_stale
    }

    /// Saves the current state for `serve_saved_state`.
    pub fn save_state(&mut self) {
        self.saved = self.state.clone();
    }

    /// Serves the saved state until `serve_latest_state` is called.
    pub fn serve_saved_state(&mut self) {
        self.is_stale = true;
    }

    pub fn serve_latest_state(&mut self) {
        self.is_stale = false;
    }

    fn served_state(&self) -> &State {
        if self.is_stale { &self.saved } else { &self.state }
    }

    pub fn index(&self) -> u64 {
        self.served_state().0
    }

    pub fn write(&mut self, name: &str, text: Option<&str>) -> u64 {
        self.state.0 += 1;
        let revision = self.state.0;
        match text {
            None => _ = self.state.1.remove(name),
            Some(text) => {
                if conf::tree::parse(name, text).is_err() {
                    self.bad.insert((Bytes::from(name.to_owned()), revision));
                }
                let text = Bytes::copy_from_slice(text.as_bytes());
                let branch = Branch { name: Bytes::from(name.to_owned()), revision, text };
                self.state.1.insert(name.to_owned(), branch);
            }
        }
        revision
    }

    /// Returns the branches of the latest state.
    pub fn latest(&self) -> impl Iterator<Item = &Branch> {
        self.state.1.values()
    }

    pub fn read_reply(&self) -> Event {
        let (index, branches) = self.served_state();
        Event::Read { branches: branches.values().cloned().collect(), index: *index }
    }
}
