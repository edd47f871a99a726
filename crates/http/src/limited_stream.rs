//! A client's stream, which reports its progress and ends heads that are too large.

use crate::connection_state::{ConnectionState, Phase};
use crate::limits::CurrentLimits;
use compio::io::compat::AsyncStream;
use compio::net::TcpStream;
use futures::{AsyncBufRead, AsyncWrite};
use hyper::rt::{Read, ReadBufCursor, Write};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// Size of the read and of the write buffer at rest, in bytes.
const BUFFER_BYTES: usize = 8 * 1024;

/// Maximum size of the write buffer, in bytes.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// A stream for hyper.
pub(crate) struct LimitedStream {
    stream: Pin<Box<AsyncStream<TcpStream>>>,
    state: Rc<ConnectionState>,
    limits: CurrentLimits,
}

impl LimitedStream {
    pub fn new(stream: TcpStream, state: Rc<ConnectionState>, limits: CurrentLimits) -> Self {
        let stream = Box::pin(AsyncStream::with_limits(BUFFER_BYTES, MAX_BUFFER_BYTES, stream));
        Self { stream, state, limits }
    }

    /// hyper reads again during a head only if what it has received is incomplete.
    fn exceeds_head_limit(&self) -> bool {
        self.state.phase() == Phase::Head && self.state.head_bytes() > (self.limits)().max_head_bytes
    }
}

impl Read for LimitedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.exceeds_head_limit() {
            this.state.close(crate::connection_state::CloseReason::HeadTooLarge);
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, "request head is too large")));
        }
        let received = ready!(this.stream.as_mut().poll_fill_buf(context))?;
        let count = received.len().min(buffer.remaining());
        buffer.put_slice(&received[..count]);
        this.stream.as_mut().consume(count);
        this.state.record_received(count);
        Poll::Ready(Ok(()))
    }
}

impl LimitedStream {
    fn record<T>(&self, polled: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        self.state.record_write(polled.is_pending());
        polled
    }
}

impl Write for LimitedStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = this.stream.as_mut().poll_write(context, bytes);
        this.record(polled)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = this.stream.as_mut().poll_write_vectored(context, slices);
        this.record(polled)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let polled = this.stream.as_mut().poll_flush(context);
        this.record(polled)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.get_mut().stream.as_mut().poll_close(context)
    }
}
