//! What gateways tell each other.

mod common;

use common::{World, request};
use gate::{Action, message};

fn message(process: u64, sequence: u64) -> message::Message {
    let from = Some(([127, 0, 0, 9], 1).into());
    message::Message { process, from, sequence, ..message::Message::default() }
}

/// Takes the messages that were sent to the peer.
fn told(world: &mut World) -> Vec<message::Message> {
    let actions = std::mem::take(&mut world.actions);
    let told = actions.into_iter().filter_map(|action| match action {
        Action::Send { to, datagram: message::Datagram::State(message) }
            if to == ([127, 0, 0, 9], 1).into() =>
        {
            Some(*message)
        }
        _ => None,
    });
    told.collect()
}

/// Guards against started gateways that know their seeds only, take themselves for all there
/// are and grant quotas that were used: on a grown site eight of 32 did so for half a second.
#[test]
fn a_started_process_is_told_everything_at_once() {
    let mut world = World::with_replicas(common::MODEL, 1);
    world.arrive(request("essay"));
    let mut other = message(5, 1);
    other.from = Some(([127, 0, 0, 8], 1).into());
    world.feed(gate::Event::StateReceived(other));
    world.actions.clear();
    world.feed(gate::Event::StateReceived(message(2, 1)));
    let first = told(&mut world);
    assert_eq!(first.len(), 1);
    assert!(first[0].history.is_some(), "what the window's usage is");
    assert!(first[0].peers.contains(&([127, 0, 0, 8], 1).into()), "who else there is");
    world.feed(gate::Event::StateReceived(message(2, 2)));
    assert!(told(&mut world).is_empty(), "told once");
    world.feed(gate::Event::StateReceived(message(3, 1)));
    let again = told(&mut world);
    assert_eq!(again.len(), 1, "a process in its place");
    assert!(again[0].sequence > first[0].sequence);
}

/// Guards against a history from a process that does not know the window itself.
#[test]
fn an_incomplete_window_is_not_told() {
    let mut world = World::empty(common::options(1, false));
    world.feed(gate::Event::StateReceived(message(2, 1)));
    assert!(told(&mut world)[0].history.is_none());
}
