//! The command line of the daemon.

use std::{
    fs,
    net::TcpListener,
    process::{Command, Output},
};

fn quincespoked(args: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_quincespoked");
    Command::new(program).args(args).output().expect("the program starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Guards against a check that stops at the first error or omits the position, the value or the
/// allowed values, and against exit codes that scripts can't distinguish.
#[test]
fn every_error_is_reported_and_exit_codes_are_distinct() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let bound_address = listener.local_addr().unwrap();
    let good = format!(
        "[process]\nrole = entry\nhost = e\navailability_zone = z\n[listen]\n\
         callers = 127.0.0.1:1\npeers = {bound_address}\noperators = {bound_address}\n[platform]\n\
         configuration = http://127.0.0.1:1\nhosts = http://127.0.0.1:1/hosts\n"
    );
    let name = format!("quincespoke-check-{}.ini", fastrand::u64(..));
    let path = std::env::temp_dir().join(name);
    let file = path.to_str().unwrap();

    let bad = good.replace("role = entry", "role = entree").replace("hosts =", "hots =");
    fs::write(&path, bad + "[log]\nlevel = loud\n").unwrap();
    let check = quincespoked(&["check", "--settings", file]);
    let errors = text(&check.stderr);
    assert_eq!(check.status.code(), Some(1), "{errors}");
    let places = [
        ("[process] role", "entree"),
        ("[platform] hots", "http://127.0.0.1:1/hosts"),
        ("[log] level", "loud"),
    ];
    for (place, value) in places {
        let line = errors.lines().find(|line| line.contains(place));
        let line = line.unwrap_or_else(|| panic!("{place} is missing: {errors}"));
        assert!(line.contains(file) && line.contains(value), "{line}");
        let (_, allowed) = line.split_once("allowed is ").expect("what is allowed");
        assert!(!allowed.trim().is_empty(), "{line}");
    }
    assert_eq!(quincespoked(&["--settings", file]).status.code(), Some(1));

    fs::write(&path, good).unwrap();
    let check = quincespoked(&["check", "-s", file]);
    assert_eq!((check.status.code(), text(&check.stderr).as_str()), (Some(0), ""));
    let start = quincespoked(&["--settings", file]);
    assert_eq!(start.status.code(), Some(3));
    assert!(text(&start.stderr).contains(&bound_address.to_string()), "{}", text(&start.stderr));
    fs::remove_file(&path).unwrap();

    for args in [&["--settings"][..], &["--none"], &[], &["check", "check"]] {
        let output = quincespoked(args);
        assert_eq!(output.status.code(), Some(2), "{args:?}");
        assert!(text(&output.stderr).contains("--help"), "{args:?}");
    }
    let missing = quincespoked(&["check", "--settings", file]);
    assert_eq!(missing.status.code(), Some(1));
    assert!(text(&missing.stderr).contains(file));
    let help = quincespoked(&["--help"]);
    assert!(help.status.success() && text(&help.stdout).contains("Exit codes"));
    let version = quincespoked(&["--version"]);
    assert!(version.status.success());
    assert_eq!(text(&version.stdout), format!("quincespoked {}\n", env!("CARGO_PKG_VERSION")));
}
