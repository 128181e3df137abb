//! Messages and status pages as recorded from version 0.1.0.

use serde::{Serialize, de::DeserializeOwned};
use wire::{Frame, frame, grant, host, key, offer, outcome, status, sync};

fn assert_unchanged<T: Serialize + DeserializeOwned>(recorded: &[u8]) {
    let message: T = frame::decode(recorded).expect("a recorded message decodes");
    assert_eq!(frame::encode(&message), recorded);
}

fn assert_json_unchanged<T: Serialize + DeserializeOwned>(recorded: &str) {
    let page: T = serde_json::from_str(recorded).expect("a recorded page decodes");
    assert_eq!(serde_json::to_string(&page).expect("a page encodes"), recorded);
}

/// Guards against a message that processes of an earlier build, running beside this one, encode
/// or decode differently.
#[test]
fn messages_keep_their_encoding() {
    assert_unchanged::<offer::Offer>(
        b"\x92\xdc\x00\x12\x92\xcf\x11\"3DUfw\x88\xcd\x01,\xa5model\xc4\x08appraise\xc4\x09appraisal\xc4\x04casa\x01\x92\x02\xce\x1d\xcde\x00\xcd#(x\xcf\xff\xff\xff\xff\xff\xff\xff\xffM\xc3\xc2\xc0\xcd\x10\x00\xc4\x04POST\xc4\x14/v1/chat/completions\xc4\x10application/json*",
    );
    assert_unchanged::<offer::Offer>(
        b"\x92\xdc\x00\x12\x92\xcf\x11\"3DUfw\x88\xcd\x01,\xa7service\xc4\x08appraise\xc4\x09appraisal\xc4\x04casa\x01\x92\x02\xce\x1d\xcde\x00\xcd#(x\xcf\xff\xff\xff\xff\xff\xff\xff\xffM\xc3\xc3\x93\xc4\x07floor-1\xcf\x11\"3DUfw\x88\x05\xcd\x10\x00\xc4\x04POST\xc4\x14/v1/chat/completions\xc4\x10application/json*",
    );
    assert_unchanged::<offer::Reply>(
        b"\x81\xa5Ready\x92\x92\x09\xce\x00\x01\x11p\x92\x00\xce\x0e\xe6\xb2\x80",
    );
    assert_unchanged::<Vec<outcome::Reason>>(
        b"\xdc\x00\x18\xabbad_request\xa8no_route\xafunknown_account\xa9too_large\xa9not_ready\xa8overload\xa9displaced\xadaccount_limit\xa8deadline\xa7leaving\xaano_backend\xadgrant_expired\xb3backend_unreachable\xafbackend_crashed\xaebackend_silent\xaaagent_lost\xaeagent_replaced\xa7suspect\xa6poison\xa7bad_key\xabkey_expired\xaakey_in_use\xabcaller_gone\xa7corrupt",
    );
    assert_unchanged::<Vec<outcome::Step>>(
        b"\x98\xa8received\xafqueued_at_entry\xa7offered\xafqueued_at_agent\xa7granted\xaadispatched\xaamid_stream\xa8answered",
    );
    assert_unchanged::<Vec<outcome::Outcome>>(b"\x93\xa7not_run\xaaincomplete\xa7unknown");
    assert_unchanged::<offer::Reply>(
        b"\x81\xa7Refused\x95\xa7not_run\xafqueued_at_agent\xa8overload\xc4\x07floor-1\x92\x01\xce\x0b\xeb\xc2\x00",
    );
    assert_unchanged::<Result<key::Key, outcome::Refusal>>(
        b"\x81\xa2Ok\x93\xc4\x07floor-1\xcf\x11\"3DUfw\x88\x05",
    );
    assert_unchanged::<Result<key::Key, outcome::Refusal>>(
        b"\x81\xa3Err\x95\xa7not_run\xafqueued_at_agent\xa8overload\xc4\x07floor-1\x92\x01\xce\x0b\xeb\xc2\x00",
    );
    assert_unchanged::<grant::Commit>(
        b"\x92\x92\x09\xce\x00\x01\x11p\x92\xcf\x11\"3DUfw\x88\xcd\x01,",
    );
    assert_unchanged::<grant::Attach>(b"\x95\x92\x09\xce\x00\x01\x11p\x92\xcf\x11\"3DUfw\x88\xcd\x01,\xce\x00\x01\x00\x00\x03\xc3");
    assert_unchanged::<Frame>(
        b"\x93\x92\xcf\x11\"3DUfw\x88\xcd\x01,\x92\x09\xce\x00\x01\x11p\x81\xa7Started\x92\xcc\xc8\xc4\x11text/event-stream",
    );
    assert_unchanged::<Frame>(
        b"\x93\x92\xcf\x11\"3DUfw\x88\xcd\x01,\x92\x09\xce\x00\x01\x11p\x81\xa4Data\x92\x0c\xc4\x09data: x\x0a\x0a",
    );
    assert_unchanged::<Frame>(b"\x93\x92\xcf\x11\"3DUfw\x88\xcd\x01,\x92\x09\xce\x00\x01\x11p\x81\xa3End\x92\x15\xce\xde\xad\xbe\xef");
    assert_unchanged::<Frame>(
        b"\x93\x92\xcf\x11\"3DUfw\x88\xcd\x01,\x92\x09\xce\x00\x01\x11p\x81\xa7Refused\x95\xa7not_run\xafqueued_at_agent\xa8overload\xc4\x07floor-1\x92\x01\xce\x0b\xeb\xc2\x00",
    );
    assert_unchanged::<sync::Exchange>(
        b"\x96\xcf\x11\"3DUfw\x88\xc4\x06sala-1\x92\x92\xc4\x06@hosts\x07\x92\xc4\x0dauction/tiers\xcf\x00\x00\x01\x00\x00\x00\x00\x00\x91\x93\xc4\x0dauction/tiers\xcf\x00\x00\x01\x00\x00\x00\x00\x00\xc4\x16[tier floor]\x0arank = 0\x0a\x91\xc4\x0eauction/routes\x92\x93\x01\x02\xc2\x93\x03\xcf\xff\xff\xff\xff\xff\xff\xff\xff\xc3",
    );
}

