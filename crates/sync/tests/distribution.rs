//! Distribution over a simulated network. In every test the network checks at every step that
//! no revision in force goes down, that no bad revision is in force, that an accepted revision
//! is in force in the whole group within 3 s, and that no process is ready with lower revisions
//! than its reachable seeds had when it started.

mod net;

use net::{MS, Net, SECOND};
use sync::Event;
use wire::sync::{Branch, Suspect};

/// Number of random schedules in CI; see `stand::schedules`.
const SCHEDULES: u64 = 1_000;

fn pool(name: &str, spread: u64, padding: usize) -> String {
    format!("; {}\n[pool {name}]\nspread = {spread}\n", "x".repeat(padding))
}

/// Applies one random fault, repair or operation.
fn apply_random_fault(net: &mut Net) {
    let name = format!("b{}", net.rng.u32(..3));
    let count = net.processes.len();
    match net.rng.u32(..16) {
        0..4 => {
            let padding = if net.rng.bool() { 0 } else { 3_000 };
            let text = pool(&name, net.rng.u64(1..=8), padding);
            net.write(&name, &text);
        }
        // Two operators write at once, one of them an invalid text.
        4 => {
            net.write(&name, &pool(&name, 3, 0));
            net.write(&name, "[pool p]\nspread = 99\n");
        }
        5 => net.delete(&name),
        6 | 7 => {
            let process = net.rng.usize(..count);
            net.restart(process);
        }
        8 => {
            let cut = net.rng.usize(1..count);
            net.partition(|process| u8::from(process >= cut));
        }
        9 | 10 => net.partition(|_| 0),
        11 => {
            if net.rng.bool() {
                net.service.save_state();
            }
            net.service.serve_saved_state();
        }
        12 => net.service.serve_latest_state(),
        13 => net.service.down = (0..2).collect(),
        14 => net.service.down = [net.rng.u8(..3)].into(),
        _ => net.host_list_up = !net.host_list_up,
    }
}

fn run_schedule(seed: u64) -> (u64, u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let count = rng.usize(3..8);
    let mut net = Net::new(seed, count, 2, 2);
    net.loss_percent = rng.u32(..10);
    net.run_for(2_500 * MS);
    for _ in 0..10 {
        apply_random_fault(&mut net);
        let longest = if net.rng.u32(..4) == 0 { 5 * SECOND } else { SECOND };
        let pause = net.rng.u64(..longest);
        net.run_for(pause);
    }
    net.service.down.clear();
    net.service.serve_latest_state();
    net.host_list_up = true;
    net.partition(|_| 0);
    net.run_for(7 * SECOND);
    let latest: Vec<_> = net.service.latest().cloned().collect();
    let is_good =
        |branch: &&Branch| !net.service.bad.contains(&(branch.name.clone(), branch.revision));
    for process in &net.processes {
        assert!(process.is_ready, "seed {seed}: not ready");
        assert_eq!(process.held, net.processes[0].held, "seed {seed}");
        assert_eq!(process.tree, net.processes[0].tree, "seed {seed}");
        for branch in latest.iter().filter(is_good) {
            assert_eq!(process.held.get(&branch.name), Some(&branch.revision), "seed {seed}");
        }
        for pool in process.tree.pools.keys() {
            let is_listed = latest.iter().any(|branch| branch.name == *pool);
            assert!(is_listed, "seed {seed}: {pool:?} was deleted");
        }
    }
    (net.checks, net.ready_checks)
}

/// Guards against combinations of faults that revert, lose or delay settings.
#[test]
fn settings_converge_under_random_schedules() {
    let (count, first) = stand::schedules::read(SCHEDULES, 0);
    let size = count / 4;
    let run_seed = |seed| {
        let result = std::panic::catch_unwind(|| run_schedule(seed));
        result.unwrap_or_else(|_| panic!("schedule with seed {seed} failed"))
    };
    let part = |part: u64| (first + part * size..first + (part + 1) * size).map(run_seed);
    let run_part = |number| part(number).fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
    let parts: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4).map(|number| scope.spawn(move || run_part(number))).collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    println!("checks of the 3 s bound and of a start: {parts:?}");
    let is_sufficient = |part: &(u64, u64)| part.0 > 2 * size && 5 * part.1 > 2 * size;
    assert!(parts.iter().all(is_sufficient), "too few checks: {parts:?}");
}

/// Guards against a process that has no host list 3 s after a restart, if it can reach neither a
/// seed nor the host list but only other processes that have the list.
#[test]
fn restart_without_seeds_seed_5003951() {
    run_schedule(5_003_951);
}

/// Guards against gossip that works only in a small fleet, or only if no message is lost.
#[test]
fn sixty_processes_follow_changes_with_losses() {
    let mut net = Net::new(7, 60, 4, 3);
    net.loss_percent = 10;
    net.run_for(4 * SECOND);
    for change in 0..20 {
        net.write("pools", &pool("p", 1 + change % 8, 4_000 * (change as usize % 2)));
        net.run_for(500 * MS);
    }
    net.run_for(4 * SECOND);
    assert!(net.checks >= 20, "{}", net.checks);
}

/// Guards against a process that starts with the old settings of a stale service although its
/// seeds have newer ones.
#[test]
fn a_stale_service_does_not_revert_a_restarted_process() {
    let mut net = Net::new(3, 20, 4, 3);
    net.write("pools", &pool("p", 2, 0));
    net.run_for(3 * SECOND);
    net.service.save_state();
    net.write("pools", &pool("p", 3, 0));
    net.run_for(3 * SECOND);
    net.service.serve_saved_state();
    let held = net.processes[0].held.clone();
    for process in 0..20 {
        net.restart(process);
        net.run_for(3 * SECOND);
        assert!(net.processes[process].is_ready);
        assert_eq!(net.processes[process].held, held);
    }
    assert!(net.ready_checks >= 17);
}

