//! A listening port that can be closed and reopened, and whose connections can be dropped.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    io,
    net::{self, SocketAddr},
    os::fd::{AsFd, OwnedFd},
    pin::pin,
    rc::Rc,
    time::Duration,
};

use compio::{
    net::{TcpListener, TcpStream},
    runtime::JoinHandle,
    time,
};
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use rustix::net::{AddressFamily, SocketType, sockopt};

use crate::signal::Signal;

/// Delay before a failed bind or accept is retried.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Opens and closes a port and drops its connections; shared by the port's owner and its
/// accept loop.
#[derive(Debug, Default)]
pub struct Controller {
    closed: Cell<bool>,
    changed: Signal,
    next_id: Cell<u64>,
    /// Identifiers of the open connections; dropping a sender ends its connection.
    connections: RefCell<Vec<(u64, oneshot::Sender<()>)>>,
}

impl Controller {
    /// Drops all connections.
    pub fn drop_connections(&self) {
        self.connections.take();
    }

    /// Opens or closes the port; a closed port refuses connections.
    pub fn set_closed(&self, closed: bool) {
        self.closed.set(closed);
        self.changed.notify();
    }

    /// Drops all connections and refuses new ones for `downtime`. The connection with the number
    /// `kept_connection` stays open, so that the response to the request that caused the crash can
    /// be sent.
    pub fn crash(self: &Rc<Controller>, kept_connection: Option<u64>, downtime: Duration) {
        self.connections.borrow_mut().retain(|(id, _)| Some(*id) == kept_connection);
        if downtime.is_zero() {
            return;
        }
        self.set_closed(true);
        let controller = self.clone();
        let reopen = async move {
            time::sleep(downtime).await;
            controller.set_closed(false);
        };
        compio::runtime::spawn(reopen).detach();
    }

    fn register_connection(&self) -> (u64, oneshot::Receiver<()>) {
        let (sender, receiver) = oneshot::channel();
        let id = self.next_id.replace(self.next_id.get() + 1);
        let mut connections = self.connections.borrow_mut();
        connections.retain(|(_, sender)| !sender.is_canceled());
        connections.push((id, sender));
        (id, receiver)
    }
}

/// A bound port with its accept loop; dropping it closes the port and all connections.
#[derive(Debug)]
pub struct Port {
    address: SocketAddr,
    controller: Rc<Controller>,
    _accept: JoinHandle<()>,
}

impl Port {
    /// Binds `address` and runs `serve` for each connection, with the connection's number.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn open<F, S>(address: SocketAddr, controller: Rc<Controller>, serve: S) -> io::Result<Port>
    where
        F: Future<Output = ()> + 'static,
        S: Fn(TcpStream, u64) -> F + 'static,
    {
        let listener = bind(address)?;
        let address = listener.local_addr()?;
        let accept = accept_loop(listener, address, controller.clone(), serve);
        Ok(Port { address, controller, _accept: compio::runtime::spawn(accept) })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the controller of the port.
    pub fn controller(&self) -> &Rc<Controller> {
        &self.controller
    }
}

impl Drop for Port {
    fn drop(&mut self) {
        self.controller.drop_connections();
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    // The standard library sets SO_REUSEADDR, without which a port can't be reopened at once.
    TcpListener::from_std(net::TcpListener::bind(address)?)
}

/// Binds an address without listening, so that connections are refused and no other process gets
/// the port. A listener may be bound to it meanwhile.
fn reserve(address: SocketAddr) -> io::Result<OwnedFd> {
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let socket = rustix::net::socket(family, SocketType::STREAM, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    rustix::net::bind(&socket, &address)?;
    Ok(socket)
}

async fn accept_loop<F, S>(
    listener: TcpListener,
    address: SocketAddr,
    controller: Rc<Controller>,
    serve: S,
) where
    F: Future<Output = ()> + 'static,
    S: Fn(TcpStream, u64) -> F + 'static,
{
    let mut listening = Some(listener);
    let mut reserved = None;
    loop {
        let seen_changes = controller.changed.changes();
        if controller.closed.get() {
            if let Some(listener) = listening.take() {
                listener.close().await.ok();
            }
            if reserved.is_none() {
                reserved = reserve(address).ok();
            }
            controller.changed.wait(seen_changes).await;
            continue;
        }
        let Some(listener) = &listening else {
            listening = bind(address).ok();
            if listening.is_some() {
                reserved = None;
            } else {
                time::sleep(RETRY_DELAY).await;
            }
            continue;
        };
        let accepted = {
            let changed = pin!(controller.changed.wait(seen_changes));
            match select(pin!(listener.accept()), changed).await {
                Either::Left((accepted, _)) => accepted,
                Either::Right(_) => continue,
            }
        };
        match accepted {
            Ok((stream, _)) => spawn_connection(&controller, stream, &serve),
            Err(_) => time::sleep(RETRY_DELAY).await,
        }
    }
}

fn spawn_connection<F, S>(controller: &Controller, stream: TcpStream, serve: &S)
where
    F: Future<Output = ()> + 'static,
    S: Fn(TcpStream, u64) -> F,
{
    // The runtime may keep a dropped stream open until a pending operation on it is cancelled.
    // A shutdown through a duplicate descriptor closes the connection at once.
    let Ok(duplicate) = stream.as_fd().try_clone_to_owned().map(net::TcpStream::from) else {
        return;
    };
    let (id, dropped) = controller.register_connection();
    let connection = serve(stream, id);
    let task = async move {
        if let Either::Right(_) = select(pin!(connection), dropped).await {
            duplicate.shutdown(net::Shutdown::Both).ok();
        }
    };
    compio::runtime::spawn(task).detach();
}
