//! Simulated connections between processes: ordered delivery with delays. Frames between partitioned zones are buffered
//! until the partition heals.

use crate::world::{Event, Process, World};
use futures::channel::mpsc;
use saddlerelay_runtime::{FrameListener, FrameReceiver, FrameSender};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;

/// Upper bound of the delay that `handshake_loss_per_mille` adds to a connection attempt.
const MAX_HANDSHAKE_LOSS_DELAY: Duration = Duration::from_millis(1000);

/// One-way delay within a zone.
const LOCAL_DELAY: Duration = Duration::from_micros(100);

/// Initial retransmission timeout of a stream, doubled with each consecutive loss (Linux: at least 200 ms).
const RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(200);

/// Initial retransmission timeout of a handshake, doubled with each consecutive loss (RFC 6298: 1 s).
const HANDSHAKE_RETRANSMISSION_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of consecutive losses, which bounds the delay of a frame.
const MAX_RETRANSMISSIONS: u32 = 6;

/// Faults of the links between zones. The bandwidth limit applies to each stream separately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// Probability per mille that a transmission is lost; retransmissions are lost with the same probability.
    pub lost_per_mille: u64,
    /// Bandwidth of a stream in bytes per second; 0 means unlimited.
    pub bytes_per_second: u64,
    /// Additional delay until a connection is established, to which up to `connect_jitter` is added.
    pub connect_delay: Duration,
    /// Upper bound of the random part of the connection delay.
    pub connect_jitter: Duration,
}

/// The sending and the receiving half of a connection.
pub type ConnectionHalves = (SimSender, SimReceiver);

struct ListeningSocket {
    process: Rc<Process>,
    queue: mpsc::UnboundedSender<ConnectionHalves>,
}

/// The network between the zones.
#[derive(Default)]
pub struct Network {
    listeners: RefCell<BTreeMap<SocketAddr, ListeningSocket>>,
    /// Partitioned pairs of zones: (sender, receiver).
    partitions: RefCell<BTreeSet<(usize, usize)>>,
    buffered: RefCell<Vec<Rc<Pipe>>>,
    zone_delay: Cell<Duration>,
    client_delay: Cell<Duration>,
    zones: Cell<usize>,
    /// Probability per mille that the first packet of a connection is lost.
    pub handshake_loss_per_mille: Cell<u64>,
    link_faults: Cell<LinkFaults>,
    /// Faults of the links of single zones; these override the faults of all links.
    zone_link_faults: RefCell<BTreeMap<usize, LinkFaults>>,
    /// Number of frames sent between zones.
    frames: Cell<u64>,
    /// Number of bytes sent between zones.
    bytes: Cell<u64>,
}

impl Network {
    /// Sets the one-way delays; the clients' zone has the index `zones`.
    pub fn set_delays(&self, zones: usize, zone_delay: Duration, client_delay: Duration) {
        self.zones.set(zones);
        self.zone_delay.set(zone_delay);
        self.client_delay.set(client_delay);
    }

    fn delay(&self, from: usize, to: usize) -> Duration {
        let clients = self.zones.get();
        if from == to {
            LOCAL_DELAY
        } else if from == clients || to == clients {
            self.client_delay.get()
        } else {
            self.zone_delay.get()
        }
    }

    /// Sets the faults of all links between zones.
    pub fn set_link_faults(&self, link_faults: LinkFaults) {
        self.link_faults.set(link_faults);
    }

    /// Sets the faults of the links between one zone and all others.
    pub fn set_zone_link_faults(&self, zone: usize, link_faults: LinkFaults) {
        self.zone_link_faults.borrow_mut().insert(zone, link_faults);
    }

    /// Number of frames and bytes sent between zones.
    pub fn sent_between_zones(&self) -> (u64, u64) {
        (self.frames.get(), self.bytes.get())
    }

    fn count_packet(&self, from: usize, to: usize, packet: &Packet) {
        if from != to {
            self.frames.set(self.frames.get() + 1);
            self.bytes.set(self.bytes.get() + packet.size());
        }
    }

