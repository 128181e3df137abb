//! The bound of streamed bodies.

use bytes::Bytes;
use compio::runtime;
use daemon::{http::Aborted, stream};
use futures_util::StreamExt;

/// Guards against memory that grows without bound for a reader that stands still, and against
/// a body that looks whole after parts of it were dropped.
#[test]
fn a_reader_that_stands_still_is_cut() {
    let runtime = runtime::Runtime::new().expect("the runtime starts");
    let part = Bytes::from(vec![7; 1 << 16]);
    let (sender, mut receiver) = stream::channel();
    let mut sent = 0;
    while sender.send(part.clone()) {
        sent += part.len();
        assert!(sent <= stream::MAX_UNREAD_BYTES + part.len());
    }
    // A part read makes room again.
    let read = runtime.block_on(receiver.next()).expect("a part").expect("bytes");
    assert!(sender.send(read));
    assert!(!sender.send(part.clone()));
    sender.abort();
    let rest: Vec<_> = runtime.block_on(receiver.collect());
    assert_eq!(rest.iter().flatten().map(Bytes::len).sum::<usize>(), sent);
    assert!(matches!(rest.last(), Some(Err(Aborted))), "the body ended as if whole");
}
