//! Reads the sections of one branch.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;
use wire::{request, tier};

use crate::{check, document, section, tree};

const SECTIONS: &str =
    "tier NAME, account NAME, route NAME, pool NAME, drain HOST, order HOST or entry";
const SHA256: &str = "64 hexadecimal digits, or empty";
const PATH: &str = "'/' and up to 255 visible ASCII characters without '?' and '#'";
const TEXT: &str = "up to 256 characters";
const ARGUMENT: &str = "1 to 256 characters";
const KIND: &str = "model or service";
const ACTION: &str = "load_model, load_adapter, set_version or set_role";

const HOUR_MS: u64 = 3_600_000;
const DAY_MS: u64 = 24 * HOUR_MS;

/// Parses and checks one branch.
pub(crate) fn parse(name: &str, text: &str) -> Result<tree::Branch, Vec<check::Error>> {
    let mut report = check::Report::new(name);
    let mut branch = tree::Branch::default();
    for section in document::split(text, &mut report) {
        read_section(&section, &mut branch, &mut report);
    }
    check_unique(&branch.0, &mut report);
    report.finish(Some(branch))
}

/// Returns the kinds and names of the sections of a branch.
pub(crate) fn section_names(text: &str) -> Option<BTreeSet<(String, String)>> {
    let mut report = check::Report::new("");
    let sections = document::split(text, &mut report);
    // Errors without any section are those of lines, which hide the sections.
    let is_split = !sections.is_empty() || report.finish(Some(())).is_ok();
    let names = sections.into_iter().map(|section| (section.kind, section.name)).collect();
    is_split.then_some(names)
}

fn read_section(
    section: &document::Section,
    branch: &mut tree::Branch,
    report: &mut check::Report,
) {
    let tree::Branch(tree, has_entry) = branch;
    let reader = section::Reader::new(section, report);
    match section.kind.as_str() {
        "tier" => insert_section(&mut tree.tiers, reader, read_tier),
        "account" => insert_section(&mut tree.accounts, reader, read_account),
        "route" => insert_section(&mut tree.routes, reader, read_route),
        "pool" => insert_section(&mut tree.pools, reader, read_pool),
        "drain" => insert_section(&mut tree.drains, reader, read_drain),
        "order" => insert_section(&mut tree.orders, reader, read_order),
        "entry" if section.name.is_empty() => {
            *has_entry = true;
            tree.entry = read_entry(reader);
        }
        _ => report.add(&section.header, "", "", SECTIONS),
    }
}

