//! Branches of the settings tree and their merge.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use conf::tree;
use quickcheck::TestResult;

const PLATFORM: &str = "
[tier urgent]
rank = 0
[tier batch]
rank = 2
deadline_ms = 60000
[pool floor]
hedge_ms = 35
checks_fence = yes
[drain floor-1]
";

const TEAM: &str = "
[account bidders]
top_tier = urgent
[route bids]
kind = service
path = /bids
pool = floor
tier = urgent
idempotent = no
[route lots]
kind = model
model = appraiser
pool = missing
tier = absent
[pool floor]
spread = 1
[entry]
";

fn merged(branches: &[(&str, &str)]) -> (tree::Tree, Vec<conf::check::Error>) {
    let parse = |(name, text): &(&str, &str)| {
        (Bytes::copy_from_slice(name.as_bytes()), tree::parse(name, text).unwrap())
    };
    tree::merge(&branches.iter().map(parse).collect())
}

/// Guards against references to undefined sections in the merged tree, against a later branch
/// that replaces a section, and against an invalid route that removes valid ones.
#[test]
fn merge_reports_and_omits_sections_with_undefined_references() {
    let (tree, errors) = merged(&[("b-team", TEAM), ("a-platform", PLATFORM)]);
    assert_eq!(tree.routes.keys().collect::<Vec<_>>(), ["bids"]);
    assert_eq!(tree.pools[&b"floor"[..]].hedge, Duration::from_millis(35));
    assert_eq!(tree.pools[&b"floor"[..]].spread, 2);
    let locations: Vec<_> =
        errors.iter().map(|e| (e.file.as_str(), e.section.as_str(), e.key.as_str())).collect();
    assert_eq!(
        locations,
        [
            ("b-team", "pool floor", ""),
            ("b-team", "route lots", "pool"),
            ("b-team", "route lots", "tier"),
        ]
    );
}

/// Guards against an `[entry]` section equal to the defaults that is replaced by that of a later
/// branch.
#[test]
fn an_entry_section_with_defaults_takes_precedence() {
    let (tree, errors) = merged(&[("a", "[entry]"), ("b", "[entry]\nmax_open = 5")]);
    assert_eq!(tree.entry, tree::Entry::default());
    assert_eq!(errors.len(), 1);
}

/// Guards against a route that accepts bodies which its agents refuse as too large.
#[test]
fn bodies_fit_into_a_commit() {
    let route = |bytes: u64| {
        let text = format!(
            "[route z]\nkind = service\npath = /z\npool = floor\ntier = urgent\nmax_body_bytes = {bytes}\n"
        );
        tree::parse("z", &text)
    };
    assert!(route(tree::MAX_BODY_BYTES).is_ok());
    let errors = route(tree::MAX_BODY_BYTES + 1).expect_err("refused");
    assert_eq!(errors[0].key, "max_body_bytes");
}

/// Guards against a merge that lets two accounts share a key or two routes a path.
#[test]
fn a_selector_belongs_to_the_first_branch() {
    let account = |name: &str| {
        let key = "0f".repeat(32);
        format!("[account {name}]\ntop_tier = urgent\napi_key_sha256 = {key}\n")
    };
    let route = |name: &str| {
        format!("[route {name}]\nkind = service\npath = /bids\npool = floor\ntier = urgent\n")
    };
    let first = account("z") + &route("z");
    let second = account("a") + &route("a");
    let (tree, errors) = merged(&[("p", PLATFORM), ("q", &first), ("r", &second)]);
    assert_eq!(tree.accounts.keys().collect::<Vec<_>>(), ["z"]);
    assert_eq!(tree.routes.keys().collect::<Vec<_>>(), ["z"]);
    assert_eq!(errors.len(), 2);
    assert!(tree::parse("both", &(first + &second)).is_err());
}

/// Guards against accepted values outside their bounds, contradictory pairs, unknown keys and
/// sections, and lines that the INI parser would skip or join.
#[test]
fn invalid_branches_are_refused() {
    let cases = [
        ("[tier urgent]", "rank"),
        ("[tier urgent]\nrank = 16", "rank"),
        ("[tier urgent]\nrank = +1", "rank"),
        ("[tier urgent]\nrank = 1\ndeadline_ms = 9000\nmax_deadline_ms = 8000", "deadline_ms"),
        ("[tier urgent]\nrank = 1\n[tier other]\nrank = 1", "rank"),
        ("[pool p]\nspread = 0", "spread"),
        ("[pool p]\nmax_ejected_percent = 34", "max_ejected_percent"),
        ("[pool p]\nhedge = 20", "hedge"),
        ("[pool p]\nretention_ms = 4000", "resume_limit_ms"),
        ("[pool p]\nchecks_fence = true", "checks_fence"),
        ("[pool p]\nspread = 1\nspread = 1", "spread"),
        ("[pool p]\n[pool  p]", ""),
        ("[pool p/q]", ""),
        ("[pols p]", ""),
        ("[entry e]", ""),
        ("spread = 1", "spread"),
        ("[pool p]\n spread", "line 2"),
        ("[pool p]\nspread\n[drain host]\nreason = x", "line 2"),
        ("[pool p]\nspread = 1\\\n", "line 2"),
        ("[pool p] spread = 1", "line 1"),
        ("[order h]\naction = stop\nargument = x\nfence = 1", "action"),
        ("[route r]\nkind = service\npath = bids\npool = p\ntier = t", "path"),
        ("[route r]\nkind = model\nmodel = m\npath = /chat\npool = p\ntier = t", "path"),
        ("[account a]\ntop_tier = t\napi_key_sha256 = 12", "api_key_sha256"),
    ];
    for (text, key) in cases {
        let errors = tree::parse("branch", text).expect_err(text);
        assert!(errors.iter().any(|error| error.key == key), "{text:?}: {errors:?}");
    }
}

