//! Bytes that a proxy has received from one end of a connection and that the link has not delivered yet.
//!
//! The proxy reads on while it holds bytes, so that it observes at once when the sender closes or resets the connection.

use compio::BufResult;
use compio::io::AsyncRead;
use futures::channel::mpsc;
use futures::future::LocalBoxFuture;
use futures::sink::SinkExt;

/// Read buffer size, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// Maximum number of chunks that are held; the sender is read no further until one is delivered.
const MAX_HELD_CHUNKS: usize = 64;

/// How the sender ended its direction of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderEnd {
    /// In order: what it has sent is still delivered.
    Closed,
    /// With a reset, or the read failed.
    Reset,
}

/// The bytes of one direction of a connection.
pub struct ReceivedBytes {
    /// Reads while it is polled; ends when the sender ends its direction.
    pub reading: LocalBoxFuture<'static, SenderEnd>,
    /// The chunks in order. They end when the sender has ended.
    pub chunks: mpsc::Receiver<Vec<u8>>,
}

impl ReceivedBytes {
    /// Reads from `reader` while [`Self::reading`] is polled.
    pub fn start<R: AsyncRead + 'static>(reader: R) -> Self {
        let (sender, chunks) = mpsc::channel(MAX_HELD_CHUNKS);
        Self { reading: Box::pin(read_chunks(reader, sender)), chunks }
    }
}

async fn read_chunks<R: AsyncRead>(mut reader: R, mut chunks: mpsc::Sender<Vec<u8>>) -> SenderEnd {
    loop {
        let BufResult(count, chunk) = reader.read(Vec::with_capacity(CHUNK_BYTES)).await;
        match count {
            Ok(0) => return SenderEnd::Closed,
            Err(_) => return SenderEnd::Reset,
            // The connection is over if nobody takes the chunks any more.
            Ok(_) if chunks.send(chunk).await.is_err() => return SenderEnd::Reset,
            Ok(_) => {}
        }
    }
}
