//! Tests of the built program.

mod common;

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::TcpListener,
};

use wire::status;

use common::{TempDir, UNREACHABLE, run, serve, serve_status, status};

/// Guards against usage errors without exit code 2, by which scripts recognise them, and
/// against messages that don't name the argument.
#[test]
fn usage_errors_name_the_argument_and_exit_with_2() {
    let cases: [(&[&str], &[&str]); 12] = [
        (&[], &["no subcommand", "--help"]),
        (&["host"], &["unknown subcommand \"host\""]),
        (&["hosts"], &["--at HOST:PORT", "quincespoke hosts --help"]),
        (&["hosts", "--at"], &["--at"]),
        (&["hosts", "--at", "http://a:1"], &["--at \"http://a:1\"", "HOST:PORT"]),
        (&["hosts", "--at", "a:1", "extra"], &["\"extra\""]),
        (&["hosts", "--at", "a:1", "--within", "3"], &["hosts does not take --within"]),
        (&["hosts", "--at", "a:1", "--timeout-ms", "0"], &["--timeout-ms", "from 1"]),
        (&["explain", "--at", "a:1", "xyz"], &["ID \"xyz\""]),
        (&["explain", "--at", "a:1"], &["needs ID"]),
        (&["watch-revision", "--at", "a:1", "accounts", "new"], &["REVISION \"new\""]),
        (&["check"], &["needs PATH"]),
    ];
    for (args, parts) in cases {
        let run = run(args);
        run.assert_error(2, parts);
        assert_eq!(run.stdout, "", "{args:?}");
    }
}

/// Guards against a subcommand without help or without an example.
#[test]
fn every_subcommand_has_help_with_an_example() {
    assert_eq!(run(&["--version"]).stdout, "quincespoke 0.1.0\n");
    for subcommand in cli::options::Subcommand::ALL {
        let name = subcommand.name();
        let run = run(&[name, "--help"]);
        assert_eq!(run.code, 0);
        assert!(run.stdout.contains(&format!("\nExamples:\n  quincespoke {name} ")), "{run:?}");
    }
}

/// Guards against comments read as addresses, and against an invalid line that is not reported.
#[test]
fn address_files_allow_comments_and_report_the_invalid_line() {
    let directory = TempDir::new("addresses");
    let address = serve_status(&[status("h1", "agent")]);
    let valid = directory.file("good", &format!("# fleet\n\n{address} # h1\n{address}\n"));
    let valid_run = run(&["hosts", "--at-file", &valid, "--json"]);
    assert_eq!(valid_run.code, 0, "{valid_run:?}");
    assert_eq!(valid_run.json()["processes"].as_array().unwrap().len(), 1);
    let invalid = directory.file("bad", "127.0.0.1:9\nh2\n");
    run(&["hosts", "--at-file", &invalid]).assert_error(2, &["line 2", "\"h2\""]);
    run(&["hosts", "--at-file", &directory.path("none")]).assert_error(4, &["none"]);
}

/// Guards against a list without the addresses that did not respond, or without the
/// disagreements between processes.
#[test]
fn hosts_lists_processes_disagreements_and_unreachable_addresses() {
    let mut entry = status("e1", "entry");
    entry.hosts = vec![status::Host { host: "h1".to_owned(), ..status::Host::default() }];
    let mut agent = status("h1", "agent");
    agent.leaving = true;
    agent.queued = BTreeMap::from([(0, 2), (2, 5)]);
    agent.revisions.insert("accounts".to_owned(), 8);
    let (entry, agent) = (serve_status(&[entry]), serve_status(&[agent]));
    let at = ["hosts", "--at", &agent, "--at", &entry, "--at", UNREACHABLE];

    let text = run(&at);
    text.assert_error(3, &["1 of 3 processes", UNREACHABLE]);
    let rows: Vec<Vec<&str>> =
        text.stdout.lines().map(|line| line.split_whitespace().collect()).collect();
    assert_eq!(rows[1][..6], ["e1", "entry", "z1", "yes", "no", "no"]);
    assert_eq!(rows[2][..6], ["h1", "agent", "z1", "yes", "yes", "no"]);
    assert_eq!(rows[2][7..], ["0:2,2:5", "0"]);
    for line in ["branch accounts  revision 8   h1/agent", "host h1          not leaving"] {
        assert!(text.stdout.contains(line), "{line:?} is not in {text:?}");
    }

    let json = run(&[&at[..], &["--json"]].concat());
    assert_eq!(json.code, 3);
    assert_eq!(json.json()["unreachable"][0]["address"], UNREACHABLE);
    assert_eq!(json.json()["disagreements"]["leaving"][0]["leaving_by"][0], "h1/agent");
}

