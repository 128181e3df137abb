//! Responses for which the process has no room left.

use bytes::Bytes;
use conf::resources::Resources;
use daemon::{
    caller::{Caller, Delivery, Registry},
    http,
};
use http_body_util::BodyExt;

const MIB: usize = 1 << 20;
/// Connections that have taken all memory.
const OTHERS: usize = 31;

async fn deliver(caller: &Caller, body: http::Body) -> Option<Bytes> {
    Delivery::new(body, caller.clone())
        .collect()
        .await
        .ok()
        .map(http_body_util::Collected::to_bytes)
}

/// Guards against a caller that gets a closed connection instead of a refusal, since others have taken
/// all memory.
#[compio::test]
async fn a_short_response_is_delivered_without_room() {
    let resources = Resources { memory: Some(16 * MIB as u64), descriptors: Some(64) };
    let registry = Registry::new(resources);
    let (caller, _) = registry.open().expect("there is room");
    caller.begin_answer();
    // Connections that take little can take all there is together.
    let others: Vec<Caller> =
        (0..OTHERS).map(|_| registry.open().expect("there is room").0).collect();
    for other in &others {
        other.begin_answer();
        let _ = other.take(192 << 10);
    }
    while others.iter().any(|other| other.take(1).is_ok()) {}
    let (used, _) = registry.usage();
    let short =
        http::buffered(502, "application/json", Bytes::from_static(b"{\"error\":\"lost\"}"));
    let delivered = deliver(&caller, short.into_body()).await;
    assert_eq!(delivered.as_deref(), Some(&b"{\"error\":\"lost\"}"[..]));
    assert_eq!(registry.usage().0, used, "nothing is taken or given back for it");
    let long = http::buffered(200, "text/plain", vec![b'x'; MIB].into());
    assert_eq!(deliver(&caller, long.into_body()).await, None, "a long one has no room");
}
