//! Connections whose reading gives way to the rest of the process.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper::rt::{Read, ReadBufCursor, Write};

/// Most reads of a connection that return data before other tasks have their turn. The HTTP library
/// reads on within one poll as long as it discards what it has read, as it does with interim
/// responses.
const MAX_READS: u32 = 8;

/// A connection for the HTTP library.
#[derive(Debug)]
pub struct Paced {
    stream: HyperStream<TcpStream>,
    /// Reads that returned data since other tasks had their turn.
    reads: u32,
}

impl Paced {
    /// Returns a connection without reads.
    pub fn new(stream: TcpStream) -> Paced {
        Paced { stream: HyperStream::new_plain(stream), reads: 0 }
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
        let read = Read::poll_read(Pin::new(&mut self.stream), context, buffer);
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
        Write::poll_write(Pin::new(&mut self.stream), context, bytes)
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
        Write::poll_write_vectored(Pin::new(&mut self.stream), context, buffers)
    }
}
