//! The codec of messages between processes, and the text form of keys.

use bytes::Bytes;
use wire::{Frame, frame, id, key};

fn frame_with(bytes: &'static [u8]) -> Frame {
    let process = id::Process(7);
    Frame {
        request: id::Request { process, seq: 1 },
        grant: id::Grant { process, seq: 2 },
        body: frame::Body::Data { offset: 3, bytes: Bytes::from_static(bytes) },
    }
}

/// Guards against frames that are lost or merged when the stream arrives in two parts, split at
/// any byte.
#[test]
fn frames_are_decoded_after_any_split() {
    let sent = [frame_with(b"first"), frame_with(b""), frame_with(b"third")];
    let stream: Vec<u8> = sent.iter().flat_map(frame::encode_delimited).collect();
    for split in 0..stream.len() {
        let mut reader = frame::Reader::default();
        let mut received = Vec::new();
        for part in [&stream[..split], &stream[split..]] {
            reader.push(part);
            while let Some(frame) = reader.read::<Frame>().unwrap() {
                received.push(frame);
            }
        }
        assert_eq!(received, sent, "split at byte {split}");
    }
}

/// Guards against unbounded memory use after a corrupt length.
#[test]
fn an_oversized_length_is_an_error() {
    let mut reader = frame::Reader::default();
    reader.push(&u32::MAX.to_be_bytes());
    assert!(reader.read::<Frame>().is_err());
}

/// Guards against keys that name another process after formatting and parsing.
#[test]
fn keys_are_equal_after_formatting_and_parsing() {
    let key = key::Key { host: Bytes::from("floor.1"), process: id::Process(u64::MAX), seq: 9 };
    assert_eq!(key.to_string().parse(), Ok(key));
    for text in ["", ".", "a.x.1", ".1.2", "0123", "host.1"] {
        assert!(text.parse::<key::Key>().is_err(), "{text:?}");
    }
}