/// Guards against an example in the documentation that the parser refuses.
#[test]
fn documented_branches_are_valid() {
    let page = include_str!("../../../docs/settings.md");
    let mut fleets: BTreeMap<&str, BTreeMap<Bytes, tree::Branch>> = BTreeMap::new();
    for example in page.split("```ini\n; branch ").skip(1) {
        let (title, rest) = example.split_once('\n').unwrap();
        let (fleet, name) = title.split_once('/').unwrap();
        let text = rest.split("```").next().unwrap();
        let branch = tree::parse(name, text).unwrap_or_else(|errors| panic!("{errors:#?}"));
        fleets.entry(fleet).or_default().insert(Bytes::from(name.to_owned()), branch);
    }
    assert_eq!(fleets.keys().collect::<Vec<_>>(), [&"popayan", &"recife"]);
    for (fleet, branches) in fleets {
        let (tree, errors) = tree::merge(&branches);
        assert!(errors.is_empty(), "{fleet}: {errors:#?}");
        assert_eq!(tree.accounts.len(), 5, "{fleet}");
    }
}

quickcheck::quickcheck! {
    /// Guards against well-formed and random input that panics the parser, and against results
    /// that differ for the same text.
    fn parse_never_panics(bytes: Vec<u8>, cut: usize) -> bool {
        let noise = String::from_utf8_lossy(&bytes).into_owned();
        let text = format!("{PLATFORM}{TEAM}");
        let cut = cut % text.len();
        for text in [noise.clone(), format!("{}{noise}{}", &text[..cut], &text[cut..])] {
            let result = tree::parse("branch", &text);
            assert_eq!(result, tree::parse("branch", &text));
            let _ = conf::process::parse("file", &text);
        }
        true
    }

    /// Guards against sequences of INI punctuation that panic the INI parser.
    fn punctuation_never_panics(picks: Vec<u8>) -> bool {
        const PARTS: [&str; 12] =
            ["[", "]", "=", ":", "\n", "\r", " ", "\\", "\"", "#", "tier a", "\t"];
        let text: String = picks.iter().map(|pick| PARTS[*pick as usize % PARTS.len()]).collect();
        let _ = tree::parse("branch", &text);
        true
    }

    /// Guards against a merge that depends on the order in which branches arrived.
    fn merge_ignores_arrival_order(picks: Vec<(u8, u8)>) -> TestResult {
        let texts = [PLATFORM, TEAM, "", "[pool missing]\n[tier absent]\nrank = 0"];
        let branches: BTreeMap<Bytes, &str> = picks
            .iter()
            .map(|(name, text)| (Bytes::from(vec![name % 8]), texts[*text as usize % texts.len()]))
            .collect();
        let parse = |(name, text): (&Bytes, &&str)| {
            (name.clone(), tree::parse("branch", text).unwrap())
        };
        let forward: BTreeMap<_, _> = branches.iter().map(parse).collect();
        let backward: BTreeMap<_, _> = branches.iter().rev().map(parse).collect();
        let (tree, errors) = tree::merge(&forward);
        let has_undefined = tree.routes.values().any(|route| {
            !tree.pools.contains_key(&route.pool) || !tree.tiers.contains_key(&route.tier)
        });
        TestResult::from_bool(!has_undefined && (tree, errors) == tree::merge(&backward))
    }
}

/// Guards against unbounded errors and parsing time for a huge or binary value.
#[test]
fn a_huge_branch_is_refused_with_bounded_errors() {
    let long = "x".repeat(conf::document::MAX_BYTES + 1);
    assert_eq!(tree::parse("branch", &long).unwrap_err().len(), 1);
    let lines = "junk\n".repeat(100_000);
    assert!(tree::parse("branch", &lines).unwrap_err().len() <= 1_000);
    let sections: String = (0..50_000).map(|n| format!("[pool p{n}]\n")).collect();
    assert_eq!(tree::parse("branch", &sections).unwrap().0.pools.len(), 50_000);
}