/// Guards against a run that hangs on a process that accepts connections and never responds,
/// and against another service listed as a process.
#[test]
fn unusable_responses_are_failures() {
    let frozen = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = frozen.local_addr().unwrap().to_string();
    run(&["hosts", "--at", &address, "--timeout-ms", "50"])
        .assert_error(3, &["no answer within 50 ms", "--timeout-ms"]);
    for body in ["<html>", "{}"] {
        let other = serve(BTreeMap::from([("/status", vec![body.to_owned()])]));
        run(&["hosts", "--at", &other]).assert_error(3, &["not an operator address"]);
    }
}

/// Guards against a trace without the events of a process, and against a process without the
/// trace reported as unreachable.
#[test]
fn explain_merges_traces_and_accepts_processes_without_one() {
    let trace = |host: &str, at_us| {
        let host = host.to_owned();
        serde_json::to_string(&[status::Trace { at_us, host, ..status::Trace::default() }])
    };
    let path = "/requests/000000000000001f-2a";
    let entry = serve(BTreeMap::from([(path, vec![trace("h2", 1500).unwrap()])]));
    let agent = serve(BTreeMap::from([(path, vec![trace("h1", 9000).unwrap()])]));
    let other = serve(BTreeMap::new());
    let found = run(&["explain", "--at", &entry, "--at", &agent, "--at", &other, "1f-2a"]);
    assert_eq!(found.code, 0, "{found:?}");
    let hosts: Vec<_> =
        found.stdout.lines().skip(1).map(|line| &line[..line.find("  ").unwrap()]).collect();
    assert_eq!(hosts, ["h1", "h2"]);
    run(&["explain", "--at", &other, "1f-2a"]).assert_error(1, &["000000000000001f-2a"]);
}

/// Guards against a filter that lets other accounts or tiers through.
#[test]
fn histograms_are_filtered() {
    let histogram = |account: &str, tier: &str| status::Histogram {
        name: "total_ms".to_owned(),
        account: account.to_owned(),
        tier: tier.to_owned(),
        count: 1,
        ..status::Histogram::default()
    };
    let all = [histogram("a", "urgent"), histogram("a", "batch"), histogram("b", "urgent")];
    let address =
        serve(BTreeMap::from([("/histograms", vec![serde_json::to_string(&all).unwrap()])]));
    let count = |args: &[&str]| {
        let run = run(&[&["histograms", "--json", "--at", &address], args].concat());
        run.json()["histograms"].as_array().unwrap().len()
    };
    assert_eq!(count(&[]), 3);
    assert_eq!(count(&["--account", "a"]), 2);
    assert_eq!(count(&["--account", "a", "--tier", "urgent"]), 1);
}

