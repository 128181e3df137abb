//! All gateways are killed at once and started again a second later. Do streams go on that clients
//! take up then?

use std::{
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use super::{versions::CONFIG, Site};
use crate::{
    client::{self, Order, Stream},
    record::Record,
    replica::Pace,
};

/// Time for which clients send, and the time between two of them.
const SENDING: Duration = Duration::from_secs(14);
const CLIENT_GAP: Duration = Duration::from_millis(125);
/// A stream lasts some four seconds.
const PACE: Pace = Pace { events: 160, gap: Duration::from_millis(25) };
const REPLICAS: usize = 6;
/// Tries of a client, and the time between two of them.
const TRIES: usize = 5;
const PAUSE: Duration = Duration::from_millis(1000);
/// Time after the first client at which all gateways are killed, and time until they start again.
const KILL_AFTER: Duration = Duration::from_secs(5);
const DOWN: Duration = Duration::from_millis(1000);
/// Time after its start from which a machine is in touch (`contactMs`).
const CONTACT: Duration = Duration::from_millis(3000);
/// Streams that clients take up, from which the rule holds.
const MIN_TAKEN_UP: usize = 12;

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let mut site = Site::start(record, CONFIG, "4.1", &[PACE; REPLICAS]);
    let fronts = site.fronts();
    let streams: Arc<Mutex<Vec<Stream>>> = Arc::default();
    let count = (SENDING.as_millis() / CLIENT_GAP.as_millis()) as usize;
    let (clients_record, clients_streams) = (record.clone(), streams.clone());
    let clients = thread::spawn(move || {
        let open = |n: usize| {
            thread::sleep(CLIENT_GAP);
            let (record, streams) = (clients_record.clone(), clients_streams.clone());
            let mut gateways = fronts.clone();
            gateways.rotate_left(n % fronts.len());
            thread::spawn(move || {
                let (name, path) = (format!("c{n:03}"), format!("/essay/{n}"));
                let order = Order {
                    name: &name,
                    path: &path,
                    key: "key-1",
                    deadline: Duration::from_secs(15),
                    tries: TRIES,
                    gateways: &gateways,
                    pause: PAUSE,
                };
                let stream = client::stream(&order, &record);
                streams.lock().expect("lock").push(stream);
            })
        };
        let clients: Vec<_> = (0..count).map(open).collect();
        clients.into_iter().for_each(|client| client.join().expect("client"));
    });
    thread::sleep(KILL_AFTER);
    if trouble {
        site.gateways.iter_mut().for_each(|gateway| gateway.kill());
        record.line("gateways   all are killed");
        thread::sleep(DOWN);
        for gateway in &mut site.gateways {
            gateway.start(false);
        }
        record.line("gateways   all are started again");
        site.gateways.iter().for_each(|gateway| gateway.wait_until_ready());
    }
    let in_touch = record.elapsed() + CONTACT;
    clients.join().expect("clients");
    let streams = streams.lock().expect("lock");
    has_held(&streams, in_touch, record)
}

fn has_held(streams: &[Stream], in_touch: Duration, record: &Record) -> bool {
    let (mut taken_up, mut gone_on, mut new, mut begun) = (0, 0, 0, 0);
    for stream in streams {
        let counted = || stream.tries.iter().filter(|one| one.sent_at > in_touch);
        let takes = || counted().filter(|one| one.before > 0);
        taken_up += usize::from(takes().count() > 0);
        gone_on += usize::from(takes().any(|one| one.got > 0));
        let is_new = stream.tries.first().is_some_and(|one| one.sent_at > in_touch);
        new += usize::from(is_new);
        begun += usize::from(is_new && !stream.events.is_empty());
    }
    record.line(&format!(
        "at machines in touch, {gone_on} of {taken_up} streams that were taken up went on, and {begun} of {new} new ones began"
    ));
    assert!(begun > 0, "no new stream began");
    let is_broken = taken_up >= MIN_TAKEN_UP && 2 * gone_on * new < begun * taken_up;
    !is_broken
}
