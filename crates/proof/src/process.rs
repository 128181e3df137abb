//! A simulated process of the system.

use wire::{id, time::Instant};

/// A state machine `M` with events `E`, and the state of its process.
#[derive(Debug)]
pub struct Process<M, E> {
    /// `None` while the process is down.
    pub machine: Option<M>,
    pub id: id::Process,
    /// Number of starts so far; events for an earlier generation are dropped.
    pub generation: u32,
    pub frozen: bool,
    /// Events that arrived while the process was frozen.
    pub backlog: Vec<E>,
    pub timer: Option<Instant>,
    pub stopping: bool,
    /// Number of the last publication of settings and host list that arrived.
    last_publication: u64,
}

impl<M, E> Process<M, E> {
    /// Returns a process that is down.
    pub fn new() -> Process<M, E> {
        Process {
            machine: None,
            id: id::Process(0),
            generation: 0,
            frozen: false,
            backlog: Vec::new(),
            timer: None,
            stopping: false,
            last_publication: 0,
        }
    }

    /// Starts the process with a new machine.
    pub fn start(&mut self, id: id::Process, last_publication: u64, machine: M) {
        self.machine = Some(machine);
        self.id = id;
        self.generation += 1;
        self.frozen = false;
        self.backlog.clear();
        self.timer = None;
        self.stopping = false;
        self.last_publication = last_publication;
    }

    /// Records a publication and returns `true`, unless it is outdated or meant for an earlier
    /// generation.
    pub(crate) fn accept_publication(&mut self, generation: u32, number: u64) -> bool {
        let accepted = generation == self.generation && number >= self.last_publication;
        if accepted {
            self.last_publication = number;
        }
        accepted
    }
}

impl<M, E> Default for Process<M, E> {
    fn default() -> Process<M, E> {
        Process::new()
    }
}
