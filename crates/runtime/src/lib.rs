//! The seam between node code and the machine: clock, sleep, spawn, connections, disk, randomness, back ends.
//!
//! Node code is generic over [`Runtime`] and runs unchanged on real machines and in the simulator.
#![allow(async_fn_in_trait)]

pub mod backend;
pub mod repeated_event;
pub mod signal;
pub mod steps;
pub mod timeout;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Largest frame accepted from a peer, in bytes.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Sends whole frames on one connection.
pub trait FrameSender: 'static {
    /// Sends `frame`; an error means that the connection is unusable.
    async fn send(&mut self, frame: Vec<u8>) -> io::Result<()>;
}

/// Receives whole frames from one connection.
pub trait FrameReceiver: 'static {
    /// The next frame, or `None` when the peer closed the connection.
    async fn receive(&mut self) -> io::Result<Option<Vec<u8>>>;
}

/// Accepts connections.
pub trait FrameListener: 'static {
    /// The sending half of an accepted connection.
    type Sender: FrameSender;
    /// The receiving half of an accepted connection.
    type Receiver: FrameReceiver;
    /// The next connection.
    async fn accept(&mut self) -> io::Result<(Self::Sender, Self::Receiver)>;
}

/// Files in the process's data folder. Nothing lasts before a `sync` or `replace` has returned.
pub trait Disk: Clone + 'static {
    /// The whole file, or `None` when it does not exist.
    async fn read(&self, file: &str) -> io::Result<Option<Vec<u8>>>;
    /// Up to `length` bytes of the file from `offset` on; fewer at its end, and none of a file that does not exist.
    async fn read_range(&self, file: &str, offset: u64, length: usize) -> io::Result<Vec<u8>>;
    /// Appends to the file, creating it if need be.
    async fn append(&self, file: &str, bytes: Vec<u8>) -> io::Result<()>;
    /// Makes what was appended last, also what an earlier process appended. A file that does not exist is no error.
    async fn sync(&self, file: &str) -> io::Result<()>;
    /// Makes the names of all files last as they are now, also those that an earlier process made, renamed or removed.
    async fn sync_folder(&self) -> io::Result<()>;
    /// Replaces the file with `bytes`, wholly or not at all, and makes it last.
    async fn replace(&self, file: &str, bytes: Vec<u8>) -> io::Result<()>;
    /// Removes the file, if there is one. It may be back after a crash.
    async fn remove(&self, file: &str) -> io::Result<()>;
}

/// What a process has exchanged with saddlerelay's own processes since it started. Bytes are those of frames, without
/// the network's own headers.
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

/// A machine as a process sees it.
pub trait Runtime: Clone + 'static {
    /// Sending half of a connection made here.
    type Sender: FrameSender;
    /// Receiving half of a connection made here.
    type Receiver: FrameReceiver;
    /// Listener.
    type Listener: FrameListener;
    /// Disk.
    type Disk: Disk;

    /// Time since an arbitrary start; never goes back, may stand still with the machine.
    fn monotonic(&self) -> Duration;
    /// Unix milliseconds; may be wrong by the machine's clock error.
    fn unix_milliseconds(&self) -> u64;
    /// Waits.
    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + 'static;
    /// Runs a task until it ends or the process does.
    fn spawn(&self, task: impl Future<Output = ()> + 'static);
    /// A random number.
    fn random(&self) -> u64;
    /// Connects to a peer.
    async fn connect(&self, address: SocketAddr) -> io::Result<(Self::Sender, Self::Receiver)>;
    /// Listens for peers.
    async fn listen(&self, address: SocketAddr) -> io::Result<Self::Listener>;
    /// The process's disk.
    fn disk(&self) -> Self::Disk;

    /// What has been exchanged with peers so far, where the platform counts it.
    fn traffic(&self) -> Traffic {
        Traffic::default()
    }

    /// A random duration below `limit`.
    fn jitter(&self, limit: Duration) -> Duration {
        let nanoseconds = limit.as_nanos().max(1) as u64;
        Duration::from_nanos(self.random() % nanoseconds)
    }
}
