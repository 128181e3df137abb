//! Messages between gateways.

mod common;

use common::{TestGateway, request};
use gate::{Action, message};

fn message(process: u64, sequence: u64) -> message::Message {
    let from = Some(([127, 0, 0, 9], 1).into());
    message::Message { process, from, sequence, ..message::Message::default() }
}

/// Removes and returns the states that were sent to the peer.
fn sent_states(gateway: &mut TestGateway) -> Vec<message::Message> {
    let actions = std::mem::take(&mut gateway.actions);
    let states = actions.into_iter().filter_map(|action| match action {
        Action::Send { to, datagram: message::Datagram::State(message) }
            if to == ([127, 0, 0, 9], 1).into() =>
        {
            Some(*message)
        }
        _ => None,
    });
    states.collect()
}

/// Guards against started gateways that have only their seeds as peers, count no others and admit
/// quotas that were used: in a large deployment 8 of 32 gateways did so for half a second.
#[test]
fn a_started_process_gets_the_whole_state_at_once() {
    let mut gateway = TestGateway::with_backends(common::MODEL, 1);
    gateway.arrive(request("essay"));
    let mut other = message(5, 1);
    other.from = Some(([127, 0, 0, 8], 1).into());
    gateway.feed(gate::Event::StateReceived(other));
    gateway.actions.clear();
    gateway.feed(gate::Event::StateReceived(message(2, 1)));
    let first = sent_states(&mut gateway);
    assert_eq!(first.len(), 1);
    assert!(first[0].history.is_some(), "usage of the window");
    assert!(first[0].peers.contains(&([127, 0, 0, 8], 1).into()), "addresses of other gateways");
    gateway.feed(gate::Event::StateReceived(message(2, 2)));
    assert!(sent_states(&mut gateway).is_empty(), "sent once");
    gateway.feed(gate::Event::StateReceived(message(3, 1)));
    let again = sent_states(&mut gateway);
    assert_eq!(again.len(), 1, "another process with the same address");
    assert!(again[0].sequence > first[0].sequence);
}

/// Guards against a history from a process that does not have the usage of the whole window.
#[test]
fn an_incomplete_history_is_not_sent() {
    let mut gateway = TestGateway::empty(common::setup(1, false));
    gateway.feed(gate::Event::StateReceived(message(2, 1)));
    assert!(sent_states(&mut gateway)[0].history.is_none());
}
