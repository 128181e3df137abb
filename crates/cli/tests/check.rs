//! Tests of `quincespoke check` with findings, configurations of the platform and a version in
//! force.

#[allow(dead_code, reason = "the other tests use the rest")]
mod common;

use common::{TempDir, run};

const CONFIG: &str = include_str!("../../../platform/tests/findings/none.json");
const TREE: &str = include_str!("../../conf/tests/findings/none.ini");

/// Guards against warnings that end like errors, and against errors that end like warnings.
#[test]
fn errors_and_warnings_of_a_configuration_differ() {
    let directory = TempDir::new("check-platform");
    let valid = directory.file("valid.json", CONFIG);
    let run_valid = run(&["check", "--platform", &valid]);
    assert_eq!((run_valid.code, run_valid.stdout.as_str()), (0, "1 file, no errors\n"));

    let warned = directory.file("warned.json", &CONFIG.replace("[\"k3\"]", "[]"));
    let run_warned = run(&["check", "--platform", &warned]);
    let finding =
        "tenants[1].apiKeys = []: allowed is at least one key; no caller can use the account";
    let expected = format!("warning: {warned}: {finding}\n1 file, no errors, 1 warning\n");
    assert_eq!(
        (run_warned.code, run_warned.stdout, run_warned.stderr),
        (0, expected, String::new())
    );

    let text = CONFIG.replace("[\"k3\"]", "[]").replace("\"timeoutMs\": 800", "\"timeoutMs\": 0");
    let wrong = directory.file("wrong.json", &text);
    let json = run(&["check", "--platform", "--json", &wrong, &warned]);
    json.assert_error(1, &["1 error in 2 files;"]);
    let (errors, warnings) = (&json.json()["errors"], &json.json()["warnings"]);
    assert_eq!(errors[0]["place"], "routes[1].timeoutMs");
    assert_eq!(warnings.as_array().unwrap().len(), 2);
    assert!(json.json()["changes"].is_null());
}

/// Guards against changes without the version in force, and against one in force that can't be read
/// and seems to be equal.
#[test]
fn a_configuration_is_compared_with_the_one_in_force() {
    let directory = TempDir::new("check-against");
    let in_force = directory.file("in-force.json", CONFIG);
    let text = CONFIG.replace("\"version\": 7", "\"version\": 8").replace(", \"k2\"", "");
    let new = directory.file("new.json", &text);
    let against =
        |in_force: &str, new: &str| run(&["check", "--platform", "--against", in_force, new]);
    let compared = against(&in_force, &new);
    let expected = "change: account casa: 1 key ends\n1 file, no errors, 1 change for callers\n";
    assert_eq!((compared.code, compared.stdout.as_str()), (0, expected));
    let same = against(&in_force, &in_force);
    assert_eq!(same.stdout, "1 file, no errors, no change for callers\n");
    let older = against(&new, &in_force);
    older.assert_error(1, &["1 error in 1 file"]);
    assert!(older.stdout.contains("version = 7: allowed is above 8"), "{older:?}");
    let broken = directory.file("broken.json", "{");
    let unread = against(&broken, &new);
    unread.assert_error(1, &["1 error in 2 files"]);
    assert!(unread.stdout.starts_with(&broken), "{unread:?}");
}

/// Guards against findings and changes of a settings tree that are not printed, and against
/// references to a branch with errors that seem to be undefined.
#[test]
fn a_tree_is_checked_across_branches_and_against_the_one_in_force() {
    let directory = TempDir::new("check-trees");
    directory.file("old/a.ini", TREE);
    directory.file("new/a.ini", &TREE.replace("idempotent = no", "idempotent = yes"));
    let spare = directory.file("new/spare.ini", "[pool spare]\n");
    let (old, new) = (directory.path("old"), directory.path("new"));
    let compared = run(&["check", "--against", &old, &new]);
    let expected = format!(
        "warning: {spare}: [pool spare]  = \"\": allowed is a pool that a route uses\n\
         change: route /bids: idempotent was no, becomes yes\n\
         2 files, no errors, 1 warning, 1 change for callers\n"
    );
    assert_eq!((compared.code, compared.stdout), (0, expected));

    directory.file("new/spare.ini", "[pool spare]\nspread = 0\n");
    let route = |name: &str, pool: &str| {
        format!("[route {name}]\nkind = service\npath = /{name}\npool = {pool}\ntier = urgent\n")
    };
    directory.file("new/routes.ini", &(route("x", "spare") + &route("y", "absent")));
    let all = run(&["check", "--against", &old, &new, "--json"]);
    all.assert_error(1, &["2 errors in 3 files"]);
    let errors = &all.json()["errors"];
    assert_eq!((&errors[0]["key"], &errors[1]["value"]), (&"spread".into(), &"absent".into()));
    assert!(all.json()["changes"].is_null());
}

/// Guards against a worked example in the documentation that is not what the tool prints.
#[test]
fn the_documented_example_is_printed() {
    let page = include_str!("../../../docs/OPERATIONS.md");
    let section = page.split("## Check a configuration of the platform").nth(1).unwrap();
    let blocks: Vec<&str> = section
        .split("```")
        .skip(1)
        .step_by(2)
        .map(|block| block.split_once('\n').unwrap().1)
        .collect();
    let directory = TempDir::new("check-example");
    let in_force = directory.file("in-force.json", blocks[0]);
    let new = directory.file("new.json", blocks[1]);
    let run = run(&["check", "--platform", "--against", &in_force, &new]);
    let printed = (run.stdout + &run.stderr).replace(&new, "new.json");
    assert_eq!(blocks[2].split_once('\n').unwrap().1, printed);
}

/// Guards against options that are ignored.
#[test]
fn options_that_exclude_each_other_are_usage_errors() {
    for (args, part) in [
        (&["check", "--process", "--platform", "a"][..], "--process or --platform"),
        (&["check", "--process", "--against", "b", "a"], "--process or --against"),
        (&["check", "--against", "b", "a", "c"], "takes one PATH"),
        (&["check", "--platform", "."], "takes files"),
        (&["hosts", "--at", "a:1", "--platform"], "hosts does not take --platform"),
    ] {
        run(args).assert_error(2, &[part]);
    }
}
