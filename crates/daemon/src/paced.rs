//! Connections whose reading gives way to the rest of the process.

use std::{
    cell::RefCell,
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use compio::net::TcpStream;
use cyper_core::HyperStream;
use futures_util::AsyncRead;
use hyper::rt::{Read, ReadBufCursor, Write};

use crate::caller::Caller;

/// Most reads of a connection that return data before other tasks have their turn. The HTTP library
/// reads on within one poll as long as it discards what it has read, as it does with interim
/// responses.
const MAX_READS: u32 = 8;
/// Most bytes that are written at once. The stream copies what it writes, and a server that doesn't
/// read would let it keep a copy of a whole body.
const MAX_WRITTEN_BYTES: usize = 64 << 10;
/// Most bytes that are read at once.
const SCRATCH_BYTES: usize = 16 << 10;

thread_local! {
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; SCRATCH_BYTES]);
}

/// A connection for the HTTP library.
pub struct Paced {
    stream: HyperStream<TcpStream>,
    /// The caller at the other end, unless that is a server.
    caller: Option<Caller>,
    /// Reads that returned data since other tasks had their turn.
    reads: u32,
}

impl Paced {
    /// Returns a connection to a server, without reads.
    pub fn new(stream: TcpStream) -> Paced {
        Paced { stream: HyperStream::new_plain(stream), caller: None, reads: 0 }
    }

    /// Returns a connection of a caller, whose reads and writes are recorded for it.
    pub fn of_caller(stream: TcpStream, caller: Caller) -> Paced {
        Paced { caller: Some(caller), ..Paced::new(stream) }
    }

    fn record_written(&self, written: &Poll<io::Result<usize>>) {
        if let (Some(caller), Poll::Ready(Ok(bytes))) = (&self.caller, written) {
            caller.record_written(*bytes);
        }
    }
}

/// Reads from a connection, and counts what was read from that of a caller. The HTTP library doesn't
/// say how much was read into its own buffer.
fn read_counted(
    stream: &mut HyperStream<TcpStream>,
    caller: Option<&Caller>,
    context: &mut Context<'_>,
    mut buffer: ReadBufCursor<'_>,
) -> Poll<io::Result<()>> {
    SCRATCH.with_borrow_mut(|scratch| {
        let len = buffer.remaining().min(scratch.len());
        let read = AsyncRead::poll_read(Pin::new(&mut *stream), context, &mut scratch[..len]);
        let read = ready!(read)?;
        if read == 0 && len > 0 {
            check_end(stream, context)?;
        }
        buffer.put_slice(&scratch[..read]);
        Poll::Ready(caller.map_or(Ok(()), |caller| caller.record_read(read)))
    })
}

/// Checks that the end of a connection was an orderly one. The system reports a reset only once. If a
/// write in flight got the report, the next read finds nothing but an end, which looks like that of
/// a response without a length.
fn check_end(stream: &mut HyperStream<TcpStream>, context: &mut Context<'_>) -> io::Result<()> {
    match Write::poll_flush(Pin::new(stream), context) {
        Poll::Ready(result) => result,
        // What is still being written has met no error.
        Poll::Pending => Ok(()),
    }
}

impl Read for Paced {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.reads >= MAX_READS {
            self.reads = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let Paced { stream, caller, .. } = &mut *self;
        let read = read_counted(stream, caller.as_ref(), context, buffer);
        self.reads = if read.is_ready() { self.reads + 1 } else { 0 };
        read
    }
}

impl Write for Paced {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let bytes = &bytes[..bytes.len().min(MAX_WRITTEN_BYTES)];
        let written = Write::poll_write(Pin::new(&mut self.stream), context, bytes);
        self.record_written(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Write::poll_flush(Pin::new(&mut self.stream), context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Write::poll_shutdown(Pin::new(&mut self.stream), context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if buffers.iter().map(|buffer| buffer.len()).sum::<usize>() > MAX_WRITTEN_BYTES {
            let first = buffers.iter().find(|buffer| !buffer.is_empty());
            return self.poll_write(context, first.map_or(&[], |buffer| &buffer[..]));
        }
        let written = Write::poll_write_vectored(Pin::new(&mut self.stream), context, buffers);
        self.record_written(&written);
        written
    }
}
