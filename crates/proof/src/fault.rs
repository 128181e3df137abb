//! Faults that a schedule or a cell of the fault matrix injects, and their repair.

use std::time::Duration;

use bytes::Bytes;
use conf::tree;
use wire::host;

use crate::{
    engine, scenario,
    simulation::{Simulation, agent_host},
};

/// Time within which every process receives new settings and a new host list. Together with the
/// lifetime of a grant and a message delay, it stays below the 3 s that the guarantee allows.
pub const SETTINGS_BOUND: Duration = Duration::from_millis(2_500);

/// Number of times that the poison request is sent.
const POISON_COPIES: u32 = 6;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    KillAgent,
    KillEntry,
    CutPeers,
    CutEngine,
    CrashEngine,
    FreezeAgent,
    FreezeEntry,
    SlowEngine,
    Partition,
    /// The agent's host is replaced: the agent is killed and its engine crashes.
    ReplaceHost,
    /// A drain order that reaches the processes at different times.
    Drain,
    /// The host list marks the agent's host as leaving, but only the agent receives it; entries
    /// use an outdated list.
    StaleHosts,
    StopAgent,
    StopEntry,
    /// A request that crashes every engine that runs it. Its caller sends it again after each
    /// response, through a random entry.
    Poison,
}

/// All faults.
pub const ALL: [Fault; 15] = [
    Fault::KillAgent,
    Fault::KillEntry,
    Fault::CutPeers,
    Fault::CutEngine,
    Fault::CrashEngine,
    Fault::FreezeAgent,
    Fault::FreezeEntry,
    Fault::SlowEngine,
    Fault::Partition,
    Fault::ReplaceHost,
    Fault::Drain,
    Fault::StaleHosts,
    Fault::StopAgent,
    Fault::StopEntry,
    Fault::Poison,
];

impl Fault {
    /// Injects the fault at an entry or an agent.
    pub fn inject(self, simulation: &mut Simulation, entry: usize, agent: usize) {
        match self {
            Fault::KillAgent => simulation.kill_agent(agent),
            Fault::KillEntry => simulation.kill_entry(entry),
            Fault::CutPeers => simulation.close_connections(entry, agent),
            Fault::CutEngine => simulation.disconnect_engine(agent),
            Fault::CrashEngine => simulation.crash_engine(agent),
            Fault::FreezeAgent => simulation.freeze_agent(agent),
            Fault::FreezeEntry => simulation.freeze_entry(entry),
            Fault::SlowEngine => simulation.engines[agent].piece_interval *= 20,
            Fault::Partition => simulation.partition(entry, agent),
            Fault::ReplaceHost => {
                simulation.kill_agent(agent);
                simulation.crash_engine(agent);
            }
            Fault::Drain => drain(simulation, agent),
            Fault::StaleHosts => list_as_leaving(simulation, agent),
            Fault::StopAgent => simulation.stop_agent(agent),
            Fault::StopEntry => simulation.stop_entry(entry),
            Fault::Poison => {
                let at = simulation.now;
                simulation.schedule_poison(at, POISON_COPIES);
            }
        }
    }

    /// Repairs the fault.
    pub fn repair(self, simulation: &mut Simulation, entry: usize, agent: usize) {
        match self {
            Fault::KillAgent | Fault::StopAgent => restart_agent(simulation, agent),
            Fault::KillEntry | Fault::StopEntry => restart_entry(simulation, entry),
            Fault::CutPeers | Fault::CutEngine | Fault::Poison => {}
            Fault::CrashEngine => {
                simulation.restart_engine(agent);
                simulation.probe();
            }
            Fault::FreezeAgent | Fault::FreezeEntry => simulation.unfreeze_all(),
            Fault::SlowEngine => simulation.engines[agent].piece_interval /= 20,
            Fault::Partition => simulation.heal_partitions(),
            Fault::ReplaceHost => {
                simulation.restart_engine(agent);
                restart_agent(simulation, agent);
            }
            Fault::Drain | Fault::StaleHosts => end_drain(simulation, agent),
        }
    }
}

/// Sends the poison request through an entry and returns its caller. The body is always the same.
pub fn send_poison(simulation: &mut Simulation, entry: usize) -> u64 {
    let caller = simulation.rng.u64(1 << 32..);
    let body = Bytes::from_static(engine::POISON);
    let path = "/v1/chat/completions";
    let request = scenario::request(caller, "desk", "museo", path, "appraiser", &body, None);
    simulation.send_request(entry, request, body);
    caller
}

fn restart_agent(simulation: &mut Simulation, agent: usize) {
    if simulation.agents[agent].machine.is_none() {
        simulation.start_agent(agent);
    }
}

fn restart_entry(simulation: &mut Simulation, entry: usize) {
    if simulation.entries[entry].machine.is_none() {
        simulation.start_entry(entry);
    }
}

fn drain(simulation: &mut Simulation, agent: usize) {
    let mut tree = (*simulation.tree).clone();
    tree.drains.insert(agent_host(agent), tree::Drain { reason: Bytes::from_static(b"test") });
    simulation.tree = tree.into();
    simulation.record.drain_starts.push((simulation.now, agent));
    simulation.publish(SETTINGS_BOUND);
}

fn list_as_leaving(simulation: &mut Simulation, agent: usize) {
    simulation.hosts[agent].state = host::State::Leaving;
    simulation.record.drain_starts.push((simulation.now, agent));
    simulation.publish_to_agent(agent);
}

fn end_drain(simulation: &mut Simulation, agent: usize) {
    let mut tree = (*simulation.tree).clone();
    tree.drains.remove(&agent_host(agent));
    simulation.tree = tree.into();
    simulation.hosts[agent].state = host::State::Live;
    simulation.record.drain_ends.push((simulation.now, agent));
    simulation.publish(SETTINGS_BOUND);
}