fn insert_section<T>(
    map: &mut BTreeMap<Bytes, T>,
    mut reader: section::Reader<'_>,
    read: impl FnOnce(&mut section::Reader<'_>) -> Option<T>,
) {
    let name = reader.section_name();
    let value = read(&mut reader);
    reader.finish();
    if let (Some(name), Some(value)) = (name, value) {
        map.insert(name, value);
    }
}

fn read_tier(reader: &mut section::Reader<'_>) -> Option<tree::Tier> {
    let default = tree::Tier::default();
    let rank = reader.required_number("rank", 0..=15, "");
    let deadline = reader.duration("deadline_ms", default.deadline, 1..=HOUR_MS);
    let max_deadline = reader.duration("max_deadline_ms", default.max_deadline, 1..=HOUR_MS);
    check_at_most(reader, "deadline_ms", ms(deadline), "max_deadline_ms", ms(max_deadline));
    Some(tree::Tier { rank: tier::Tier(rank?), deadline, max_deadline })
}

fn read_account(reader: &mut section::Reader<'_>) -> Option<tree::Account> {
    let default = tree::Account::default();
    let api_key_sha256 = reader.optional("api_key_sha256", SHA256, parse_sha256);
    let top_tier = reader.name("top_tier");
    let share = reader.number("share", default.share, 1..=10_000, "");
    let max_open = reader.number("max_open", default.max_open, 1..=1_000_000, "requests");
    let api_key_sha256 = api_key_sha256.unwrap_or_default();
    Some(tree::Account { api_key_sha256, top_tier: top_tier?, share, max_open })
}

fn read_route(reader: &mut section::Reader<'_>) -> Option<tree::Route> {
    let default = tree::Route::default();
    let kind = reader.required("kind", KIND, parse_kind);
    let (path, model) = match kind {
        Some(request::Kind::Service) => (reader.required("path", PATH, parse_path), None),
        _ => {
            let allowed = "/v1/chat/completions, the path of model routes";
            let parse_value = |text: &str| parse_path(text).filter(|path| path == tree::CHAT_PATH);
            let path = reader.optional("path", allowed, parse_value).unwrap_or(default.path);
            let model = reader.required("model", ARGUMENT, parse_argument);
            (Some(path), model)
        }
    };
    let pool = reader.name("pool");
    let tier = reader.name("tier");
    let idempotent = reader.flag("idempotent", default.idempotent);
    let require_key = reader.flag("require_key", default.require_key);
    let max_body_bytes =
        reader.number("max_body_bytes", default.max_body_bytes, 1..=tree::MAX_BODY_BYTES, "bytes");
    Some(tree::Route {
        path: path?,
        model: model.unwrap_or_default(),
        kind: kind?,
        pool: pool?,
        tier: tier?,
        idempotent,
        require_key,
        max_body_bytes,
    })
}

fn read_pool(reader: &mut section::Reader<'_>) -> Option<tree::Pool> {
    let default = tree::Pool::default();
    let pool = tree::Pool {
        spread: reader.number("spread", default.spread, 1..=8, "agents"),
        hedge: reader.duration("hedge_ms", default.hedge, 0..=60_000),
        grant_ttl: reader.duration("grant_ttl_ms", default.grant_ttl, 10..=10_000),
        retention: reader.duration("retention_ms", default.retention, 1_000..=HOUR_MS),
        orphan_ttl: reader.duration("orphan_ttl_ms", default.orphan_ttl, 100..=HOUR_MS),
        key_ttl: reader.duration("key_ttl_ms", default.key_ttl, 1_000..=DAY_MS),
        resume_limit: reader.duration("resume_limit_ms", default.resume_limit, 100..=HOUR_MS),
        max_running: reader.number("max_running", default.max_running, 1..=4_096, "requests"),
        max_prompt_tokens: reader.number(
            "max_prompt_tokens",
            default.max_prompt_tokens,
            1..=100_000_000,
            "tokens",
        ),
        short_tokens: reader.number("short_tokens", default.short_tokens, 1..=1_000_000, "tokens"),
        short_share_percent: reader.number(
            "short_share_percent",
            default.short_share_percent,
            0..=90,
            "percent",
        ),
        prefill_tokens_per_s: reader.number(
            "prefill_tokens_per_s",
            default.prefill_tokens_per_s,
            1..=10_000_000,
            "tokens per second",
        ),
        max_queued_tokens: reader.number(
            "max_queued_tokens",
            default.max_queued_tokens,
            1..=1_000_000_000,
            "tokens",
        ),
        max_queued: reader.number("max_queued", default.max_queued, 1..=100_000, "requests"),
        max_ejected_percent: reader.number(
            "max_ejected_percent",
            default.max_ejected_percent,
            0..=33,
            "percent",
        ),
        quarantine: reader.duration("quarantine_ms", default.quarantine, 1_000..=DAY_MS),
        checks_fence: reader.flag("checks_fence", default.checks_fence),
    };
    check_pool(reader, &pool);
    Some(pool)
}

fn check_pool(reader: &mut section::Reader<'_>, pool: &tree::Pool) {
    let retention = ms(pool.retention);
    // An entry that attaches within the resume limit must still find the stream.
    check_at_most(reader, "resume_limit_ms", ms(pool.resume_limit), "retention_ms", retention);
    check_at_most(reader, "orphan_ttl_ms", ms(pool.orphan_ttl), "retention_ms", retention);
    let (short, prompt) = (u64::from(pool.short_tokens), pool.max_prompt_tokens);
    check_at_most(reader, "short_tokens", short, "max_prompt_tokens", prompt);
}

fn read_drain(reader: &mut section::Reader<'_>) -> Option<tree::Drain> {
    let parse_value = |text: &str| (text.chars().count() <= 256).then(|| to_bytes(text));
    Some(tree::Drain { reason: reader.optional("reason", TEXT, parse_value).unwrap_or_default() })
}

fn read_order(reader: &mut section::Reader<'_>) -> Option<tree::Order> {
    let actions = ["load_model", "load_adapter", "set_version", "set_role"];
    let parse_value = |text: &str| actions.contains(&text).then(|| to_bytes(text));
    let action = reader.required("action", ACTION, parse_value);
    let argument = reader.required("argument", ARGUMENT, parse_argument);
    let fence = reader.required_number("fence", 1..=u64::MAX, "");
    Some(tree::Order { action: action?, argument: argument?, fence: fence? })
}

fn read_entry(mut reader: section::Reader<'_>) -> tree::Entry {
    let default = tree::Entry::default();
    let entry = tree::Entry {
        max_open: reader.number("max_open", default.max_open, 1..=1_000_000, "requests"),
        max_held_bytes: reader.number(
            "max_held_bytes",
            default.max_held_bytes,
            1..=1 << 36,
            "bytes",
        ),
        retry_percent: reader.number("retry_percent", default.retry_percent, 0..=100, "percent"),
    };
    reader.finish();
    entry
}

/// Reports sections with different names that have the same tier rank, account key or route
/// selector.
fn check_unique(tree: &tree::Tree, report: &mut check::Report) {
    let mut ranks = BTreeMap::new();
    for (name, tier) in &tree.tiers {
        if let Some(other) = ranks.insert(tier.rank, name) {
            let allowed = format!("a rank not used by tier {}", to_text(other));
            let section = format!("tier {}", to_text(name));
            report.add(&section, "rank", &tier.rank.0.to_string(), &allowed);
        }
    }
    let mut keys = BTreeMap::new();
    for (name, account) in &tree.accounts {
        let key = &account.api_key_sha256;
        if key.is_empty() {
            continue;
        }
        if let Some(other) = keys.insert(key, name) {
            let allowed = format!("a key not used by account {}", to_text(other));
            report.add(
                &format!("account {}", to_text(name)),
                "api_key_sha256",
                &to_text(key),
                &allowed,
            );
        }
    }
    let mut selectors = BTreeMap::new();
    for (name, route) in &tree.routes {
        if let Some(other) = selectors.insert((&route.path, &route.model), name) {
            let (key, value) = selector(route);
            let allowed = format!("a value not used by route {}", to_text(other));
            report.add(&format!("route {}", to_text(name)), key, &to_text(value), &allowed);
        }
    }
}

/// Returns the key that selects a route, and its value.
pub(crate) fn selector(route: &tree::Route) -> (&'static str, &Bytes) {
    match route.kind {
        request::Kind::Model => ("model", &route.model),
        request::Kind::Service => ("path", &route.path),
    }
}

fn check_at_most(reader: &mut section::Reader<'_>, key: &str, value: u64, other: &str, limit: u64) {
    if value > limit {
        reader.report_error(key, &value.to_string(), &format!("at most {other}, which is {limit}"));
    }
}

fn parse_sha256(text: &str) -> Option<Bytes> {
    let is_hash = text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    (is_hash || text.is_empty()).then(|| Bytes::from(text.to_ascii_lowercase()))
}

fn parse_kind(text: &str) -> Option<request::Kind> {
    match text {
        "model" => Some(request::Kind::Model),
        "service" => Some(request::Kind::Service),
        _ => None,
    }
}

fn parse_path(text: &str) -> Option<Bytes> {
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && byte != b'?' && byte != b'#';
    let is_valid = text.starts_with('/') && text.len() <= 256 && text.bytes().all(is_allowed);
    is_valid.then(|| to_bytes(text))
}

fn parse_argument(text: &str) -> Option<Bytes> {
    (1..=256).contains(&text.chars().count()).then(|| to_bytes(text))
}

fn to_bytes(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}

/// Returns a name as text for errors.
pub(crate) fn to_text(name: &[u8]) -> String {
    String::from_utf8_lossy(name).into_owned()
}

fn ms(span: Duration) -> u64 {
    span.as_millis() as u64
}