    fn link_faults_between(&self, from: usize, to: usize) -> LinkFaults {
        if from == to {
            return LinkFaults::default();
        }
        let zone_link_faults = self.zone_link_faults.borrow();
        zone_link_faults.get(&from).or_else(|| zone_link_faults.get(&to)).copied().unwrap_or(self.link_faults.get())
    }

    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        self.partitions.borrow().contains(&(from, to))
    }

    /// Partitions a zone from the other zones; with `one_way`, blocks only its outbound traffic.
    pub fn partition(&self, zone: usize, one_way: bool) {
        let mut partitions = self.partitions.borrow_mut();
        for other in (0..self.zones.get()).filter(|other| *other != zone) {
            partitions.insert((zone, other));
            if !one_way {
                partitions.insert((other, zone));
            }
        }
    }

    /// Partitions two zones from each other; both still reach the other zones.
    pub fn partition_between(&self, one: usize, other: usize) {
        self.partitions.borrow_mut().extend([(one, other), (other, one)]);
    }

    /// Blocks a zone's inbound traffic from the other zones.
    pub fn block_inbound(&self, zone: usize) {
        let others = (0..self.zones.get()).filter(|other| *other != zone);
        self.partitions.borrow_mut().extend(others.map(|other| (other, zone)));
    }

    /// Removes every partition that involves the zone and sends the buffered frames of all connections.
    pub fn heal(&self, zone: usize) {
        self.partitions.borrow_mut().retain(|(from, to)| *from != zone && *to != zone);
        let buffered = std::mem::take(&mut *self.buffered.borrow_mut());
        for pipe in buffered {
            pipe.release();
        }
    }
}

/// A unit of transmission on a pipe.
enum Packet {
    Frame(Vec<u8>),
    End,
}

impl Packet {
    fn size(&self) -> u64 {
        match self {
            Self::Frame(frame) => frame.len() as u64,
            Self::End => 0,
        }
    }
}

/// Random total delay caused by consecutive losses, with exponential backoff.
fn retransmission_delay(world: &World, lost_per_mille: u64, initial_timeout: Duration) -> Duration {
    let mut total = Duration::ZERO;
    let mut timeout = initial_timeout;
    // Draws no random number without losses, so that such runs do not depend on this function.
    for _ in 0..MAX_RETRANSMISSIONS {
        if lost_per_mille == 0 || world.random() % 1000 >= lost_per_mille {
            break;
        }
        total += timeout;
        timeout *= 2;
    }
    total
}

/// One direction of a connection.
struct Pipe {
    world: Rc<World>,
    from: usize,
    to: usize,
    last_arrival: Cell<Duration>,
    /// When the transmission of earlier packets ends, at the limited bandwidth.
    transmission_end: Cell<Duration>,
    buffered: RefCell<VecDeque<Packet>>,
    arrived: RefCell<VecDeque<Vec<u8>>>,
    closed: Cell<bool>,
    receiver_dropped: Cell<bool>,
    reader: RefCell<Option<Waker>>,
}

impl Pipe {
    fn new(world: &Rc<World>, from: usize, to: usize) -> Rc<Self> {
        Rc::new(Self {
            world: world.clone(),
            from,
            to,
            last_arrival: Cell::default(),
            transmission_end: Cell::default(),
            buffered: RefCell::default(),
            arrived: RefCell::default(),
            closed: Cell::default(),
            receiver_dropped: Cell::default(),
            reader: RefCell::default(),
        })
    }

    fn send(self: &Rc<Self>, packet: Packet) {
        if self.world.network.is_partitioned(self.from, self.to) || !self.buffered.borrow().is_empty() {
            self.buffer(packet);
            return;
        }
        let delay = self.world.network.delay(self.from, self.to);
        let jitter = self.world.jitter(delay / 2);
        let link_faults = self.world.network.link_faults_between(self.from, self.to);
        let retransmission = retransmission_delay(&self.world, link_faults.lost_per_mille, RETRANSMISSION_TIMEOUT);
        let scaled_bytes = packet.size() * 1_000_000;
        let transfer = Duration::from_micros(scaled_bytes.checked_div(link_faults.bytes_per_second).unwrap_or(0));
        let transmission_start = self.world.clock.now().max(self.transmission_end.get());
        self.transmission_end.set(transmission_start + transfer);
        // Packets are delivered in order.
        let at = (transmission_start + transfer + delay + jitter + retransmission).max(self.last_arrival.get());
        self.world.network.count_packet(self.from, self.to, &packet);
        self.last_arrival.set(at);
        let pipe = self.clone();
        self.world.clock.schedule(at, Event::Call(Box::new(move || pipe.arrive(packet))));
    }

    fn buffer(self: &Rc<Self>, packet: Packet) {
        self.buffered.borrow_mut().push_back(packet);
        self.world.network.buffered.borrow_mut().push(self.clone());
    }

    fn release(self: &Rc<Self>) {
        let buffered = std::mem::take(&mut *self.buffered.borrow_mut());
        buffered.into_iter().for_each(|packet| self.send(packet));
    }

    /// Delivers a packet, or buffers it if the zones were partitioned while it was in transit.
    fn arrive(self: Rc<Self>, packet: Packet) {
        if self.world.network.is_partitioned(self.from, self.to) || !self.buffered.borrow().is_empty() {
            self.buffer(packet);
            return;
        }
        match packet {
            Packet::Frame(frame) => self.arrived.borrow_mut().push_back(frame),
            Packet::End => self.closed.set(true),
        }
        let reader = self.reader.borrow_mut().take();
        if let Some(reader) = reader {
            reader.wake();
        }
    }
}

