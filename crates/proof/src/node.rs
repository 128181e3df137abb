//! A process of the system as the simulation runs it.

use wire::{id, time::Instant};

/// A state machine with the state of its process.
#[derive(Debug)]
pub struct Node<M, E> {
    /// `None` while the process is down.
    pub machine: Option<M>,
    pub process: id::Process,
    /// Counts starts; events of an earlier start are dropped.
    pub generation: u32,
    pub frozen: bool,
    /// Events that arrived while the process was frozen.
    pub backlog: Vec<E>,
    pub timer: Option<Instant>,
    pub stopping: bool,
    /// Number of the last publication of settings that arrived.
    published: u64,
}

impl<M, E> Node<M, E> {
    /// Returns a process that is down.
    pub fn new() -> Node<M, E> {
        Node {
            machine: None,
            process: id::Process(0),
            generation: 0,
            frozen: false,
            backlog: Vec::new(),
            timer: None,
            stopping: false,
            published: 0,
        }
    }

    /// Starts the process with a new machine.
    pub fn start(&mut self, process: id::Process, published: u64, machine: M) {
        self.machine = Some(machine);
        self.process = process;
        self.generation += 1;
        self.frozen = false;
        self.backlog.clear();
        self.timer = None;
        self.stopping = false;
        self.published = published;
    }

    /// Returns whether a publication is newer than what arrived before, and notes it.
    pub(crate) fn takes(&mut self, generation: u32, number: u64) -> bool {
        let newer = generation == self.generation && number >= self.published;
        if newer {
            self.published = number;
        }
        newer
    }
}

impl<M, E> Default for Node<M, E> {
    fn default() -> Node<M, E> {
        Node::new()
    }
}