/// Guards against wrong exit codes of a watch: scripts shut the host down on code 0.
#[test]
fn watches_end_with_0_when_met_and_1_at_the_time_limit() {
    let mut leaving = status("h1", "agent");
    leaving.leaving = true;
    let mut busy = leaving.clone();
    busy.running = 1;
    let polls = [status("h1", "agent"), busy.clone(), leaving];
    let drain = ["watch-drain", "--interval-ms", "1", "h1", "--at"];
    let met = run(&[&drain[..], &[&serve_status(&polls)]].concat());
    assert_eq!((met.code, met.stdout.as_str()), (0, "h1: drained\n"), "{met:?}");
    let address = serve_status(&[busy]);
    run(&[&drain[..], &[&address, "--within", "0"]].concat())
        .assert_error(1, &["leaving, 0 queued, 1 running"]);
    run(&["watch-drain", "h9", "--at", &address]).assert_error(3, &["\"h9\"", "--at"]);
    let revision = |revision| run(&["watch-revision", "accounts", revision, "--at", &address]);
    assert_eq!(revision("7").code, 0);
    run(&["watch-revision", "accounts", "8", "--within", "0", "--at", &address])
        .assert_error(1, &["0 of 1 processes", "h1/agent"]);
}

/// Guards against a check that accepts the wrong kind of path, and against a settings branch
/// that replaces the host list.
#[test]
fn check_refuses_paths_of_the_wrong_kind() {
    let directory = TempDir::new("check-paths");
    let file = directory.file("tree/a.txt", "");
    run(&["check", &file]).assert_error(2, &["a.txt", "is a file"]);
    run(&["check", &directory.path("tree")]).assert_error(2, &["no *.ini file"]);
    run(&["check", "--process", &directory.path("tree")]).assert_error(2, &["is a directory"]);
    run(&["check", &directory.path("none")]).assert_error(4, &["none"]);
    let reserved = directory.file("reserved/@hosts.ini", "");
    let run = run(&["check", &directory.path("reserved")]);
    run.assert_error(1, &["1 error in 1 file;"]);
    assert!(run.stdout.contains(&reserved), "{run:?}");
}

/// Guards against errors that are not reported, name a branch instead of its file, or leave
/// the exit code at 0, and against hidden files read as branches.
#[test]
fn check_reports_every_error_of_a_tree() {
    let directory = TempDir::new("check-tree");
    let tree = directory.path("tree");
    directory.file("tree/.old/tiers.ini", "[nonsense]\n");
    directory.file("tree/platform/tiers.ini", "[tier urgent]\nrank = 0\n");
    let accounts = directory.file("tree/accounts.ini", "[account a]\ntop_tier = urgent\n");
    let valid = run(&["check", &tree]);
    assert_eq!((valid.code, valid.stdout.as_str()), (0, "2 files, no errors\n"), "{valid:?}");

    directory.file("tree/accounts.ini", "[account a]\ntop_tier = absent\n");
    let merged = run(&["check", &tree]);
    merged.assert_error(1, &["1 error in 2 files"]);
    assert!(merged.stdout.starts_with(&format!("{accounts}: [account a] top_tier = ")));

    directory
        .file("tree/accounts.ini", "[account a]\ntop_tier = absent\nshare = 0\nmax_open = x\n");
    let json = run(&["check", "--json", &tree]);
    assert_eq!(json.code, 1);
    let errors = json.json()["errors"].as_array().unwrap().clone();
    let keys: Vec<_> = errors.iter().map(|error| error["key"].as_str().unwrap()).collect();
    assert_eq!(keys, ["share", "max_open"], "{errors:?}");
    assert!(errors.iter().all(|error| error["file"] == accounts.as_str()));
}

/// Guards against process settings that are checked as a settings branch.
#[test]
fn check_reads_process_settings() {
    let directory = TempDir::new("check-process");
    let file = directory.file("entry.ini", "[process]\nrole = both\n");
    let run = run(&["check", "--process", &file]);
    run.assert_error(1, &["errors in 1 file;"]);
    assert!(run.stdout.contains(&format!("{file}: [process] role = \"both\"")), "{run:?}");
}

/// Guards against a body without end that takes memory until the time limit of the request.
#[test]
fn a_body_without_end_is_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("an address").to_string();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 4096]);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n");
        while stream.write_all(&[b' '; 64 << 10]).is_ok() {}
    });
    let run = run(&["hosts", "--at", &address, "--timeout-ms", "60000"]);
    assert!(run.stderr.contains("the body is over"), "{run:?}");
}
