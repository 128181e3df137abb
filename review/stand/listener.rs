//! A server whose process can be ended and started again: all its connections are closed at once.

use std::{
    io::BufReader,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use crate::http::{self, Message};

/// Handles one request and returns whether the connection stays open.
pub type Handler = Arc<dyn Fn(&Message, &mut TcpStream) -> bool + Send + Sync>;

/// One run of a server.
pub struct Listener {
    ended: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Listener {
    pub fn start(address: SocketAddr, handler: Handler) -> Listener {
        let listener = TcpListener::bind(address).expect("bind");
        listener.set_nonblocking(true).expect("non-blocking");
        let ended = Arc::new(AtomicBool::new(false));
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let run = Listener { ended: ended.clone(), connections: connections.clone() };
        thread::spawn(move || {
            while !ended.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                connections.lock().expect("lock").extend(stream.try_clone());
                let (handler, ended) = (handler.clone(), ended.clone());
                thread::spawn(move || serve(stream, handler, ended));
            }
        });
        run
    }

    /// Ends the run as the end of a process does.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // The accepting thread closes the listener within a few milliseconds.
        thread::sleep(Duration::from_millis(10));
        for connection in self.connections.lock().expect("lock").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

fn serve(mut stream: TcpStream, handler: Handler, ended: Arc<AtomicBool>) {
    let Ok(clone) = stream.try_clone() else { return };
    let mut reader = BufReader::new(clone);
    while let Ok(Some(request)) = http::read_request(&mut reader) {
        if ended.load(Ordering::SeqCst) || !handler(&request, &mut stream) {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}
