//! Process settings files.

use conf::process;
use wire::host;

const AGENT: &str = "
# comment
[process]
role = agent
host = floor-1
availability_zone = pop-a
[listen]
peers = 10.0.0.1:7000
operators = 127.0.0.1:7001
[platform]
configuration = http://10.0.9.1:8500
hosts = http://[::1]:80/hosts
[seeds]
peers = 10.0.0.2:7000, 10.0.0.3:7000
[agent]
pool = floor
backend = 127.0.0.1:9000
";

/// Guards against keys that are parsed into the wrong field, and against missing defaults.
#[test]
fn an_agent_file_is_read() {
    let process = process::parse("agent.ini", AGENT).unwrap();
    assert_eq!(process.role, host::Role::Agent);
    assert_eq!(
        (&process.host[..], &process.availability_zone[..]),
        (&b"floor-1"[..], &b"pop-a"[..])
    );
    assert_eq!(process.seeds.len(), 2);
    assert_eq!(process.backend, Some("127.0.0.1:9000".parse().unwrap()));
    assert_eq!((process.prefix.as_str(), process.log_level.as_str()), ("quincespoke/", "info"));
    assert_eq!((process.callers, process.statsd), (None, None));
}

/// Guards against reports that stop at the first error, and against accepted misspellings,
/// duplicates, wildcard `peers` addresses and host names instead of IP addresses.
#[test]
fn every_error_is_reported_at_once() {
    let text = AGENT
        .replace("role = agent", "role = agnet\nrole = agent")
        .replace("peers = 10.0.0.1:7000", "peers = 0.0.0.0:7000")
        .replace("10.0.9.1", "configuration.example")
        .replace("backend =", "bakend =")
        + "[log]\nlevel = loud\n[logs]\n[log]\n";
    let errors = process::parse("agent.ini", &text).unwrap_err();
    let locations: Vec<_> = errors.iter().map(|e| (e.section.as_str(), e.key.as_str())).collect();
    let expected = [
        ("process", "role"),
        ("process", "role"),
        ("listen", "peers"),
        ("platform", "configuration"),
        ("agent", "backend"),
        ("agent", "bakend"),
        ("log", "level"),
        ("log", ""),
        ("logs", ""),
    ];
    for location in expected {
        assert!(locations.contains(&location), "{location:?} in {locations:?}");
    }
    assert_eq!(errors.len(), expected.len(), "{errors:#?}");
    assert!(errors.iter().all(|e| e.file == "agent.ini" && !e.allowed.is_empty()));
}

/// Guards against an entry that starts without an address for callers, and against agent settings
/// that are ignored on an entry without an error.
#[test]
fn keys_of_the_other_role_are_errors() {
    let text = AGENT.replace("role = agent", "role = entry");
    let errors = process::parse("entry.ini", &text).unwrap_err();
    let locations: Vec<_> = errors.iter().map(|e| (e.section.as_str(), e.key.as_str())).collect();
    assert_eq!(locations, [("listen", "callers"), ("agent", "")]);
}
