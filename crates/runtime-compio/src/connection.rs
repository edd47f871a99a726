//! Frames over TCP, each preceded by its length as a 4-byte little-endian integer.

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use saddlerelay_runtime::read_budget::ReadBudget;
use saddlerelay_runtime::{FrameListener, FrameReceiver, FrameSender, MAX_FRAME_BYTES, Traffic};
use std::cell::Cell;
use std::io;
use std::rc::Rc;

const LENGTH_BYTES: usize = 4;
/// `TCP_USER_TIMEOUT` in milliseconds: a connection is closed if sent data stays unacknowledged for this long, for
/// example during a network partition.
const TCP_USER_TIMEOUT_MS: u32 = 1_500;

/// Maximum number of bytes in one read.
const READ_BYTES: usize = 64 * 1024;

/// Shared counters of a process's traffic with its peers.
pub type TrafficCounter = Rc<Cell<Traffic>>;

/// Sending half of a TCP connection.
pub struct TcpFrameSender {
    stream: TcpStream,
    traffic: TrafficCounter,
}

/// Receiving half of a TCP connection.
pub struct TcpFrameReceiver {
    stream: TcpStream,
    /// Receive buffer.
    received: Vec<u8>,
    /// Number of bytes at the start of `received` that belong to frames already returned.
    consumed: usize,
    /// Buffer for one read, reused to avoid allocations.
    scratch: Vec<u8>,
    budget: ReadBudget,
    traffic: TrafficCounter,
}

/// Accepts TCP connections.
pub struct TcpFrameListener {
    listener: TcpListener,
    traffic: TrafficCounter,
}

/// Splits `stream` into two halves, counting their frames in `traffic`.
pub fn split(stream: TcpStream, traffic: &TrafficCounter) -> io::Result<(TcpFrameSender, TcpFrameReceiver)> {
    stream.set_nodelay(true)?;
    rustix::net::sockopt::set_tcp_user_timeout(&stream, TCP_USER_TIMEOUT_MS)?;
    let (read, write) = stream.into_split();
    let receiver = TcpFrameReceiver {
        stream: read,
        received: Vec::new(),
        consumed: 0,
        scratch: Vec::with_capacity(READ_BYTES),
        budget: ReadBudget::default(),
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
    /// Wraps `listener`.
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
            return Err(io::Error::new(io::ErrorKind::InvalidInput, "frame exceeds the maximum size"));
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
    /// Takes the next complete frame from the receive buffer; `None` if it is incomplete.
    fn take_frame(&mut self, max_bytes: usize) -> io::Result<Option<Vec<u8>>> {
        let unread = &self.received[self.consumed..];
        let Some(header) = unread.get(..LENGTH_BYTES) else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(header.try_into().expect("the slice has four bytes")) as usize;
        if length > max_bytes {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "frame exceeds the maximum size"));
        }
        let Some(frame) = unread.get(LENGTH_BYTES..LENGTH_BYTES + length) else {
            return Ok(None);
        };
        let frame = frame.to_vec();
        self.consumed += LENGTH_BYTES + length;
        count(&self.traffic, |traffic| {
            traffic.received_bytes += (LENGTH_BYTES + length) as u64;
            traffic.received_frames += 1;
        });
        Ok(Some(frame))
    }
}

impl FrameReceiver for TcpFrameReceiver {
    async fn receive_within(&mut self, max_bytes: usize) -> io::Result<Option<Vec<u8>>> {
        loop {
            if let Some(frame) = self.take_frame(max_bytes)? {
                return Ok(Some(frame));
            }
            self.received.drain(..self.consumed);
            self.consumed = 0;
            if self.received.is_empty() && self.received.capacity() > READ_BYTES {
                // Gives back the memory of a large frame.
                self.received = Vec::new();
            }
            self.budget.proceed().await;
            let mut scratch = std::mem::take(&mut self.scratch);
            scratch.clear();
            let BufResult(count, scratch) = self.stream.read(scratch).await;
            let count = count?;
            self.budget.record(count);
            self.received.extend_from_slice(&scratch);
            self.scratch = scratch;
            if count == 0 {
                return Ok(None);
            }
        }
    }
}
