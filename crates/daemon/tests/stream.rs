//! Ends of a streamed response body.

use bytes::Bytes;
use daemon::stream;
use futures_util::StreamExt;

/// Guards against a response that looks complete, since its sender was dropped on a path that ends
/// neither way: a cancelled task, a closed link or an early return.
#[compio::test]
async fn a_body_without_its_end_is_truncated() {
    let (sender, mut receiver) = stream::channel(None);
    assert!(sender.send(Bytes::from_static(b"part")));
    drop(sender);
    assert_eq!(receiver.next().await.expect("a part").expect("bytes"), "part");
    assert!(receiver.next().await.expect("an error").is_err());
    assert!(receiver.next().await.is_none());
}

/// Guards against a complete response that looks truncated.
#[compio::test]
async fn a_finished_body_is_complete() {
    let (sender, mut receiver) = stream::channel(None);
    assert!(sender.send(Bytes::from_static(b"part")));
    sender.finish();
    assert_eq!(receiver.next().await.expect("a part").expect("bytes"), "part");
    assert!(receiver.next().await.is_none());
    assert!(receiver.next().await.is_none());
}
