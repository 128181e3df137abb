//! Positions in event streams.

use quickcheck::quickcheck;
use wire::event_stream::{Scanned, Scanner, is_event_stream};

fn scan(text: &str) -> (Scanned, bool) {
    let mut scanner = Scanner::default();
    (scanner.scan(text.as_bytes()), scanner.is_inside_event())
}

/// Guards against a whole stream that counts as broken because of how its lines end, or because of
/// comments or empty lines after its last event.
#[test]
fn whole_streams_end_between_events() {
    for (text, events) in [
        ("", 0),
        ("id: 1\ndata: x\n\n", 1),
        ("id: 1\r\ndata: x\r\n\r\nid: 2\r\n\r\n", 2),
        ("id: 1\rdata: x\r\r", 1),
        ("data: x\n\n\n\n", 1),
        ("data: x\n\n: bye\n", 1),
        (": hello\n\ndata: x\n\n", 1),
        ("data: x\r\n\n", 1),
        ("data: x\n\r\n", 1),
    ] {
        let (scanned, is_inside_event) = scan(text);
        assert_eq!((scanned.events, is_inside_event), (events, false), "{text:?}");
    }
}

/// Guards against a stream that was broken off inside an event and counts as complete.
#[test]
fn streams_cut_inside_an_event_are_recognised() {
    for (text, len) in [
        ("d", 0),
        ("data: x", 0),
        ("data: x\n", 0),
        ("data: x\r\n", 0),
        ("data: x\r", 0),
        ("data: x\n\nid: 2\n", 9),
        ("data: x\r\n\r\nid: 2\r\n", 11),
        ("data: x\n\n: by", 9),
        (": hello\ndata: x\n", 0),
    ] {
        let (scanned, is_inside_event) = scan(text);
        assert_eq!((scanned.len, is_inside_event), (len, true), "{text:?}");
    }
}

/// Guards against a content type that is not recognised because of its case or parameters.
#[test]
fn content_types_are_recognised() {
    assert!(is_event_stream(b"text/event-stream"));
    assert!(is_event_stream(b"Text/Event-Stream; charset=utf-8"));
    assert!(!is_event_stream(b"application/json"));
    assert!(!is_event_stream(b""));
}

quickcheck! {
    /// Guards against a result that depends on how the bytes are divided among reads.
    fn divided_reads_give_the_same_result(choices: Vec<u8>, at: usize) -> bool {
        let text: Vec<u8> = choices.iter().map(|n| b"\n\r:dx"[usize::from(*n) % 5]).collect();
        let at = at % (text.len() + 1);
        let (mut whole, mut divided) = (Scanner::default(), Scanner::default());
        let expected = whole.scan(&text);
        let (first, second) = (divided.scan(&text[..at]), divided.scan(&text[at..]));
        let len = if second.len > 0 { at + second.len } else { first.len };
        expected == Scanned { len, events: first.events + second.events }
            && whole.is_inside_event() == divided.is_inside_event()
    }
}
