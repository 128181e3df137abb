//! Ports that refuse connections for a time.

use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    time::Duration,
};

use stand::port::{Controller, Port};

const POLL_PERIOD: Duration = Duration::from_millis(2);

async fn wait_until(is_met: impl Fn() -> bool) {
    while !is_met() {
        compio::time::sleep(POLL_PERIOD).await;
    }
}

/// Guards against a closed port that the system gives to another process, whose server then gets the
/// requests for this one.
#[compio::test]
async fn a_closed_port_is_not_given_to_others() {
    let controller = Rc::new(Controller::default());
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let port = Port::open(any, controller.clone(), |_, _| async {}).expect("a port");
    let address = port.address();
    for _ in 0..3 {
        controller.set_closed(true);
        wait_until(|| TcpStream::connect(address).is_err()).await;
        assert!(TcpStream::connect(address).is_err(), "connections are refused");
        let socket = rustix::net::socket(
            rustix::net::AddressFamily::INET,
            rustix::net::SocketType::STREAM,
            None,
        );
        let bound = rustix::net::bind(socket.expect("a socket"), &address);
        assert!(bound.is_err(), "the port is free for others");
        controller.set_closed(false);
        wait_until(|| TcpStream::connect(address).is_ok()).await;
        assert!(TcpListener::bind(address).is_err(), "the port is in use");
    }
}
