//! The store comes back from a copy, and the operator writes the two versions again that it lost.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::world::{self, Machines, Replica, World};

const MACHINES: usize = 2;
/// `rollbackSlackMs` and `revokeMs`.
const ROLLBACK_SLACK_MS: u64 = 250;
const REVOKE_MS: u64 = 5000;
/// Time between the operator's two versions, also when they are written again.
const VERSION_GAP: Duration = Duration::from_millis(1600);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(300);

fn config(version: u32, service: &str, keys: &str, timeout_ms: u32) -> String {
    format!(
        r#"{{"version":{version},
 "routes":[
  {{"name":"r1","host":"h.example","pathPrefix":"/bid/","kind":"unsafe","timeoutMs":{timeout_ms},
   "goalMs":300,"priority":2,"service":"{service}","maxAttempts":2}}],
 "services":[{{"name":"old","healthPath":"/health","maxConns":100}},
  {{"name":"new","healthPath":"/health","maxConns":100}}],
 "tenants":[{{"name":"t1","apiKeys":[{keys}],"ratePerS":0,"burst":0}}]}}"#
    )
}

pub fn run(world: &World) -> u8 {
    let first = config(4, "old", r#""k1","k2""#, 4000);
    let second = config(5, "old", r#""k1","k2""#, 3900);
    // The route moves to another service, and a key is taken away.
    let third = config(7, "new", r#""k1""#, 3900);
    world.store.write("op/config", Some(&first));
    for service in ["old", "new"] {
        for n in 0..2 {
            let id = format!("i-{service}-{n}");
            let replica = Replica::start(
                &world.record,
                &world.runs,
                &id,
                service,
                "1",
                |it, request, stream| {
                    it.begin(request);
                    world::send_response(stream, 200, &it.headers(request), b"done")?;
                    Ok(true)
                },
            );
            replica.register(&world.store, "ready");
        }
    }
    let machines = Machines::new(MACHINES as u8, &world.folder, &world.store);
    let _gateways: Vec<_> = (0..MACHINES).map(|n| machines.start(n, true)).collect();
    if !(0..MACHINES).all(|n| machines.wait_until_ready(n)) {
        return world::NOT_RUN;
    }
    let is_over = AtomicBool::new(false);
    // Identifier, key, machine and time of each request.
    let (sent, acknowledged_ms) = thread::scope(|scope| {
        let clients: Vec<_> = (0..MACHINES)
            .flat_map(|machine| [(machine, "k1"), (machine, "k2")])
            .map(|(machine, key)| {
                let (is_over, address) = (&is_over, machines.front(machine));
                scope.spawn(move || {
                    let mut sent = Vec::new();
                    let headers =
                        format!("Authorization: Bearer {key}\r\nDeadline-Remaining: 4000\r\n");
                    while !is_over.load(Ordering::SeqCst) {
                        let id = format!("{machine}{key}{:08x}", sent.len());
                        sent.push((id.clone(), key, machine, world.record.ms()));
                        world::ask(&world.record, address, "POST", "/bid/1", &id, &headers, b"7");
                        thread::sleep(Duration::from_millis(50));
                    }
                    sent
                })
            })
            .collect();
        thread::sleep(Duration::from_secs(5));
        let copy = world.store.revision();
        world.store.write("op/config", Some(&second));
        thread::sleep(VERSION_GAP);
        world.store.write("op/config", Some(&third));
        let acknowledged_ms = world.record.ms();
        thread::sleep(Duration::from_millis(4000));
        if world.has_trouble {
            let away_at = Instant::now();
            world.store.set_down(true);
            world.store.restore(copy);
            thread::sleep(AWAY.saturating_sub(away_at.elapsed()));
            world.store.set_down(false);
            thread::sleep(Duration::from_millis(1000));
            world.store.write("op/config", Some(&second));
            thread::sleep(VERSION_GAP);
            world.store.write("op/config", Some(&third));
        }
        thread::sleep(Duration::from_secs(3));
        is_over.store(true, Ordering::SeqCst);
        let sent: Vec<_> = clients.into_iter().flat_map(|c| c.join().unwrap()).collect();
        (sent, acknowledged_ms)
    });
    let runs = world.runs.all();
    let find = |id: &str| runs.iter().find(|run| run.id == id);
    let mut broken = 0;
    let mut in_force = 0;
    for machine in 0..MACHINES {
        // A replica has seen the effect of the last version.
        let seen = sent.iter().filter(|(_, _, on, _)| *on == machine);
        let seen = seen.filter_map(|(id, ..)| find(id)).filter(|run| run.replica.contains("new"));
        let Some(seen_ms) = seen.map(|run| run.at_ms).min() else { continue };
        in_force += 1;
        for (id, key, on, sent_ms) in &sent {
            let Some(run) = find(id).filter(|_| *on == machine) else { continue };
            let is_old = run.replica.contains("old");
            if is_old && *sent_ms > seen_ms + ROLLBACK_SLACK_MS {
                broken += 1;
                world.record.line(format!(
                    "CONFIG: {id}, sent at {sent_ms}, runs at {}; front-{machine} had the last \
                     version in force at {seen_ms}",
                    run.replica
                ));
            }
            if *key == "k2" && *sent_ms > acknowledged_ms + REVOKE_MS {
                broken += 1;
                world.record.line(format!(
                    "CONFIG: {id}, sent at {sent_ms} with k2, runs; its removal was acknowledged \
                     at {acknowledged_ms}"
                ));
            }
        }
    }
    world.record.line(format!("{} requests, {broken} breaches", sent.len()));
    match (in_force, broken) {
        (MACHINES, 0) => world::KEPT,
        (MACHINES, _) => world::BROKEN,
        _ => world::NOT_RUN,
    }
}
