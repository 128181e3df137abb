//! Gateways: the project's own program, started with the command and the settings template of its
//! deploy file.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::client;

/// Path at which the deploy file expects the settings.
const SETTINGS_PATH: &str = "/etc/quincespoke/settings.toml";
/// Hosts of gateways.
pub const HOSTS: u8 = 4;
/// Longest time for a start, on a busy host too.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Ports, the same on all hosts.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    front: u16,
    readiness: u16,
    control: u16,
    peers: u16,
}

impl Ports {
    /// Finds ports that are free on the addresses of all hosts.
    pub fn find() -> Ports {
        let mut kept = Vec::new();
        while kept.len() < 4 {
            let first = TcpListener::bind((ip(1), 0)).expect("free port");
            let port = first.local_addr().expect("address").port();
            let others: Vec<_> =
                (2..=HOSTS).filter_map(|n| TcpListener::bind((ip(n), port)).ok()).collect();
            let is_free = (1..=HOSTS).all(|n| UdpSocket::bind((ip(n), port)).is_ok());
            if others.len() + 1 == usize::from(HOSTS) && is_free {
                kept.push((port, first, others));
            }
        }
        let port = |n: usize| kept[n].0;
        Ports { front: port(0), readiness: port(1), control: port(2), peers: port(3) }
    }
}

/// One host of a gateway.
pub struct Gateway {
    number: u8,
    ports: Ports,
    store: SocketAddr,
    seeds: Vec<u8>,
    zone: String,
    folder: PathBuf,
    starts: u32,
    process: Option<Child>,
}

fn ip(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 21, number)
}

impl Gateway {
    pub fn new(number: u8, ports: Ports, store: SocketAddr, folder: &Path) -> Gateway {
        Gateway {
            number,
            ports,
            store,
            seeds: vec![1, 2, 3],
            zone: format!("zone-{number}"),
            folder: folder.to_owned(),
            starts: 0,
            process: None,
        }
    }

    /// Where clients are served.
    pub fn front(&self) -> SocketAddr {
        (ip(self.number), self.ports.front).into()
    }

    fn settings(&self, is_first_start: bool) -> String {
        let template = fs::read_to_string("deploy/gateway.ini").expect("template");
        let Ports { front, readiness, control, peers } = self.ports;
        let ip = ip(self.number);
        let seeds = self.seeds.iter().map(|n| format!("{}:{control}", self::ip(*n)));
        let values = [
            ("nodeName", format!("front-{}", self.number)),
            ("zone", self.zone.clone()),
            ("ip", ip.to_string()),
            ("listen.front", format!("{ip}:{front}")),
            ("listen.readiness", format!("{ip}:{readiness}")),
            ("listen.control", format!("{ip}:{control}")),
            ("portRange.0", peers.to_string()),
            ("platform.address", self.store.to_string()),
            ("seeds", seeds.collect::<Vec<_>>().join(",")),
            ("bounds.revokeMs", "5000".into()),
            ("bounds.graceS", "8".into()),
            ("bounds.retryBudget", "0.2".into()),
            ("bounds.retrySlack", "54".into()),
            ("bounds.budgetWindowS", "10".into()),
            ("bounds.quotaWindowS", "8".into()),
            ("bounds.quotaOverage", "0.25".into()),
            ("bounds.quotaSlack", "140000".into()),
        ];
        let mut text = template;
        for (open, is_kept) in
            [("{{#bootstrap}}", is_first_start), ("{{^bootstrap}}", !is_first_start)]
        {
            while let Some(from) = text.find(open) {
                let close = "{{/bootstrap}}";
                let to = from + text[from..].find(close).expect("end of the section");
                let inner = text[from + open.len()..to].to_owned();
                let kept = if is_kept { inner.as_str() } else { "" };
                text.replace_range(from..to + close.len(), kept);
            }
        }
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        assert!(!text.contains("{{"), "a name of the template is not known: {text}");
        text
    }

    /// Starts the process and returns its identifier.
    pub fn start(&mut self, is_first_start: bool) -> u32 {
        self.starts += 1;
        let settings = self.folder.join(format!("gateway-{}.ini", self.number));
        fs::write(&settings, self.settings(is_first_start)).expect("settings");
        let deploy = fs::read_to_string("deploy/system.toml").expect("deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).expect("run");
        let run = run.trim_end_matches('"').replace(SETTINGS_PATH, &settings.to_string_lossy());
        let mut words = run.split(' ');
        let log = self.folder.join(format!("gateway-{}-{}.log", self.number, self.starts));
        let process = Command::new(words.next().expect("program"))
            .args(words)
            .stdout(File::create(log).expect("log"))
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the gateway starts");
        let id = process.id();
        self.process = Some(process);
        id
    }

    pub fn wait_until_ready(&self) {
        let started = Instant::now();
        let readiness = (ip(self.number), self.ports.readiness).into();
        while client::get(readiness, "/-/ready") != Some(200) {
            assert!(started.elapsed() < START_TIMEOUT, "gateway {} is not ready", self.number);
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Sends a signal by its name, as an operator does.
    pub fn signal(&self, name: &str) {
        if let Some(process) = &self.process {
            let sent = Command::new("kill").args(["-s", name, &process.id().to_string()]).status();
            assert!(sent.is_ok_and(|status| status.success()), "signal {name}");
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
