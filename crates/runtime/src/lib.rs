//! Abstraction of the environment that a node runs in: clock, timers, tasks, connections, disk, randomness and
//! backends.
//!
//! Node code is generic over [`Runtime`], so that the same code runs on real machines and in the simulator.
#![allow(async_fn_in_trait)]

pub mod backend;
pub mod read_budget;
pub mod repeated_event;
pub mod signal;
pub mod steps;
pub mod timeout;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum frame size in bytes.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Sending half of a framed connection.
pub trait FrameSender: 'static {
    /// Sends `frame`; an error means that the connection is unusable.
    async fn send(&mut self, frame: Vec<u8>) -> io::Result<()>;
}

/// Receiving half of a framed connection.
pub trait FrameReceiver: 'static {
    /// Receives the next frame; `None` if the peer closed the connection.
    async fn receive(&mut self) -> io::Result<Option<Vec<u8>>> {
        self.receive_within(MAX_FRAME_BYTES).await
    }

    /// As [`Self::receive`]; an error if the frame has more than `max_bytes`, before it is received.
    async fn receive_within(&mut self, max_bytes: usize) -> io::Result<Option<Vec<u8>>>;
}

/// Accepts framed connections.
pub trait FrameListener: 'static {
    /// The sending half of an accepted connection.
    type Sender: FrameSender;
    /// The receiving half of an accepted connection.
    type Receiver: FrameReceiver;
    /// Accepts the next connection.
    async fn accept(&mut self) -> io::Result<(Self::Sender, Self::Receiver)>;
}

/// Files in the process's data folder. Writes are durable only after `sync` or `replace` has returned.
pub trait Disk: Clone + 'static {
    /// Reads the whole file; `None` if it does not exist.
    async fn read(&self, file: &str) -> io::Result<Option<Vec<u8>>>;
    /// Reads up to `length` bytes from `offset`; fewer at the end of the file, and none if the file does not
    /// exist.
    async fn read_range(&self, file: &str, offset: u64, length: usize) -> io::Result<Vec<u8>>;
    /// Appends to the file, creating it if it does not exist.
    async fn append(&self, file: &str, bytes: Vec<u8>) -> io::Result<()>;
    /// Makes all appended data durable, including data appended by an earlier process. Succeeds if the file does
    /// not exist.
    async fn sync(&self, file: &str) -> io::Result<()>;
    /// Makes the directory entries durable, including files created, renamed or removed by an earlier process.
    async fn sync_folder(&self) -> io::Result<()>;
    /// Replaces the file's content atomically and durably.
    async fn replace(&self, file: &str, bytes: Vec<u8>) -> io::Result<()>;
    /// Removes the file if it exists. The removal is not durable: the file may reappear after a crash.
    async fn remove(&self, file: &str) -> io::Result<()>;
}

/// Traffic with other saddlerelay processes since this process started. Bytes include frames but no network headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Frames sent.
    pub sent_frames: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Frames received.
    pub received_frames: u64,
}

/// The environment of a process.
pub trait Runtime: Clone + 'static {
    /// Sending half of an outgoing connection.
    type Sender: FrameSender;
    /// Receiving half of an outgoing connection.
    type Receiver: FrameReceiver;
    /// Listener for incoming connections.
    type Listener: FrameListener;
    /// Storage of the process.
    type Disk: Disk;

    /// Monotonic time since an arbitrary start. It may stop while the machine is suspended.
    fn monotonic(&self) -> Duration;
    /// Wall clock in Unix milliseconds; subject to clock error.
    fn unix_milliseconds(&self) -> u64;
    /// Waits for `duration`.
    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + 'static;
    /// Spawns a detached task.
    fn spawn(&self, task: impl Future<Output = ()> + 'static);
    /// A uniformly distributed random number.
    fn random(&self) -> u64;
    /// Connects to a peer.
    async fn connect(&self, address: SocketAddr) -> io::Result<(Self::Sender, Self::Receiver)>;
    /// Listens for connections from peers.
    async fn listen(&self, address: SocketAddr) -> io::Result<Self::Listener>;
    /// Files in the process's data folder.
    fn disk(&self) -> Self::Disk;

    /// Traffic with peers so far; zero on platforms that do not count it.
    fn traffic(&self) -> Traffic {
        Traffic::default()
    }

    /// A random duration below `limit`.
    fn jitter(&self, limit: Duration) -> Duration {
        let nanoseconds = limit.as_nanos().max(1) as u64;
        Duration::from_nanos(self.random() % nanoseconds)
    }
}
