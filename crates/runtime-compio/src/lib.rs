//! [`Runtime`] on a real machine, based on compio.

pub mod clock;
pub mod connection;
pub mod disk;
pub mod listening;

use clock::Clock;
use compio::net::{TcpListener, TcpStream};
use connection::{TcpFrameListener, TcpFrameReceiver, TcpFrameSender, TrafficCounter};
use disk::FolderDisk;
use saddlerelay_runtime::{Runtime, Traffic};
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// The environment of a process on this machine. Clones share the clock, random number generator, data folder and
/// traffic counters.
#[derive(Clone)]
pub struct CompioRuntime {
    clock: Rc<Clock>,
    random: Rc<RefCell<fastrand::Rng>>,
    disk: FolderDisk,
    traffic: TrafficCounter,
}

impl CompioRuntime {
    /// Creates a runtime whose files are stored in `data_folder`, which must exist.
    pub fn new(data_folder: PathBuf) -> Self {
        Self {
            clock: Rc::new(Clock::new()),
            random: Rc::new(RefCell::new(fastrand::Rng::new())),
            disk: FolderDisk::new(data_folder),
            traffic: TrafficCounter::default(),
        }
    }
}

impl CompioRuntime {
    /// Creates a runtime for a process without files.
    pub fn without_files() -> Self {
        Self::new(PathBuf::new())
    }
}

impl Runtime for CompioRuntime {
    type Sender = TcpFrameSender;
    type Receiver = TcpFrameReceiver;
    type Listener = TcpFrameListener;
    type Disk = FolderDisk;

    fn monotonic(&self) -> Duration {
        self.clock.monotonic()
    }

    fn unix_milliseconds(&self) -> u64 {
        clock::unix_time().as_millis() as u64
    }

    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + 'static {
        compio::time::sleep(duration)
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        compio::runtime::spawn(task).detach();
    }

    fn random(&self) -> u64 {
        self.random.borrow_mut().u64(..)
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<(TcpFrameSender, TcpFrameReceiver)> {
        let stream = TcpStream::connect(address).await?;
        connection::split(stream, &self.traffic)
    }

    async fn listen(&self, address: SocketAddr) -> io::Result<TcpFrameListener> {
        Ok(TcpFrameListener::new(TcpListener::bind(address).await?, self.traffic.clone()))
    }

    fn traffic(&self) -> Traffic {
        self.traffic.get()
    }

    fn disk(&self) -> FolderDisk {
        self.disk.clone()
    }
}
