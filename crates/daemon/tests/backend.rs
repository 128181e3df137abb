//! Client of the backend server, with idle connections that the server closes.

mod bid;

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use agent::Progress;
use bytes::Bytes;
use daemon::backend::Client;
use futures_util::future;
use stand::service;
use wire::id;

const ROUNDS: u64 = 40;
/// Maximum number of probes sent until a request starts to run.
const PROBES: usize = 50;
/// Long enough for a crash while a request runs.
const LATENCY: Duration = Duration::from_millis(20);

async fn dispatch(client: &Client, grant: id::Grant) -> Option<Progress> {
    let last = RefCell::new(None);
    let report = |progress| *last.borrow_mut() = Some(progress);
    client.clone().dispatch(grant, bid::head(), Bytes::from_static(b"bid"), report).await;
    last.into_inner()
}

/// Guards against a request that runs twice, or is reported as not sent although it ran, when the
/// server closes an idle connection shortly before, while or after the request is sent on it.
#[compio::test]
async fn a_closing_idle_connection_never_runs_a_request_twice() {
    let settings = service::Settings { latency: LATENCY, restart: Duration::ZERO };
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let service = service::spawn(address, settings).expect("loopback has free ports");
    let client = Client::new(service.address());
    let mut complete = 0;
    for round in 0..ROUNDS {
        let grant = id::Grant { process: id::Process(9), seq: round };
        let name = grant.to_string();
        let runs = || service.record().iter().filter(|effect| effect.request_id == name).count();
        // In every third round the server closes the connection while it runs the request.
        let crash = async {
            for _ in 0..PROBES {
                if round % 3 == 2 && runs() == 0 {
                    client.clone().probe().await;
                }
            }
            if round % 3 == 2 {
                service.crash();
            }
        };
        let (last, ()) = future::join(dispatch(&client, grant), crash).await;
        let ran = runs();
        match last {
            Some(Progress::End) => assert_eq!(ran, 1, "round {round}"),
            Some(Progress::Unreachable) => assert_eq!(ran, 0, "round {round}"),
            Some(Progress::ConnectionLost) => assert!(ran <= 1, "round {round}"),
            other => panic!("round {round}: {other:?}"),
        }
        complete += u64::from(last == Some(Progress::End));
        if round % 3 == 1 {
            service.crash();
        }
        // The number of probes varies, so that the server closes the connections at different
        // moments of the next round.
        for _ in 0..round % 5 {
            client.clone().probe().await;
        }
    }
    assert!(complete >= ROUNDS / 4, "only {complete} of {ROUNDS} responses were complete");
}
