//! Commits that arrive with a truncated body, twice, or late at an agent.

mod cluster;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use cluster::{Cluster, chat_body, expected_response};
use daemon::peer;
use futures_util::StreamExt;
use wire::{
    frame::Body,
    grant::{Attach, Commit},
    id, offer,
    outcome::Outcome,
    request, tier,
};

/// A process that sends requests to one agent as an entry does.
struct Peer {
    client: peer::Client,
    agent: SocketAddr,
}

impl Peer {
    /// Offers a request and returns the commit for its grant.
    async fn reserve(&self, seq: u64, body: &[u8]) -> Commit {
        let request = id::Request { process: id::Process(77), seq };
        let head = request::Head {
            request,
            kind: request::Kind::Model,
            route: Bytes::from_static(b"appraise"),
            pool: Bytes::from_static(b"appraisal"),
            account: Bytes::from_static(b"casa"),
            tier: tier::Tier(0),
            remaining: Duration::from_secs(60),
            prompt_tokens: 8,
            output_tokens: 8,
            fingerprint: seq,
            affinity: seq,
            idempotent: true,
            beyond_spread: false,
            key: None,
            body_len: body.len() as u64,
            method: Bytes::from_static(b"POST"),
            path: Bytes::from_static(b"/v1/chat/completions"),
            content_type: Bytes::from_static(b"application/json"),
        };
        let offer = offer::Offer { head, settings: 0 };
        let (limit, most) = (cluster::WAIT_LIMIT, peer::MAX_SHORT_REPLY_BYTES);
        let reply = self.client.exchange(self.agent, "/offer", &offer, limit, most).await;
        match reply.expect("a reply") {
            offer::Reply::Ready { grant, .. } => Commit { grant, request },
            offer::Reply::Refused(refusal) => panic!("{refusal:?}"),
        }
    }

    /// Sends a commit and returns the body of the last frame with the bytes before it.
    async fn commit(&self, commit: &Commit, body: &Bytes) -> (Body, Vec<u8>) {
        let frames = self.client.commit(self.agent, commit, body, None).await.expect("a stream");
        read(frames).await
    }
}

async fn read(
    frames: impl futures_util::Stream<Item = Result<wire::Frame, daemon::Error>>,
) -> (Body, Vec<u8>) {
    let mut frames = Box::pin(frames);
    let mut bytes = Vec::new();
    while let Some(frame) = frames.next().await {
        match frame.expect("a frame").body {
            Body::Started { .. } => {}
            Body::Data { bytes: part, .. } => bytes.extend_from_slice(&part),
            last => return (last, bytes),
        }
    }
    panic!("the stream ended without its last frame");
}

fn assert_not_run(last: &Body) {
    assert!(
        matches!(last, Body::Refused(refusal) if refusal.outcome == Outcome::NotRun),
        "{last:?}"
    );
}

/// Guards against a grant that is used twice, after it expired, or with a truncated body, and
/// against a refused grant that is accepted on a second attempt.
#[test]
fn a_grant_accepts_one_complete_commit_in_time() {
    cluster::run(0, 1, 0, async |cluster: &mut Cluster| {
        let agent = cluster.agents[0].peers;
        let peer = Peer { client: peer::Client::new(agent), agent };

        let body = chat_body("twice", 8, true);
        let commit = peer.reserve(1, &body).await;
        for _ in 0..2 {
            let (last, bytes) = peer.commit(&commit, &body).await;
            assert!(matches!(last, Body::End { .. }), "{last:?}");
            assert_eq!(bytes, expected_response(&body));
        }
        let attach = Attach {
            grant: commit.grant,
            request: commit.request,
            offset: 10,
            fingerprint: 0,
            resumable: true,
        };
        let frames = peer.client.attach(agent, &attach, None).await.expect("a stream");
        assert_eq!(read(frames).await.1, expected_response(&body)[10..]);
        assert_eq!(cluster.runs(&body).len(), 1);

        let body = chat_body("late", 8, true);
        let commit = peer.reserve(2, &body).await;
        cluster.wait_for(&cluster.agents[0], "idle", |status| status.running == 0).await;
        for _ in 0..2 {
            assert_not_run(&peer.commit(&commit, &body).await.0);
        }
        assert_eq!(cluster.runs(&body).len(), 0);

        // This body is valid, but it is not the one that was offered.
        let body = chat_body("short", 8, true);
        let commit = peer.reserve(3, &[&body[..], b" "].concat()).await;
        assert_not_run(&peer.commit(&commit, &body).await.0);
        assert_eq!(cluster.runs(&body).len(), 0, "a body of another length ran");
    });
}
