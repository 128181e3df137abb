//! A listening port that can be closed and reopened, and whose connections can be cut.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    io,
    net::{self, SocketAddr},
    os::fd::AsFd,
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

use crate::signal::Signal;

/// Wait before a failed bind or accept is tried again.
const RETRY: Duration = Duration::from_millis(20);

/// State of a port, shared between its accept loop and its owner.
#[derive(Debug, Default)]
pub struct Controller {
    closed: Cell<bool>,
    changed: Signal,
    next: Cell<u64>,
    /// One for each connection; dropping it ends the connection.
    connections: RefCell<Vec<(u64, oneshot::Sender<()>)>>,
}

impl Controller {
    /// Drops all connections.
    pub fn cut(&self) {
        self.connections.take();
    }

    /// Opens or closes the port: while it is closed, connections are refused.
    pub fn set_closed(&self, closed: bool) {
        self.closed.set(closed);
        self.changed.notify();
    }

    /// Drops all connections and refuses new ones for `down`. A connection named by `kept`
    /// stays, so that the answer to an order to crash arrives.
    pub fn crash(self: &Rc<Controller>, kept: Option<u64>, down: Duration) {
        self.connections.borrow_mut().retain(|(id, _)| Some(*id) == kept);
        if down.is_zero() {
            return;
        }
        self.set_closed(true);
        let controller = self.clone();
        let reopen = async move {
            time::sleep(down).await;
            controller.set_closed(false);
        };
        compio::runtime::spawn(reopen).detach();
    }

    fn admit(&self) -> (u64, oneshot::Receiver<()>) {
        let (sender, receiver) = oneshot::channel();
        let id = self.next.replace(self.next.get() + 1);
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
    /// Binds `address` and runs `serve` for each connection and its number.
    ///
    /// # Errors
    ///
    /// Returns the error of the bind.
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

    /// Returns the switch of the port.
    pub fn controller(&self) -> &Rc<Controller> {
        &self.controller
    }
}

impl Drop for Port {
    fn drop(&mut self) {
        self.controller.cut();
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    // The standard library sets SO_REUSEADDR, which the reopening of a port needs.
    TcpListener::from_std(net::TcpListener::bind(address)?)
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
    let mut open = Some(listener);
    loop {
        let seen = controller.changed.changes();
        if controller.closed.get() {
            if let Some(listener) = open.take() {
                listener.close().await.ok();
            }
            controller.changed.wait(seen).await;
            continue;
        }
        let Some(listener) = &open else {
            open = bind(address).ok();
            if open.is_none() {
                time::sleep(RETRY).await;
            }
            continue;
        };
        let accepted = {
            let changed = pin!(controller.changed.wait(seen));
            match select(pin!(listener.accept()), changed).await {
                Either::Left((accepted, _)) => accepted,
                Either::Right(_) => continue,
            }
        };
        match accepted {
            Ok((stream, _)) => spawn_connection(&controller, stream, &serve),
            Err(_) => time::sleep(RETRY).await,
        }
    }
}

fn spawn_connection<F, S>(controller: &Controller, stream: TcpStream, serve: &S)
where
    F: Future<Output = ()> + 'static,
    S: Fn(TcpStream, u64) -> F,
{
    // The runtime may keep a dropped stream open while an operation on it is cancelled; a
    // shutdown through a second descriptor reaches the peer at once.
    let Ok(second) = stream.as_fd().try_clone_to_owned().map(net::TcpStream::from) else { return };
    let (id, cut) = controller.admit();
    let connection = serve(stream, id);
    let task = async move {
        if let Either::Right(_) = select(pin!(connection), cut).await {
            second.shutdown(net::Shutdown::Both).ok();
        }
    };
    compio::runtime::spawn(task).detach();
}