/// Sends frames on a simulated connection.
pub struct SimSender {
    pipe: Rc<Pipe>,
}

/// Receives frames from a simulated connection.
pub struct SimReceiver {
    pipe: Rc<Pipe>,
}

/// Accepts simulated connections.
pub struct SimListener {
    queue: mpsc::UnboundedReceiver<ConnectionHalves>,
}

impl FrameSender for SimSender {
    async fn send(&mut self, frame: Vec<u8>) -> io::Result<()> {
        if self.pipe.receiver_dropped.get() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        self.pipe.send(Packet::Frame(frame));
        Ok(())
    }
}

impl Drop for SimSender {
    fn drop(&mut self) {
        self.pipe.send(Packet::End);
    }
}

impl FrameReceiver for SimReceiver {
    async fn receive_within(&mut self, max_bytes: usize) -> io::Result<Option<Vec<u8>>> {
        poll_fn(|context| {
            if let Some(frame) = self.pipe.arrived.borrow_mut().pop_front() {
                let is_admitted = frame.len() <= max_bytes;
                return Poll::Ready(
                    is_admitted.then_some(Some(frame)).ok_or_else(|| io::ErrorKind::InvalidData.into()),
                );
            }
            if self.pipe.closed.get() {
                return Poll::Ready(Ok(None));
            }
            *self.pipe.reader.borrow_mut() = Some(context.waker().clone());
            Poll::Pending
        })
        .await
    }
}

impl Drop for SimReceiver {
    fn drop(&mut self) {
        self.pipe.receiver_dropped.set(true);
    }
}

impl SimListener {
    /// Removes a connection from the backlog, whose connections are established but not yet accepted.
    pub fn backlog(&mut self) -> Option<ConnectionHalves> {
        self.queue.try_recv().ok()
    }
}

impl FrameListener for SimListener {
    type Sender = SimSender;
    type Receiver = SimReceiver;

    async fn accept(&mut self) -> io::Result<ConnectionHalves> {
        use futures::StreamExt;
        match self.queue.next().await {
            Some(accepted) => Ok(accepted),
            None => std::future::pending().await,
        }
    }
}

/// Listens on `address` for `process`.
pub fn listen(world: &World, process: &Rc<Process>, address: SocketAddr) -> SimListener {
    let (queue, accepted) = mpsc::unbounded();
    let listening = ListeningSocket { process: process.clone(), queue };
    world.network.listeners.borrow_mut().insert(address, listening);
    SimListener { queue: accepted }
}

/// Random delay caused by a lost first packet; zero if it is not lost.
fn handshake_loss_delay(world: &World) -> Duration {
    if world.random() % 1000 < world.network.handshake_loss_per_mille.get() {
        world.jitter(MAX_HANDSHAKE_LOSS_DELAY)
    } else {
        Duration::ZERO
    }
}

/// Connects `process` to `address`. Never completes if the zones are partitioned in either direction.
pub async fn connect(world: &Rc<World>, process: &Rc<Process>, address: SocketAddr) -> io::Result<ConnectionHalves> {
    let refused = || io::Error::from(io::ErrorKind::ConnectionRefused);
    let zone_of_listener = |world: &World| {
        let listeners = world.network.listeners.borrow();
        listeners.get(&address).map(|listening| listening.process.zone)
    };
    let Some(to) = zone_of_listener(world) else {
        return Err(refused());
    };
    let from = process.zone;
    let link_faults = world.network.link_faults_between(from, to);
    let connect_jitter =
        if link_faults.connect_jitter.is_zero() { Duration::ZERO } else { world.jitter(link_faults.connect_jitter) };
    let retransmission = retransmission_delay(world, link_faults.lost_per_mille, HANDSHAKE_RETRANSMISSION_TIMEOUT);
    let extra_delay = link_faults.connect_delay + connect_jitter + retransmission;
    let round_trip = world.network.delay(from, to) * 2 + handshake_loss_delay(world) + extra_delay;
    crate::world::Sleep::new(world.clock.clone(), world.clock.now() + round_trip).await;
    if world.network.is_partitioned(from, to) || world.network.is_partitioned(to, from) {
        return std::future::pending().await;
    }
    let listeners = world.network.listeners.borrow();
    let listening = listeners.get(&address).filter(|listening| listening.process.is_alive()).ok_or_else(refused)?;
    let outbound = Pipe::new(world, from, to);
    let inbound = Pipe::new(world, to, from);
    let accepted = (SimSender { pipe: inbound.clone() }, SimReceiver { pipe: outbound.clone() });
    listening.queue.unbounded_send(accepted).map_err(|_| refused())?;
    Ok((SimSender { pipe: outbound }, SimReceiver { pipe: inbound }))
}
