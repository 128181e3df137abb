//! The cases. Each returns whether the rule held.

mod late_rejection;
mod moved_route;
mod moved_stream;
mod rejoined;
mod revoked_key;
mod versions;

use std::{
    env, fs,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process,
    sync::Arc,
    thread,
    time::Duration,
};

use crate::{
    gateway::{self, Gateway, Ports},
    protocol,
    record::Record,
    replica::{Pace, Replica},
    store::Store,
};

pub fn run(case: &str, record: &Path, trouble: bool) -> bool {
    let record = Arc::new(Record::create(record));
    record.line(&format!(
        "case {case}, {}",
        if trouble { "with the disruption" } else { "TROUBLE=0" }
    ));
    let held = match case {
        "late_rejection" => late_rejection::run(&record, trouble),
        "moved_route" => moved_route::run(&record, trouble),
        "moved_stream" => moved_stream::run(&record, trouble),
        "versions" => versions::run(&record, trouble),
        "rejoined" => rejoined::run(&record, trouble),
        "revoked_key" => revoked_key::run(&record, trouble),
        _ => panic!("no case has this name"),
    };
    record.line(if held { "the rule held" } else { "the rule was broken" });
    held
}

/// A temporary folder that is removed at the end.
struct Folder(PathBuf);

impl Folder {
    fn create() -> Folder {
        let folder = env::temp_dir().join(format!("review-{}", process::id()));
        fs::create_dir_all(&folder).expect("temporary folder");
        Folder(folder)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    listener.local_addr().expect("address")
}

/// A small deployment: a store, replicas and four gateways. The gateways end before the folder is
/// removed.
struct Site {
    gateways: Vec<Gateway>,
    store: Arc<Store>,
    replicas: Vec<Arc<Replica>>,
    _folder: Folder,
}

impl Site {
    /// Starts a site with a configuration, and replicas of one service at these paces, all with the
    /// same version.
    fn start(record: &Arc<Record>, config: &str, version: &str, paces: &[Pace]) -> Site {
        let folder = Folder::create();
        let address = free_address();
        let store = Store::start(address, record.clone());
        store.write(protocol::CONFIG_KEY, Some(config));
        let mut replicas = Vec::new();
        for (n, pace) in paces.iter().enumerate() {
            let id = format!("i-{}", n + 1);
            let replica = Replica::new(&id, "llm", free_address(), *pace, &store, record);
            replica.start(version, Duration::ZERO);
            replicas.push(replica);
        }
        let ports = Ports::find();
        let mut gateways: Vec<Gateway> =
            (1..=gateway::HOSTS).map(|n| Gateway::new(n, ports, address, &folder.0)).collect();
        for gateway in &mut gateways {
            let process = gateway.start(true);
            record.line(&format!("gateway    at {} is process {process}", gateway.front()));
        }
        gateways.iter().for_each(Gateway::wait_until_ready);
        record.line("gateways   all are ready");
        // They tell each other what they know within a second.
        thread::sleep(Duration::from_secs(1));
        Site { gateways, store, replicas, _folder: folder }
    }

    fn fronts(&self) -> Vec<SocketAddr> {
        self.gateways.iter().map(Gateway::front).collect()
    }
}