/// Guards against a field of a status page that changes its name.
#[test]
fn status_pages_keep_their_fields() {
    assert_json_unchanged::<status::Status>(
        r#"{"host":"floor-1","role":"agent","availability_zone":"popayan-a","process":"1f","version":"0.1.0","ready":true,"stopping":true,"leaving":true,"revisions":{"auction/tiers":3},"refused_revisions":{"auction/routes":"bad"},"queued":{"1":4},"running":5,"hosts":[{"host":"sala-1","role":"entry","address":"10.0.0.1:1","availability_zone":"popayan-b","pool":"floor","leaving":true,"ejected":true,"ready_ms_p50":1.5}],"quarantined":[{"fingerprint":"ff","crashes":2,"seconds_left":9}],"counters":{"queued":6}}"#,
    );
    assert_json_unchanged::<Vec<status::Trace>>(
        r#"[{"at_us":1,"host":"h","step":"offered","event":"queued","peer":"p"}]"#,
    );
    assert_json_unchanged::<Vec<status::Histogram>>(
        r#"[{"name":"total_ms","account":"casa","tier":"floor","count":1,"p50":1.0,"p95":2.0,"p99":3.0,"max":4.0}]"#,
    );
    assert_json_unchanged::<Vec<host::Record>>(
        r#"[{"host":[102,108,111,111,114,45,49],"role":"agent","address":"10.1.0.11:7000","availability_zone":[112,111,112,97,121,97,110,45,97],"pool":[102,108,111,111,114],"speed":250,"state":"live"},{"host":[115,97,108,97,45,49],"role":"entry","address":"10.1.0.12:7000","availability_zone":[112,111,112,97,121,97,110,45,98],"pool":[],"speed":100,"state":"leaving"}]"#,
    );
}
