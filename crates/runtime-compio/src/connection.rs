//! Frames over TCP: a length of four bytes, little end first, and then the frame.

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use saddlerelay_runtime::{FrameListener, FrameReceiver, FrameSender, MAX_FRAME_BYTES, Traffic};
use std::cell::Cell;
use std::io;
use std::rc::Rc;

const LENGTH_BYTES: usize = 4;
/// A peer that acknowledges nothing for so long is given up, in milliseconds. A cut link tells nobody.
const PEER_SILENCE_MS: u32 = 1_500;

const READ_BYTES: usize = 64 * 1024;

/// Counts what a process exchanges with its peers.
pub type TrafficCounter = Rc<Cell<Traffic>>;

/// Sends frames.
pub struct TcpFrameSender {
    stream: TcpStream,
    traffic: TrafficCounter,
}

/// Receives frames.
pub struct TcpFrameReceiver {
    stream: TcpStream,
    /// Bytes received that do not make a whole frame yet.
    received: Vec<u8>,
    /// How many of `received` belong to frames already given out.
    taken: usize,
    scratch: Vec<u8>,
    traffic: TrafficCounter,
}

/// Accepts connections.
pub struct TcpFrameListener {
    listener: TcpListener,
    traffic: TrafficCounter,
}

/// The two halves of `stream`, whose frames `traffic` counts.
pub fn split(stream: TcpStream, traffic: &TrafficCounter) -> io::Result<(TcpFrameSender, TcpFrameReceiver)> {
    stream.set_nodelay(true)?;
    rustix::net::sockopt::set_tcp_user_timeout(&stream, PEER_SILENCE_MS)?;
    let (read, write) = stream.into_split();
    let receiver = TcpFrameReceiver {
        stream: read,
        received: Vec::new(),
        taken: 0,
        scratch: Vec::with_capacity(READ_BYTES),
        traffic: traffic.clone(),
    };
    Ok((TcpFrameSender { stream: write, traffic: traffic.clone() }, receiver))
}

fn count(traffic: &TrafficCounter, change: impl FnOnce(&mut Traffic)) {
    let mut counted = traffic.get();
    change(&mut counted);
    traffic.set(counted);
}

impl TcpFrameListener {
    /// Accepts from `listener`.
    pub fn new(listener: TcpListener, traffic: TrafficCounter) -> Self {
        Self { listener, traffic }
    }
}

impl FrameListener for TcpFrameListener {
    type Sender = TcpFrameSender;
    type Receiver = TcpFrameReceiver;

    async fn accept(&mut self) -> io::Result<(TcpFrameSender, TcpFrameReceiver)> {
        let (stream, _) = self.listener.accept().await?;
        split(stream, &self.traffic)
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
        count(&self.traffic, |traffic| {
            traffic.sent_bytes += bytes.len() as u64;
            traffic.sent_frames += 1;
        });
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
        count(&self.traffic, |traffic| {
            traffic.received_bytes += (LENGTH_BYTES + length) as u64;
            traffic.received_frames += 1;
        });
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
