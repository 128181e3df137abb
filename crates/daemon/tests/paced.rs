//! What a connection to a server tells of its end.

use std::{
    future::poll_fn,
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    pin::Pin,
    sync::mpsc,
    task::Poll,
    thread,
    time::Duration,
};

use compio::{net, time};
use daemon::paced::Paced;
use hyper::rt::{self, ReadBuf};
use rustix::net::sockopt;

/// More than the sockets of a connection hold.
const UPLOAD_BYTES: usize = 16 << 20;
const PART: &[u8] = b"part";

/// How the server ends the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// In an orderly way, and the upload is read on.
    Shutdown,
    Reset,
    /// The system resets it, since the upload was not read.
    ClosedUnread,
}

/// Starts a server that sends `PART`, waits for the test and ends the connection.
fn start(end: End) -> (SocketAddr, mpsc::Sender<()>, mpsc::Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("an address");
    let (may_end, wait) = mpsc::channel();
    let (ended, is_ended) = mpsc::channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        stream.write_all(PART).expect("the client reads");
        wait.recv().expect("the test goes on");
        end_connection(end, stream, &ended);
    });
    (address, may_end, is_ended)
}

fn end_connection(end: End, mut stream: TcpStream, ended: &mpsc::Sender<()>) {
    match end {
        End::Shutdown => {
            stream.shutdown(std::net::Shutdown::Write).expect("open");
            ended.send(()).expect("the test waits");
            let _ = stream.read_to_end(&mut Vec::new());
        }
        End::Reset => {
            sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).expect("a socket");
            drop(stream);
            ended.send(()).expect("the test waits");
        }
        End::ClosedUnread => {
            drop(stream);
            ended.send(()).expect("the test waits");
        }
    }
}

/// Reads once and returns the number of bytes, 0 at the end.
async fn read(paced: &mut Paced) -> io::Result<usize> {
    let mut bytes = [0; 64];
    poll_fn(|context| {
        let mut buffer = ReadBuf::new(&mut bytes);
        match rt::Read::poll_read(Pin::new(paced), context, buffer.unfilled()) {
            Poll::Ready(Ok(())) => Poll::Ready(Ok(buffer.filled().len())),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => Poll::Pending,
        }
    })
    .await
}

/// Begins to write an upload, whose rest stays in flight.
async fn begin_upload(paced: &mut Paced) {
    let upload = vec![b'x'; UPLOAD_BYTES];
    let mut written = 0;
    poll_fn(|context| {
        while written < upload.len() {
            match rt::Write::poll_write(Pin::new(paced), context, &upload[written..]) {
                Poll::Ready(result) => written += result.expect("the server is there"),
                Poll::Pending => return Poll::Ready(()),
            }
        }
        assert!(rt::Write::poll_flush(Pin::new(paced), context).is_pending(), "it is in flight");
        Poll::Ready(())
    })
    .await;
}

/// Guards against a reset that looks like the orderly end of a connection, since a write in flight
/// learned of it and the next read finds nothing but the end.
#[compio::test]
async fn a_reset_during_a_write_is_no_orderly_end() {
    for end in [End::Reset, End::ClosedUnread, End::Shutdown] {
        let (address, may_end, is_ended) = start(end);
        let stream = net::TcpStream::connect(address).await.expect("connect");
        let mut paced = Paced::new(stream);
        begin_upload(&mut paced).await;
        assert_eq!(read(&mut paced).await.expect("a part"), PART.len(), "{end:?}");
        may_end.send(()).expect("the server waits");
        is_ended.recv().expect("the server ends");
        // The write in flight learns of the reset meanwhile.
        time::sleep(Duration::from_millis(100)).await;
        let last = read(&mut paced).await.map_err(|error| error.kind());
        match end {
            End::Shutdown => assert_eq!(last, Ok(0), "{end:?}"),
            End::Reset | End::ClosedUnread => assert!(last.is_err(), "{end:?}: {last:?}"),
        }
    }
}
