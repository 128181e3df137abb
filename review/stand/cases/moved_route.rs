//! A route is moved to another service, whose replicas have another version, and the replicas of the
//! former one leave. Do clients that take their streams up get text of both services?
//!
//! Not one of the numbered cases, since the rule speaks of the versions of one service.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use super::{free_address, versions::CONFIG, Site};
use crate::{
    client::{self, Order, Stream},
    protocol,
    record::Record,
    replica::{Pace, Replica},
};

/// A stream lasts some four seconds.
const PACE: Pace = Pace { events: 160, gap: Duration::from_millis(25) };
const REPLICAS: usize = 4;
const STREAMS: usize = 36;
/// Time for which a replica serves after it has reported that it drains (`drainMs` and a little
/// longer).
const DRAIN: Duration = Duration::from_millis(2100);

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let site = Site::start(record, CONFIG, "4.1", &[PACE; REPLICAS]);
    for n in 1..=REPLICAS {
        let id = format!("j-{n}");
        let replica = Replica::new(&id, "llm-next", free_address(), PACE, &site.store, record);
        replica.start("9.0", Duration::ZERO);
    }
    let fronts = site.fronts();
    let streams: Arc<Mutex<Vec<Stream>>> = Arc::default();
    let open = |n: usize| {
        thread::sleep(Duration::from_millis(20));
        let (record, streams) = (record.clone(), streams.clone());
        let mut gateways = fronts.clone();
        gateways.rotate_left(n % fronts.len());
        thread::spawn(move || {
            let (name, path) = (format!("c{n:02}"), format!("/essay/{n}"));
            let order = Order {
                name: &name,
                path: &path,
                key: "key-1",
                deadline: Duration::from_secs(15),
                tries: 4,
                gateways: &gateways,
                pause: Duration::from_millis(100),
            };
            let stream = client::stream(&order, &record);
            streams.lock().expect("lock").push(stream);
        })
    };
    let clients: Vec<_> = (0..STREAMS).map(open).collect();
    if trouble {
        let next =
            CONFIG.replace("\"version\":7", "\"version\":9").replace("\"llm\"", "\"llm-next\"");
        site.store.write(protocol::CONFIG_KEY, Some(&next));
        record.line("operator   version 9 is acknowledged: the route moves to llm-next");
        let leaving = site.replicas.iter().cloned();
        let leaving: Vec<_> =
            leaving.map(|replica| thread::spawn(move || replica.leave(DRAIN))).collect();
        leaving.into_iter().for_each(|one| one.join().expect("replica"));
    }
    clients.into_iter().for_each(|client| client.join().expect("client"));
    let streams = streams.lock().expect("lock");
    let complete = streams.iter().filter(|stream| stream.is_complete).count();
    record.line(&format!("{complete} of {} streams are complete", streams.len()));
    let versions = |stream: &&Stream| {
        let texts = stream.events.iter().map(|(_, text)| text.split(' ').next());
        texts.collect::<BTreeSet<_>>().len()
    };
    let joined = streams.iter().filter(|stream| versions(stream) > 1).count();
    record.line(&format!("{joined} streams hold events of both services"));
    joined == 0
}
