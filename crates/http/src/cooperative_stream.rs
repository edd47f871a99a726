//! A TCP stream for hyper whose reads give the other tasks of the thread their turn.

use compio::io::compat::AsyncStream;
use compio::net::TcpStream;
use futures::{AsyncBufRead, AsyncWrite};
use hyper::rt::{ReadBufCursor, Write};
use saddlerelay_runtime::read_budget::ReadBudget;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// Size of the read and of the write buffer at rest, in bytes.
const BUFFER_BYTES: usize = 8 * 1024;

/// Maximum size of the write buffer, in bytes.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// A TCP stream whose reads are bounded in each turn of its task.
pub(crate) struct CooperativeStream {
    stream: Pin<Box<AsyncStream<TcpStream>>>,
    budget: ReadBudget,
}

impl CooperativeStream {
    pub fn new(stream: TcpStream) -> Self {
        let stream = Box::pin(AsyncStream::with_limits(BUFFER_BYTES, MAX_BUFFER_BYTES, stream));
        Self { stream, budget: ReadBudget::default() }
    }

    /// Reads into `buffer`; returns the number of bytes, zero at the end of the stream.
    pub fn poll_read(&mut self, context: &mut Context<'_>, buffer: &mut ReadBufCursor<'_>) -> Poll<io::Result<usize>> {
        ready!(self.budget.poll_proceed(context));
        let received = ready!(self.stream.as_mut().poll_fill_buf(context))?;
        let count = received.len().min(buffer.remaining());
        buffer.put_slice(&received[..count]);
        self.stream.as_mut().consume(count);
        self.budget.record(count);
        Poll::Ready(Ok(count))
    }
}

impl Write for CooperativeStream {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.stream.as_mut().poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.stream.as_mut().poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.as_mut().poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.as_mut().poll_close(context)
    }
}
