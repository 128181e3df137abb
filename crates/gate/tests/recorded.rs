//! Messages between gateways as recorded from version 0.1.0.

use gate::message::Datagram;
use wire::frame;

/// Returns the bytes of a hexadecimal text.
fn bytes(hex: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("two digits");
    (0..hex.len()).step_by(2).map(digits).collect()
}

/// Guards against a change of the encoding: gateways of an earlier build may run beside this one.
#[test]
fn messages_keep_their_encoding() {
    let recorded = [
        "81a341736b93cf000001000000000081a2563492940a010019cd1db0cd012c",
        "81a6416e737765729401cd012d9201ce0ee6b2809293c40d736572766572732f6c6f742d31c4046533303dc293c40d736572766572732f6c6f742d32c400c3",
        "81a6416e737765729402cd012d9200cd4268c0",
        "81a553746174659d00c000c0c290909092000090c09090",
        "81a553746174659dcfffffffffffffffff81a2563492940a010019cd1db04d93cd012d9200ce02625a00c3c39193cedeadbeef09ce000111709192cedeadbeef93ca3e800000ca41480000289192cf000400000000000003923d009192cf1000000000000000cb40934a00000000009192cf100000000000000093ca3f800000ca00000000ca40200000919263029281a2563492940a010019cd1db081a2563492940a020011cd1db0",
    ];
    for hex in recorded {
        let recorded = bytes(hex);
        let datagram: Datagram = frame::decode(&recorded).expect("a recorded message decodes");
        assert_eq!(frame::encode(&datagram), recorded, "{datagram:?}");
    }
}
