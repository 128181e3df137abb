//! Findings in valid settings trees, and differences between trees.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use conf::{
    change::{Change, Kind},
    check, differences, findings, tree,
};

const NONE: &str = include_str!("findings/none.ini");

fn branches(text: &str) -> BTreeMap<Bytes, tree::Branch> {
    let branch = tree::parse("b", text).unwrap_or_else(|errors| panic!("{text}: {errors:#?}"));
    BTreeMap::from([(Bytes::from_static(b"b"), branch)])
}

fn merged(text: &str) -> tree::Tree {
    let (tree, errors) = tree::merge(&branches(text));
    assert!(errors.is_empty(), "{text}: {errors:#?}");
    tree
}

fn found(text: &str) -> Vec<check::Error> {
    findings::find(&merged(text)).iter().map(|finding| finding.describe(&branches(text))).collect()
}

/// Guards against a finding that is not reported, or is reported at another place.
#[test]
fn each_file_has_one_finding() {
    let cases = [
        (include_str!("findings/unused_pool.ini"), "[pool spare]  = \"\": allowed is a pool"),
        (
            include_str!("findings/unused_tier.ini"),
            "[tier top] rank = \"0\": allowed is at least 1",
        ),
        (include_str!("findings/late_hedge.ini"), "[pool floor] hedge_ms = \"30000\""),
        (include_str!("findings/short_keys.ini"), "[pool floor] key_ttl_ms = \"59999\""),
        (include_str!("findings/large_body.ini"), "[route bids] max_body_bytes = \"1048576\""),
    ];
    for (text, start) in cases {
        let found = found(text);
        assert_eq!(found.len(), 1, "{found:#?}");
        let line = found[0].to_string();
        assert!(line.starts_with(&format!("b: {start}")), "{line}");
    }
    assert_eq!(found(NONE), []);
}

/// Guards against a finding in the documented trees, which are valid.
#[test]
fn documented_trees_have_no_findings() {
    let page = include_str!("../../../docs/settings.md");
    for fleet in ["popayan", "recife"] {
        let marker = format!("```ini\n; branch {fleet}/");
        let examples = page.split(&marker).skip(1);
        let texts = examples.map(|text| text.split_once('\n').unwrap().1.split("```").next());
        let text: String = texts.map(Option::unwrap).collect();
        assert_eq!(found(&text), [], "{fleet}");
    }
}

/// Guards against a change for callers that is not reported, or is reported as another one.
#[test]
fn differences_name_what_changes_for_callers() {
    let key = |digit: &str| format!("top_tier = urgent\napi_key_sha256 = {}", digit.repeat(64));
    let keyed = NONE.replace("top_tier = urgent", &key("1"));
    let deep = "[pool other]\n[route deep]\nkind = service\npath = /bids/deep\npool = other\n\
                tier = urgent\nidempotent = no\n";
    let covered = format!("{NONE}{deep}");
    let cases: [(&str, &str, &str); 12] = [
        (NONE, "path = /bids", "path = /lots"),
        (NONE, "idempotent = no", "idempotent = yes"),
        (NONE, "max_deadline_ms = 60000", "max_deadline_ms = 50000"),
        (NONE, "[pool floor]", "[pool floor]\nmax_queued = 1023"),
        (NONE, "[pool floor]", "[pool floor]\n[drain floor-1]"),
        (NONE, "[pool floor]", "[pool floor]\n[entry]\nmax_open = 20000"),
        (NONE, "top_tier = urgent", "top_tier = urgent\nmax_open = 10"),
        (NONE, "[account casa]", "[account museo]"),
        (
            NONE,
            "pool = floor\ntier = urgent\nidempotent = no",
            "pool = other\ntier = urgent\nidempotent = no\n[pool other]",
        ),
        (
            NONE,
            "path = /bids",
            "path = /\npool = floor\ntier = urgent\n[route all]\nkind = service\npath = /bids",
        ),
        (&covered, "path = /bids/deep", "path = /lots"),
        (&keyed, &"1".repeat(64), &"2".repeat(64)),
    ];
    let expected: [&[&str]; 12] = [
        &["route /bids: ends", "route /lots: begins"],
        &["route /bids: idempotent was no, becomes yes"],
        &["tier urgent: max_deadline_ms falls from 60000 ms to 50000 ms"],
        &["pool floor: max_queued falls from 1024 requests to 1023 requests"],
        &["drain of host floor-1: begins"],
        &["entry: max_open rises from 10000 requests to 20000 requests"],
        &["account casa: max_open falls from 1000 requests to 10 requests"],
        &["account casa: ends", "account museo: begins"],
        &["route /bids: pool was floor, becomes other"],
        &["route /: begins"],
        &["route /bids/deep: pool was other, becomes floor", "route /lots: begins"],
        &["account casa: 1 key ends", "account casa: 1 key begins"],
    ];
    for ((text, from, to), expected) in cases.into_iter().zip(expected) {
        let changes = differences::find(&merged(text), &merged(&text.replacen(from, to, 1)));
        let lines: Vec<String> = changes.iter().map(Change::to_string).collect();
        assert_eq!(lines, expected);
    }
}

quickcheck::quickcheck! {
    /// Guards against findings in valid trees, and against differences between equal ones.
    fn valid_trees_have_no_findings(
        routes: Vec<(bool, u8, u64)>, deadline: u64, hedge: u64, ttl: u64
    ) -> bool {
        let deadline = 30_000 + deadline % 270_000;
        let (hedge, ttl) = (hedge % deadline.min(60_000), deadline + ttl % 86_000_000);
        let mut text = format!(
            "[tier top]\nrank = 0\n[tier low]\nrank = 1\nmax_deadline_ms = {deadline}\n\
             [account a]\ntop_tier = top\n"
        );
        for (index, (idempotent, tier, bytes)) in routes.iter().enumerate() {
            let tier = ["top", "low"][usize::from(tier % 2)];
            let (idempotent, ttl) = (if *idempotent { "yes" } else { "no" }, ttl.max(300_000));
            let bytes = 1 + bytes % tree::MAX_BODY_BYTES;
            text += &format!(
                "[pool p{index}]\nhedge_ms = {hedge}\nkey_ttl_ms = {ttl}\n[route r{index}]\n\
                 kind = service\npath = /r{index}\npool = p{index}\ntier = {tier}\n\
                 idempotent = {idempotent}\nmax_body_bytes = {bytes}\n"
            );
        }
        let tree = merged(&text);
        found(&text).is_empty() && differences::find(&tree, &tree).is_empty()
    }

    /// Guards against differences that depend on the direction: what ends one way begins the
    /// other way.
    fn differences_are_symmetric(paths: Vec<(u8, u8)>) -> bool {
        let text = |pick: &dyn Fn(&(u8, u8)) -> u8| {
            let paths: BTreeSet<u8> = paths.iter().map(pick).collect();
            let route = |path: &u8| {
                format!(
                    "[route r{path}]\nkind = service\npath = /{path}\npool = floor\ntier = urgent\n"
                )
            };
            format!("{NONE}{}", paths.iter().map(route).collect::<String>())
        };
        let (from, to) = (merged(&text(&|pair| pair.0)), merged(&text(&|pair| pair.1)));
        let names = |changes: Vec<Change>, kind: &Kind| -> Vec<String> {
            let named = changes.into_iter().filter(|change| change.kind == *kind);
            named.map(|change| change.subject).collect()
        };
        names(differences::find(&from, &to), &Kind::Ends)
            == names(differences::find(&to, &from), &Kind::Begins)
    }
}
