//! Fault-injecting TCP proxy between a listening and a target address.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::Duration,
};

use compio::{
    BufResult,
    io::{AsyncRead, AsyncWrite, AsyncWriteExt},
    net::TcpStream,
};
use futures_util::future::{join, select};
use hyper::{Method, Response};
use serde::{Deserialize, Serialize};

use crate::{
    http::{self, Body, HandlerResult, Request},
    port::{Controller, Port},
    signal::Signal,
};

const BUFFER_BYTES: usize = 16 << 10;

/// Direction of bytes through the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    ToTarget,
    ToClient,
}

/// Faults in effect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuses new connections.
    pub refuse: bool,
    /// Accepts connections, but holds back all bytes until it is unset.
    pub freeze: bool,
    /// Delays each chunk of data by this many milliseconds.
    pub delay_ms: u64,
    /// Cuts each connection after this many bytes, counted over both directions.
    pub cut_after: Option<u64>,
    /// Discards the bytes of one direction. A connection of which bytes were discarded is cut at its
    /// next ones after that, since TCP never delivers bytes after missing ones.
    pub drop: Option<Direction>,
}

#[derive(Debug)]
struct Shared {
    target: SocketAddr,
    faults: RefCell<Faults>,
    changed: Signal,
    controller: Rc<Controller>,
}

/// A running proxy; dropping it stops it.
#[derive(Debug)]
pub struct Proxy {
    shared: Rc<Shared>,
    port: Port,
}

/// HTTP interface that reads and sets a proxy's faults; dropping it stops it.
#[derive(Debug)]
pub struct Control(Port);

/// Starts a proxy to `target` on the current runtime.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn spawn(address: SocketAddr, target: SocketAddr) -> io::Result<Proxy> {
    let controller = Rc::new(Controller::default());
    let shared = Rc::new(Shared {
        target,
        faults: RefCell::default(),
        changed: Signal::default(),
        controller: controller.clone(),
    });
    let handler_shared = shared.clone();
    let port = Port::open(address, controller, move |stream, _| {
        serve_connection(handler_shared.clone(), stream)
    })?;
    Ok(Proxy { shared, port })
}

impl Proxy {
    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Replaces the faults in effect.
    pub fn set(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// Cuts all connections.
    pub fn cut(&self) {
        self.shared.controller.drop_connections();
    }

    /// Serves `GET /control` and `PUT /control`, which read and replace the faults, and
    /// `POST /cut`, which cuts all connections.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn control(&self, address: SocketAddr) -> io::Result<Control> {
        let shared = self.shared.clone();
        let controller = Rc::new(Controller::default());
        http::serve(address, controller, move |request| handle(shared.clone(), request))
            .map(Control)
    }
}

impl Control {
    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.0.address()
    }
}

impl Shared {
    fn set_faults(&self, faults: Faults) {
        self.controller.set_closed(faults.refuse);
        self.faults.replace(faults);
        self.changed.notify();
    }

    /// Waits until the proxy is not frozen.
    async fn wait_while_frozen(&self) {
        loop {
            let seen_changes = self.changed.changes();
            if !self.faults.borrow().freeze {
                return;
            }
            self.changed.wait(seen_changes).await;
        }
    }
}

async fn handle(shared: Rc<Shared>, request: Request) -> HandlerResult {
    Ok(match (&request.method, request.path.as_str()) {
        (&Method::GET, "/control") => http::json(&*shared.faults.borrow()),
        (&Method::PUT, "/control") => replace_faults(&shared, &request),
        (&Method::POST, "/cut") => {
            shared.controller.drop_connections();
            http::json(&*shared.faults.borrow())
        }
        _ => http::not_found(),
    })
}

fn replace_faults(shared: &Shared, request: &Request) -> Response<Body> {
    match request.json::<Faults>() {
        Ok(faults) => {
            shared.set_faults(faults);
            http::json(&*shared.faults.borrow())
        }
        Err(reason) => http::bad_request(reason),
    }
}

async fn serve_connection(shared: Rc<Shared>, caller: TcpStream) {
    shared.wait_while_frozen().await;
    let Ok(target) = TcpStream::connect(shared.target).await else { return };
    caller.set_nodelay(true).ok();
    target.set_nodelay(true).ok();
    let forwarded_bytes = Cell::new(0);
    let cut = Signal::default();
    let relay = |from: &TcpStream, to: &TcpStream, direction| Relay {
        shared: shared.clone(),
        from: from.clone(),
        to: to.clone(),
        direction,
        has_dropped: false,
    };
    let to_target = relay(&caller, &target, Direction::ToTarget);
    let to_caller = relay(&target, &caller, Direction::ToClient);
    let both = join(to_target.run(&forwarded_bytes, &cut), to_caller.run(&forwarded_bytes, &cut));
    select(pin!(both), pin!(cut.wait(0))).await;
}

/// Forwards the bytes of one direction of a connection.
struct Relay {
    shared: Rc<Shared>,
    from: TcpStream,
    to: TcpStream,
    direction: Direction,
    /// Whether bytes of the connection were discarded.
    has_dropped: bool,
}

impl Relay {
    /// Forwards bytes until the sender closes its side, or notifies `cut` to cut the connection.
    async fn run(mut self, forwarded_bytes: &Cell<u64>, cut: &Signal) {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        loop {
            buffer.clear();
            let BufResult(read, data) = self.from.read(buffer).await;
            buffer = data;
            self.shared.wait_while_frozen().await;
            match read {
                Ok(0) => {
                    self.to.shutdown().await.ok();
                    return;
                }
                Ok(_) => {}
                Err(_) => return cut.notify(),
            }
            match self.forward(buffer, forwarded_bytes).await {
                Some(data) => buffer = data,
                None => return cut.notify(),
            }
        }
    }

    /// Forwards one chunk and returns its buffer, or `None` to cut the connection.
    async fn forward(&mut self, mut data: Vec<u8>, forwarded_bytes: &Cell<u64>) -> Option<Vec<u8>> {
        let faults = self.shared.faults.borrow().clone();
        if faults.delay_ms > 0 {
            compio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
            self.shared.wait_while_frozen().await;
        }
        if faults.drop == Some(self.direction) {
            self.has_dropped = true;
            return Some(data);
        }
        if self.has_dropped {
            return None;
        }
        let remaining_bytes =
            faults.cut_after.map(|limit| limit.saturating_sub(forwarded_bytes.get()));
        let reaches_cut =
            remaining_bytes.is_some_and(|remaining_bytes| remaining_bytes <= data.len() as u64);
        if let Some(remaining_bytes) = remaining_bytes.filter(|_| reaches_cut) {
            data.truncate(remaining_bytes as usize);
        }
        forwarded_bytes.set(forwarded_bytes.get() + data.len() as u64);
        let BufResult(written, data) = self.to.write_all(data).await;
        (written.is_ok() && !reaches_cut).then_some(data)
    }
}
