//! Large values in replies between gateways.

use std::time::Duration;

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use daemon::gateway::delta::Values;
use gate::message::{Reply, StoreEntry};
use wire::frame;

/// Routes of a configuration before it grows, and those that are added.
const ROUTES: usize = 2_850;
const ADDED_ROUTES: usize = 1_400;

/// Returns a configuration whose routes have random names.
fn config(version: u32, routes: usize) -> String {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut word = |len: usize| -> String { (0..len).map(|_| rng.lowercase()).collect() };
    let routes: Vec<String> = (0..routes)
        .map(|_| {
            let (name, host, prefix) = (word(8), word(6), word(7));
            format!(
                r#"{{"name":"{name}","host":"{host}.example","pathPrefix":"/{prefix}/","kind":"safe","timeoutMs":2000,"goalMs":300,"priority":2,"service":"s","maxAttempts":2}}"#
            )
        })
        .collect();
    format!(r#"{{"version":{version},"routes":[{}],"services":[]}}"#, routes.join(","))
}

fn entry(value: impl Into<Bytes>) -> StoreEntry {
    StoreEntry { key: "configuration".into(), value: value.into(), deleted: false }
}

fn stored(text: &str) -> StoreEntry {
    entry(STANDARD.encode(text))
}

fn reply(entry: StoreEntry) -> Reply {
    Reply { token: 7, revision: 12, age: Duration::from_millis(3), entries: Some(vec![entry]) }
}

/// Sends a reply between two gateways and returns its size, if it is received as it was sent.
fn transfer(sender: &Values, receiver: &Values, reply: &Reply) -> Option<usize> {
    let encoded = sender.encode(reply.clone(), &receiver.hashes()).expect("a reply");
    let received = receiver.decode(&encoded).ok()?;
    assert_eq!(received, *reply);
    Some(encoded.len())
}

/// Guards against configurations that pass the links of small hosts as a whole for each change.
#[test]
fn only_what_changed_of_a_large_value_is_sent() {
    let (sender, receiver) = (Values::default(), Values::default());
    let before = stored(&config(9, ROUTES));
    sender.keep(std::slice::from_ref(&before));
    receiver.keep(std::slice::from_ref(&before));
    let grown = stored(&config(11, ROUTES + ADDED_ROUTES));
    sender.keep(std::slice::from_ref(&grown));
    let size = transfer(&sender, &receiver, &reply(grown.clone())).expect("a reply");
    let added = grown.value.len() - before.value.len();
    assert!(size < added / 5, "{size} bytes for {added} more");
    receiver.keep(std::slice::from_ref(&grown));
    let renumbered = stored(&config(15, ROUTES + ADDED_ROUTES));
    let size = transfer(&sender, &receiver, &reply(renumbered)).expect("a reply");
    assert!(size < 1_000, "{size} bytes for another version number");
}

/// Guards against a gateway that has just started and gets nothing, since it has no former value.
#[test]
fn a_receiver_without_the_former_value_gets_the_whole_one() {
    let (sender, receiver) = (Values::default(), Values::default());
    let value = stored(&config(9, ROUTES));
    let size = transfer(&sender, &receiver, &reply(value.clone())).expect("a reply");
    assert!(size < value.value.len() / 5, "{size} of {} bytes", value.value.len());
    receiver.keep(&[stored(&config(8, ROUTES))]);
    assert!(transfer(&sender, &receiver, &reply(value)).is_some(), "an unknown former value");
}

/// Guards against values that are changed on the way: small ones, and those in another encoding.
#[test]
fn other_values_are_sent_as_they_are() {
    let (sender, receiver) = (Values::default(), Values::default());
    for value in ["", "c21hbGw=", "no base64"] {
        let value = Bytes::from(value.repeat(1 + usize::from(value.starts_with('n')) * 2_000));
        assert!(transfer(&sender, &receiver, &reply(entry(value))).is_some());
    }
    let none = Reply { entries: None, ..reply(entry("")) };
    assert!(transfer(&sender, &receiver, &none).is_some());
}

/// Guards against a wrong value in place of one that the receiver no longer keeps.
#[test]
fn a_difference_from_an_unknown_value_is_refused() {
    let (sender, receiver) = (Values::default(), Values::default());
    let before = stored(&config(9, ROUTES));
    sender.keep(std::slice::from_ref(&before));
    receiver.keep(std::slice::from_ref(&before));
    let reply = reply(stored(&config(11, ROUTES)));
    let encoded = sender.encode(reply, &receiver.hashes()).expect("a reply");
    for version in 0..3 {
        receiver.keep(&[stored(&config(version, ROUTES))]);
    }
    assert!(receiver.decode(&encoded).is_err());
}

/// Guards against a value that takes all memory when it is decompressed.
#[test]
fn a_value_that_is_too_large_is_refused() {
    let sender = Values::default();
    let encoded = sender.encode(reply(stored(&"x".repeat(9 << 20))), &[]).expect("a reply");
    assert!(encoded.len() < 64 << 10);
    assert!(Values::default().decode(&encoded).is_err());
}

/// Guards against the records of hundreds of servers that take the links for seconds, for example
/// when a region comes back.
#[test]
fn many_small_values_are_compressed() {
    let mut rng = fastrand::Rng::with_seed(1);
    let entries: Vec<StoreEntry> = (0..1_200)
        .map(|n| {
            let id = rng.u32(..);
            let record = format!(
                r#"{{"service":"tasador-ia","address":"10.{}.64.{}:8022","zone":"bodega-norte","version":"1","slots":9,"state":"ready","warmupLeftMs":0,"seq":{n},"born":1766944{}}}"#,
                n / 250,
                n % 250,
                rng.u32(100_000..999_999),
            );
            let key = format!("servers/i-{id:08x}").into();
            StoreEntry { key, value: STANDARD.encode(record).into(), deleted: false }
        })
        .collect();
    let plain = frame::encode(&entries).len();
    let reply = Reply { entries: Some(entries), ..reply(entry("")) };
    let size = transfer(&Values::default(), &Values::default(), &reply).expect("a reply");
    assert!(size < plain / 8, "{size} of {plain} bytes");
}

/// Guards against a reply whose values are small when compressed, each within its bound, and together
/// take the memory of the process.
#[test]
fn values_that_grow_together_are_bounded() {
    let (sender, receiver) = (Values::default(), Values::default());
    let large = stored(&" ".repeat(1 << 20));
    for (count, is_accepted) in [(4, true), (12, true), (64, false)] {
        let entries = Some(vec![large.clone(); count]);
        let reply = Reply { entries, ..reply(large.clone()) };
        let encoded = sender.encode(reply, &[]).expect("a reply");
        assert!(encoded.len() < 64 << 10, "{} bytes", encoded.len());
        assert_eq!(receiver.decode(&encoded).is_ok(), is_accepted, "{count} values");
    }
}
