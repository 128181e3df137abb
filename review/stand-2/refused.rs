//! A replica that runs a request which may not be repeated, and then answers 503 of its own.

use std::sync::atomic::{AtomicUsize, Ordering};

use crate::world::{self, Machines, Replica, World};

const CONFIG: &str = r#"{"version":1,
 "routes":[
  {"name":"r1","host":"h.example","pathPrefix":"/bid/","kind":"unsafe","timeoutMs":4000,
   "goalMs":300,"priority":2,"service":"svc","maxAttempts":2}],
 "services":[{"name":"svc","healthPath":"/health","maxConns":100}],
 "tenants":[{"name":"t1","apiKeys":["k1"],"ratePerS":0,"burst":0}]}"#;
const REQUESTS: usize = 80;

pub fn run(world: &World) -> u8 {
    world.store.write("op/config", Some(CONFIG));
    let replicas: Vec<Replica> = (0..4)
        .map(|n| {
            let id = format!("i-{n}");
            let count = AtomicUsize::new(0);
            // One of four replicas fails two in five of its requests after it has run them. Nothing in
            // such an answer says that the request has not run.
            let is_grey = world.has_trouble && n == 1;
            Replica::start(
                &world.record,
                &world.runs,
                &id,
                "svc",
                "1",
                move |it, request, stream| {
                    it.begin(request);
                    let headers = it.headers(request);
                    let fails =
                        is_grey && matches!(count.fetch_add(1, Ordering::Relaxed) % 5, 1 | 3);
                    let status = if fails { 503 } else { 200 };
                    it.log(format!("{} has run, answers {status}", request.id()));
                    world::send_response(stream, status, &headers, b"done")?;
                    Ok(true)
                },
            )
        })
        .collect();
    for replica in &replicas {
        replica.register(&world.store, "ready");
    }
    let machines = Machines::new(1, &world.folder, &world.store);
    let _gateway = machines.start(0, true);
    if !machines.wait_until_ready(0) {
        return world::NOT_RUN;
    }
    let mut broken = 0;
    let mut served = 0;
    for n in 0..REQUESTS {
        let id = format!("{n:016x}");
        let headers = "Authorization: Bearer k1\r\nDeadline-Remaining: 4000\r\n";
        let answer =
            world::ask(&world.record, machines.front(0), "POST", "/bid/1", &id, headers, b"lot 7");
        let is_promise = matches!(answer.status(), 408 | 421 | 429 | 503);
        served += usize::from(answer.status() == 200);
        if is_promise && world.runs.count(&id) > 0 {
            broken += 1;
            world
                .record
                .line(format!("REFUSED: {id} was answered {} and has run", answer.status()));
        }
    }
    world
        .record
        .line(format!("{served} of {REQUESTS} served, {broken} refused though they had run"));
    match (broken, served) {
        (0, 0) => world::NOT_RUN,
        (0, _) => world::KEPT,
        _ => world::BROKEN,
    }
}
