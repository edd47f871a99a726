//! Frames over TCP: a length of four bytes, little end first, and then the frame.

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use saddlerelay_platform::{FrameListener, FrameReceiver, FrameSender, MAX_FRAME_BYTES};
use std::io;

const LENGTH_BYTES: usize = 4;
const READ_BYTES: usize = 64 * 1024;

/// Sends frames.
pub struct TcpFrameSender {
    stream: TcpStream,
}

/// Receives frames.
pub struct TcpFrameReceiver {
    stream: TcpStream,
    /// Bytes received that do not make a whole frame yet.
    received: Vec<u8>,
    /// How many of `received` belong to frames already given out.
    taken: usize,
    scratch: Vec<u8>,
}

/// Accepts connections.
pub struct TcpFrameListener {
    listener: TcpListener,
}

/// The two halves of `stream`.
pub fn split(stream: TcpStream) -> io::Result<(TcpFrameSender, TcpFrameReceiver)> {
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let receiver =
        TcpFrameReceiver { stream: read, received: Vec::new(), taken: 0, scratch: Vec::with_capacity(READ_BYTES) };
    Ok((TcpFrameSender { stream: write }, receiver))
}

impl TcpFrameListener {
    /// Accepts from `listener`.
    pub fn new(listener: TcpListener) -> Self {
        Self { listener }
    }
}

impl FrameListener for TcpFrameListener {
    type Sender = TcpFrameSender;
    type Receiver = TcpFrameReceiver;

    async fn accept(&mut self) -> io::Result<(TcpFrameSender, TcpFrameReceiver)> {
        let (stream, _) = self.listener.accept().await?;
        split(stream)
    }
}

impl FrameSender for TcpFrameSender {
    async fn send(&mut self, frame: Vec<u8>) -> io::Result<()> {
        if frame.len() > MAX_FRAME_BYTES {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, "the frame is too large"));
        }
        let mut bytes = Vec::with_capacity(LENGTH_BYTES + frame.len());
        bytes.extend_from_slice(&(frame.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&frame);
        let BufResult(result, _) = self.stream.write_all(bytes).await;
        result
    }
}

impl TcpFrameReceiver {
    /// A whole frame among the bytes received.
    fn take_frame(&mut self) -> io::Result<Option<Vec<u8>>> {
        let unread = &self.received[self.taken..];
        let Some(header) = unread.get(..LENGTH_BYTES) else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(header.try_into().expect("four bytes")) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "the frame is too large"));
        }
        let Some(frame) = unread.get(LENGTH_BYTES..LENGTH_BYTES + length) else {
            return Ok(None);
        };
        let frame = frame.to_vec();
        self.taken += LENGTH_BYTES + length;
        Ok(Some(frame))
    }
}

impl FrameReceiver for TcpFrameReceiver {
    async fn receive(&mut self) -> io::Result<Option<Vec<u8>>> {
        loop {
            if let Some(frame) = self.take_frame()? {
                return Ok(Some(frame));
            }
            self.received.drain(..self.taken);
            self.taken = 0;
            let mut scratch = std::mem::take(&mut self.scratch);
            scratch.clear();
            let BufResult(count, scratch) = self.stream.read(scratch).await;
            let ended = count? == 0;
            self.received.extend_from_slice(&scratch);
            self.scratch = scratch;
            if ended {
                return Ok(None);
            }
        }
    }
}
