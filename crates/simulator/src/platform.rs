//! The runtime traits on top of the simulated world.

use crate::disk::SimDisk;
use crate::network::{self, SimListener, SimReceiver, SimSender};
use crate::world::{Process, ProcessSleep, START_UNIX_MILLISECONDS, World};
use saddlerelay_runtime::Runtime;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The runtime of one simulated process.
#[derive(Clone)]
pub struct SimRuntime {
    /// The simulated world.
    pub world: Rc<World>,
    /// The process.
    pub process: Rc<Process>,
}

impl Runtime for SimRuntime {
    type Sender = SimSender;
    type Receiver = SimReceiver;
    type Listener = SimListener;
    type Disk = SimDisk;

    fn monotonic(&self) -> Duration {
        self.world.clock.now()
    }

    fn unix_milliseconds(&self) -> u64 {
        let true_time = START_UNIX_MILLISECONDS + self.world.clock.now().as_millis() as u64;
        true_time.saturating_add_signed(self.process.clock_error)
    }

    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + 'static {
        ProcessSleep::new(self.world.clock.clone(), self.process.clone(), duration)
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.world.spawn(&self.process, task);
    }

    fn random(&self) -> u64 {
        self.world.random()
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<(SimSender, SimReceiver)> {
        network::connect(&self.world, &self.process, address).await
    }

    async fn listen(&self, address: SocketAddr) -> io::Result<SimListener> {
        Ok(network::listen(&self.world, &self.process, address))
    }

    fn disk(&self) -> SimDisk {
        SimDisk::new(self.world.clone(), self.process.clone())
    }
}
