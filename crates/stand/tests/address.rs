//! Tests of the addresses of test processes.

use std::{collections::HashSet, env, net::SocketAddr, process::Command};

use stand::address;

/// Set in a process that prints its addresses.
const CHILD: &str = "ADDRESS_TEST_CHILD";
/// Processes that are compared with this one.
const PROCESSES: usize = 150;
/// Addresses that each of them finds.
const ADDRESSES: usize = 100;

/// Guards against two test processes that use the same address. While a gateway of one of them is
/// down, the other one's listener answers in its place, and the gateway can't bind its address again.
#[test]
fn processes_find_different_addresses() {
    let own: HashSet<SocketAddr> = (0..ADDRESSES).map(|_| address::find_free()).collect();
    if env::var_os(CHILD).is_some() {
        own.iter().for_each(|address| println!("address={address}"));
        return;
    }
    let program = env::current_exe().expect("the test's own path");
    for _ in 0..PROCESSES {
        let mut command = Command::new(&program);
        command.args(["--exact", "processes_find_different_addresses", "--nocapture"]);
        let output = command.env(CHILD, "1").output().expect("the test's own program starts");
        let text = String::from_utf8(output.stdout).expect("text");
        let others: HashSet<SocketAddr> = text
            .lines()
            .filter_map(|line| line.strip_prefix("address="))
            .map(|address| address.parse().expect("an address"))
            .collect();
        assert_eq!(others.len(), ADDRESSES, "{text}");
        let shared: Vec<_> = own.intersection(&others).collect();
        assert!(shared.is_empty(), "two processes found {shared:?}");
    }
}
