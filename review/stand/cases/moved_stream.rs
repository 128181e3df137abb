//! A gateway is stopped as planned while streams run. Some of them pause, since their replica has
//! preempted them, and the other replicas are full. Are streams cut?

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

/// A stream lasts some four seconds.
const PACE: Pace = Pace { events: 160, gap: Duration::from_millis(25) };
const STREAMS: usize = 12;
/// Requests of other callers at each of the other replicas.
const OTHERS: usize = 14;
/// Requests that are preempted at the busiest replica, and the time until there is memory for them.
const PREEMPTED: usize = 2;
const PREEMPTION: Duration = Duration::from_millis(1500);

/// Time between two tries of a client.
const PAUSE: Duration = Duration::from_millis(100);

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let site = Site::start(record, CONFIG, "4.1", &[PACE; 4]);
    let front = site.fronts()[0];
    let streams: Arc<Mutex<Vec<Stream>>> = Arc::default();
    let mut callers = Vec::new();
    for n in 0..STREAMS {
        let streams = streams.clone();
        callers.push(open(record, format!("c{n:02}"), front, move |stream| {
            streams.lock().expect("lock").push(stream);
        }));
        thread::sleep(Duration::from_millis(50));
    }
    if trouble {
        site.gateways[0].signal("TERM");
        record.line("gateway    1 gets SIGTERM");
    }
    thread::sleep(Duration::from_millis(300));
    // The streams of the busiest replica pause; other callers fill the rest.
    let busiest = (0..site.replicas.len()).max_by_key(|r| site.replicas[*r].open_count());
    let busiest = busiest.expect("replicas");
    for (r, replica) in site.replicas.iter().enumerate().filter(|(r, _)| *r != busiest) {
        for n in 0..OTHERS {
            let name = format!("other-{}-{n:02}", r + 1);
            callers.push(open(record, name, replica.address(), |_| {}));
        }
    }
    thread::sleep(Duration::from_millis(300));
    if trouble {
        site.replicas[busiest].preempt(PREEMPTED, PREEMPTION);
    }
    for caller in callers {
        caller.join().expect("caller");
    }
    let streams = streams.lock().expect("lock");
    let complete = streams.iter().filter(|stream| stream.is_complete).count();
    record.line(&format!("{complete} of {} streams through gateway 1 are complete", streams.len()));
    assert!(complete > 0, "no stream was served");
    for stream in streams.iter().filter(|stream| !stream.is_complete) {
        let got = stream.events.len();
        record.line(&format!(
            "lost       {} ended after {got} of {} events",
            stream.name, PACE.events
        ));
    }
    complete == streams.len()
}

/// Opens a stream at a gateway, or at a replica as another caller does, without a second try.
fn open(
    record: &Arc<Record>,
    name: String,
    address: std::net::SocketAddr,
    then: impl FnOnce(Stream) + Send + 'static,
) -> thread::JoinHandle<()> {
    let record = record.clone();
    thread::spawn(move || {
        let path = format!("/essay/{name}");
        let order = Order {
            name: &name,
            path: &path,
            key: "key-1",
            deadline: Duration::from_secs(15),
            tries: 1,
            gateways: &[address],
            pause: PAUSE,
        };
        then(client::stream(&order, &record));
    })
}
