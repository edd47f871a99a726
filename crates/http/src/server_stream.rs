//! A client's stream to a server, which bounds what the server sends before the head of its response is complete.

use crate::cooperative_stream::CooperativeStream;
use compio::net::TcpStream;
use hyper::rt::{Read, ReadBufCursor, Write};
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// Maximum size of a response head, and of hyper's read buffer, in bytes.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Maximum number of bytes from a request to the head of its response: that head, what hyper reads ahead of the body,
/// and interim responses (1xx), each of which hyper discards.
const MAX_BYTES_BEFORE_RESPONSE: usize = 4 * MAX_HEAD_BYTES;

/// What a server may still send before the head of its response is complete. Clones share their state.
#[derive(Clone)]
pub struct HeadLimit {
    /// Bytes left; `None` while no head is expected.
    left: Rc<Cell<Option<usize>>>,
}

impl HeadLimit {
    fn new() -> Self {
        Self { left: Rc::new(Cell::new(Some(MAX_BYTES_BEFORE_RESPONSE))) }
    }

    /// A request is sent: the head of its response is expected.
    pub fn begin(&self) {
        self.left.set(Some(MAX_BYTES_BEFORE_RESPONSE));
    }

    /// The head is complete. Whoever reads the body bounds it.
    pub fn end(&self) {
        self.left.set(None);
    }

    fn is_reached(&self) -> bool {
        self.left.get() == Some(0)
    }

    fn record(&self, bytes: usize) {
        self.left.set(self.left.get().map(|left| left.saturating_sub(bytes)));
    }
}

/// A stream for hyper.
pub struct ServerStream {
    stream: CooperativeStream,
    head_limit: HeadLimit,
}

impl ServerStream {
    /// Wraps a connected stream. Whoever sends a request tells the limit when its response begins.
    pub fn new(stream: TcpStream) -> (Self, HeadLimit) {
        let head_limit = HeadLimit::new();
        (Self { stream: CooperativeStream::new(stream), head_limit: head_limit.clone() }, head_limit)
    }
}

impl Read for ServerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.head_limit.is_reached() {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, "response head is too large")));
        }
        let count = ready!(this.stream.poll_read(context, &mut buffer))?;
        this.head_limit.record(count);
        Poll::Ready(Ok(()))
    }
}

impl Write for ServerStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
