//! Messages and status pages as recorded from version 0.1.0.

use serde::{Serialize, de::DeserializeOwned};
use wire::{Frame, frame, grant, host, key, offer, outcome, status, sync};

/// Returns the bytes of a hexadecimal text.
fn bytes(hex: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("two digits");
    (0..hex.len()).step_by(2).map(digits).collect()
}

fn assert_unchanged<T: Serialize + DeserializeOwned>(recorded: &str) {
    let recorded = bytes(recorded);
    let message: T = frame::decode(&recorded).expect("a recorded message decodes");
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
        "92dc001292cf1122334455667788cd012ca56d6f64656cc4086170707261697365c40961707072616973616cc40463617361019202ce1dcd6500cd232878cfffffffffffffffff4dc3c2c0cd1000c404504f5354c4142f76312f636861742f636f6d706c6574696f6e73c4106170706c69636174696f6e2f6a736f6e2a",
    );
    assert_unchanged::<offer::Offer>(
        "92dc001292cf1122334455667788cd012ca773657276696365c4086170707261697365c40961707072616973616cc40463617361019202ce1dcd6500cd232878cfffffffffffffffff4dc3c393c407666c6f6f722d31cf112233445566778805cd1000c404504f5354c4142f76312f636861742f636f6d706c6574696f6e73c4106170706c69636174696f6e2f6a736f6e2a",
    );
    assert_unchanged::<offer::Reply>("81a55265616479929209ce000111709200ce0ee6b280");
    assert_unchanged::<Vec<outcome::Reason>>(
        "dc0018ab6261645f72657175657374a86e6f5f726f757465af756e6b6e6f776e5f6163636f756e74a9746f6f5f6c61726765a96e6f745f7265616479a86f7665726c6f6164a9646973706c61636564ad6163636f756e745f6c696d6974a8646561646c696e65a76c656176696e67aa6e6f5f6261636b656e64ad6772616e745f65787069726564b36261636b656e645f756e726561636861626c65af6261636b656e645f63726173686564ae6261636b656e645f73696c656e74aa6167656e745f6c6f7374ae6167656e745f7265706c61636564a773757370656374a6706f69736f6ea76261645f6b6579ab6b65795f65787069726564aa6b65795f696e5f757365ab63616c6c65725f676f6e65a7636f7272757074",
    );
    assert_unchanged::<Vec<outcome::Step>>(
        "98a87265636569766564af7175657565645f61745f656e747279a76f666665726564af7175657565645f61745f6167656e74a76772616e746564aa64697370617463686564aa6d69645f73747265616da8616e737765726564",
    );
    assert_unchanged::<Vec<outcome::Outcome>>(
        "93a76e6f745f72756eaa696e636f6d706c657465a7756e6b6e6f776e",
    );
    assert_unchanged::<offer::Reply>(
        "81a75265667573656495a76e6f745f72756eaf7175657565645f61745f6167656e74a86f7665726c6f6164c407666c6f6f722d319201ce0bebc200",
    );
    assert_unchanged::<Result<key::Key, outcome::Refusal>>(
        "81a24f6b93c407666c6f6f722d31cf112233445566778805",
    );
    assert_unchanged::<Result<key::Key, outcome::Refusal>>(
        "81a345727295a76e6f745f72756eaf7175657565645f61745f6167656e74a86f7665726c6f6164c407666c6f6f722d319201ce0bebc200",
    );
    assert_unchanged::<grant::Commit>("929209ce0001117092cf1122334455667788cd012c");
    assert_unchanged::<grant::Attach>("959209ce0001117092cf1122334455667788cd012cce0001000003c3");
    assert_unchanged::<Frame>(
        "9392cf1122334455667788cd012c9209ce0001117081a75374617274656492ccc8c411746578742f6576656e742d73747265616d",
    );
    assert_unchanged::<Frame>(
        "9392cf1122334455667788cd012c9209ce0001117081a444617461920cc409646174613a20780a0a",
    );
    assert_unchanged::<Frame>("9392cf1122334455667788cd012c9209ce0001117081a3456e649215cedeadbeef");
    assert_unchanged::<Frame>(
        "9392cf1122334455667788cd012c9209ce0001117081a75265667573656495a76e6f745f72756eaf7175657565645f61745f6167656e74a86f7665726c6f6164c407666c6f6f722d319201ce0bebc200",
    );
    assert_unchanged::<sync::Exchange>(
        "96cf1122334455667788c40673616c612d319292c40640686f7374730792c40d61756374696f6e2f7469657273cf00000100000000009193c40d61756374696f6e2f7469657273cf0000010000000000c4165b7469657220666c6f6f725d0a72616e6b203d20300a91c40e61756374696f6e2f726f7574657392930102c29303cfffffffffffffffffc3",
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
