//! A client's stream, which reports its progress and ends heads that are too large.

use crate::connection_state::{ConnectionState, Phase};
use crate::cooperative_stream::CooperativeStream;
use crate::limits::CurrentLimits;
use compio::net::TcpStream;
use hyper::rt::{Read, ReadBufCursor, Write};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// A stream for hyper.
pub(crate) struct LimitedStream {
    stream: CooperativeStream,
    state: Rc<ConnectionState>,
    limits: CurrentLimits,
}

impl LimitedStream {
    pub fn new(stream: TcpStream, state: Rc<ConnectionState>, limits: CurrentLimits) -> Self {
        Self { stream: CooperativeStream::new(stream), state, limits }
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
        let count = ready!(this.stream.poll_read(context, &mut buffer))?;
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
        let polled = Pin::new(&mut this.stream).poll_write(context, bytes);
        this.record(polled)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_write_vectored(context, slices);
        this.record(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_flush(context);
        this.record(polled)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
