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

const BUFFER: usize = 16 << 10;

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
    /// Accepts connections, and holds all bytes until it is switched off.
    pub freeze: bool,
    /// Holds each piece of data for this long.
    pub delay_ms: u64,
    /// Cuts each connection after this many bytes in both directions together.
    pub cut_after: Option<u64>,
    /// Discards the bytes of one direction.
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

/// The HTTP interface to a proxy's faults; dropping it stops it.
#[derive(Debug)]
pub struct Control(Port);

/// Starts a proxy to `target` on the current runtime.
///
/// # Errors
///
/// Returns the error of the bind.
pub fn spawn(address: SocketAddr, target: SocketAddr) -> io::Result<Proxy> {
    let controller = Rc::new(Controller::default());
    let shared = Rc::new(Shared {
        target,
        faults: RefCell::default(),
        changed: Signal::default(),
        controller: controller.clone(),
    });
    let served = shared.clone();
    let port =
        Port::open(address, controller, move |stream, _| connection(served.clone(), stream))?;
    Ok(Proxy { shared, port })
}

impl Proxy {
    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Replaces the faults in effect.
    pub fn set(&self, faults: Faults) {
        self.shared.set(faults);
    }

    /// Cuts all connections.
    pub fn cut(&self) {
        self.shared.controller.cut();
    }

    /// Serves `GET /control`, `PUT /control` with all faults, and `POST /cut`.
    ///
    /// # Errors
    ///
    /// Returns the error of the bind.
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
    fn set(&self, faults: Faults) {
        self.controller.set_closed(faults.refuse);
        self.faults.replace(faults);
        self.changed.notify();
    }

    /// Waits while the proxy is frozen.
    async fn thawed(&self) {
        loop {
            let seen = self.changed.changes();
            if !self.faults.borrow().freeze {
                return;
            }
            self.changed.wait(seen).await;
        }
    }
}

async fn handle(shared: Rc<Shared>, request: Request) -> HandlerResult {
    Ok(match (&request.method, request.path.as_str()) {
        (&Method::GET, "/control") => http::json(&*shared.faults.borrow()),
        (&Method::PUT, "/control") => replace(&shared, &request),
        (&Method::POST, "/cut") => {
            shared.controller.cut();
            http::json(&*shared.faults.borrow())
        }
        _ => http::not_found(),
    })
}

fn replace(shared: &Shared, request: &Request) -> Response<Body> {
    match request.json::<Faults>() {
        Ok(faults) => {
            shared.set(faults);
            http::json(&*shared.faults.borrow())
        }
        Err(reason) => http::bad_request(reason),
    }
}

async fn connection(shared: Rc<Shared>, client: TcpStream) {
    shared.thawed().await;
    let Ok(target) = TcpStream::connect(shared.target).await else { return };
    client.set_nodelay(true).ok();
    target.set_nodelay(true).ok();
    let passed = Cell::new(0);
    let cut = Signal::default();
    let pump = |from: &TcpStream, to: &TcpStream, direction| Pump {
        shared: shared.clone(),
        from: from.clone(),
        to: to.clone(),
        direction,
    };
    let up = pump(&client, &target, Direction::ToTarget);
    let down = pump(&target, &client, Direction::ToClient);
    let both = join(up.run(&passed, &cut), down.run(&passed, &cut));
    select(pin!(both), pin!(cut.wait(0))).await;
}

/// One direction of a connection.
struct Pump {
    shared: Rc<Shared>,
    from: TcpStream,
    to: TcpStream,
    direction: Direction,
}

impl Pump {
    /// Passes bytes on until the sender closes its side or the connection is to be cut.
    async fn run(mut self, passed: &Cell<u64>, cut: &Signal) {
        let mut buffer = Vec::with_capacity(BUFFER);
        loop {
            buffer.clear();
            let BufResult(read, data) = self.from.read(buffer).await;
            buffer = data;
            self.shared.thawed().await;
            match read {
                Ok(0) => {
                    self.to.shutdown().await.ok();
                    return;
                }
                Ok(_) => {}
                Err(_) => return cut.notify(),
            }
            match self.pass(buffer, passed).await {
                Some(data) => buffer = data,
                None => return cut.notify(),
            }
        }
    }

    /// Passes one piece on and returns its buffer, or `None` to cut the connection.
    async fn pass(&mut self, mut data: Vec<u8>, passed: &Cell<u64>) -> Option<Vec<u8>> {
        let faults = self.shared.faults.borrow().clone();
        if faults.delay_ms > 0 {
            compio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
            self.shared.thawed().await;
        }
        if faults.drop == Some(self.direction) {
            return Some(data);
        }
        let left = faults.cut_after.map(|limit| limit.saturating_sub(passed.get()));
        let last = left.is_some_and(|left| left <= data.len() as u64);
        if let Some(left) = left.filter(|_| last) {
            data.truncate(left as usize);
        }
        passed.set(passed.get() + data.len() as u64);
        let BufResult(written, data) = self.to.write_all(data).await;
        (written.is_ok() && !last).then_some(data)
    }
}