/// Guards against a deleted branch that returns from a process that was partitioned during the
/// deletion, and against a branch that can't be created again.
#[test]
fn a_deletion_survives_a_process_that_missed_it() {
    let mut net = Net::new(5, 20, 4, 3);
    net.write("pools", &pool("p", 2, 0));
    net.run_for(4 * SECOND);
    net.service.down = [1].into();
    net.partition(|process| u8::from(process >= 15));
    net.delete("pools");
    net.run_for(SECOND);
    // The restarts remove the tombstone from the side of the partition that had it.
    (0..15).for_each(|process| net.restart(process));
    net.run_for(4 * SECOND);
    assert!(net.processes[19].tree.pools.contains_key(&b"p"[..]));
    net.partition(|_| 0);
    net.run_for(4 * SECOND);
    assert!(net.processes.iter().all(|process| process.tree.pools.is_empty()));
    net.write("pools", &pool("p", 4, 0));
    net.run_for(3 * SECOND);
    assert!(net.processes.iter().all(|process| process.tree.pools[&b"p"[..]].spread == 4));
}

/// Guards against load on the service and the host list that grows with the fleet.
#[test]
fn service_reads_do_not_grow_with_the_fleet() {
    let rates = [20, 60, 200].map(|count| {
        let mut net = Net::new(11, count, 4, 3);
        net.run_for(5 * SECOND);
        (net.reads, net.host_reads) = (0, 0);
        for change in 0..60 {
            if change % 10 == 0 {
                net.write("pools", &pool("p", 1 + change / 10, 0));
            }
            net.run_for(SECOND);
        }
        println!("{count} processes: {} and {} reads in 60 s", net.reads, net.host_reads);
        (net.reads, net.host_reads)
    });
    // 8 watchers: at most a blocking read in 10 s and one for each of 6 changes, a poll of
    // the host list each second, and 2 backup reads per second.
    for (reads, host_reads) in rates {
        assert!(reads <= 8 * (7 + 6) + 2 * 60 * 5 / 4, "{rates:?}");
        assert!(host_reads <= 8 * 61 + 2 * 60 * 5 / 4, "{rates:?}");
    }
}

/// Guards against settings that are no longer distributed while all watchers are down and the
/// host list still names them.
#[test]
fn changes_spread_without_any_watcher() {
    let mut net = Net::new(13, 30, 1, 3);
    net.run_for(4 * SECOND);
    // Only watchers have blocking reads waiting.
    let watchers: Vec<usize> = net.service.waiting.values().map(|(process, _)| *process).collect();
    assert_eq!(watchers.len(), 2);
    net.service.down = [1].into();
    net.partition(|process| u8::from(watchers.contains(&process)));
    net.service.waiting.clear();
    net.write("pools", &pool("p", 5, 0));
    net.run_for(4 * SECOND);
    let others = net.processes.iter().filter(|process| process.group == 0);
    assert!(others.clone().all(|process| process.tree.pools.contains_key(&b"p"[..])));
}

/// Guards against suspects that don't reach the whole fleet, are reported twice at a process or
/// are sent forever.
#[test]
fn suspects_reach_every_process_once() {
    let mut net = Net::new(17, 60, 4, 3);
    net.run_for(4 * SECOND);
    let suspect = Suspect { fingerprint: 9, crash: 1, cleared: false };
    net.partition(|process| u8::from(process == 59));
    net.handle_event(30, Event::Suspects(vec![suspect, suspect]));
    net.run_for(100 * MS);
    let reached = net.processes.iter().filter(|process| process.suspects == [suspect]).count();
    assert_eq!(reached, 58);
    // The last process receives the suspect late and still sends it when the others no longer do.
    net.run_for(8 * SECOND);
    net.partition(|_| 0);
    net.run_for(150 * SECOND);
    let count = |process: usize| net.processes[process].suspects.len();
    assert!((0..60).all(|process| count(process) == usize::from(process != 30)));
    net.handle_event(2, Event::Suspects(vec![Suspect { cleared: true, ..suspect }]));
    net.run_for(100 * MS);
    assert!(net.processes[30].suspects.iter().any(|suspect| suspect.cleared));
}

/// Guards against a quarantine that ends with the process: a request that crashed two engines would
/// crash another at each replaced agent. What a process got at its start is not handed on, or no
/// suspect would ever expire in a large fleet.
#[test]
fn a_started_process_gets_the_suspects_once() {
    let mut net = Net::new(23, 20, 4, 3);
    net.run_for(4 * SECOND);
    let suspect = Suspect { fingerprint: 9, crash: 1, cleared: false };
    net.handle_event(5, Event::Suspects(vec![suspect]));
    net.run_for(300 * SECOND);
    net.restart(12);
    net.run_for(2 * SECOND);
    assert!(net.processes[12].is_ready);
    assert_eq!(net.processes[12].suspects, [suspect], "five minutes later");
    net.run_for(310 * SECOND);
    net.restart(13);
    net.run_for(2 * SECOND);
    assert_eq!(net.processes[13].suspects, [], "ten minutes later");
}

/// Guards against a bad revision that is reported more than once at a process, or sent to peers.
#[test]
fn a_bad_revision_is_refused_once_and_not_passed_on() {
    let mut net = Net::new(19, 20, 1, 3);
    net.run_for(4 * SECOND);
    net.write("pools", "[pool p]\nspread = 0\n");
    net.run_for(60 * SECOND);
    // Only watchers and backup readers receive it, from the service.
    assert!(net.processes.iter().all(|process| process.refusals <= 1));
    assert!(net.processes.iter().any(|process| process.refusals == 1));
}
