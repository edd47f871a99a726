//! Connections between processes: ordered like TCP's, with delays, and held back while their zones are cut off.

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

/// Longest time until a lost first packet is sent again.
const HANDSHAKE_RESEND: Duration = Duration::from_millis(1000);

/// Time inside one zone.
const LOCAL_DELAY: Duration = Duration::from_micros(100);

/// First wait of a stream before it sends a lost packet again; it doubles with each loss in a row (Linux: 200 ms at least).
const RESEND: Duration = Duration::from_millis(200);

/// First wait before the first packet of a connection is sent again; it doubles too (RFC 6298: 1 s).
const HANDSHAKE_FIRST_RESEND: Duration = Duration::from_secs(1);

/// Doublings at most: a stream that never got through would hold a run up for ever.
const MOST_RESENDS: u32 = 6;

/// What is wrong with every link between two zones. Each stream has the rate for itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkTrouble {
    /// Frames in a thousand that are lost once, and of those as many again.
    pub lost_per_mille: u64,
    /// Bytes that a stream carries in a second; 0: no limit.
    pub bytes_per_second: u64,
    /// Least additional time until a connection is open; up to `connect_jitter` more.
    pub connect_delay: Duration,
    /// Random part of that time.
    pub connect_jitter: Duration,
}

/// Both halves of a connection.
pub type Accepted = (SimSender, SimReceiver);

struct Listening {
    process: Rc<Process>,
    queue: mpsc::UnboundedSender<Accepted>,
}

/// The network between the zones.
#[derive(Default)]
pub struct Network {
    listeners: RefCell<BTreeMap<SocketAddr, Listening>>,
    /// Pairs of zones between which nothing passes, in the order of travel.
    cuts: RefCell<BTreeSet<(usize, usize)>>,
    held: RefCell<Vec<Rc<Pipe>>>,
    zone_delay: Cell<Duration>,
    client_delay: Cell<Duration>,
    zones: Cell<usize>,
    /// Connections in a thousand whose first packet is lost.
    pub lost_handshakes: Cell<u64>,
    trouble: Cell<LinkTrouble>,
    /// What is wrong with the links of single zones to all others, in place of what is wrong with every link.
    zone_trouble: RefCell<BTreeMap<usize, LinkTrouble>>,
    /// Frames that were sent from one zone to another.
    frames: Cell<u64>,
    /// Their bytes.
    bytes: Cell<u64>,
}

impl Network {
    /// Sets the delays; the clients' zone is beyond the last.
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

    /// Sets what is wrong with every link between two zones from now on.
    pub fn set_trouble(&self, trouble: LinkTrouble) {
        self.trouble.set(trouble);
    }

    /// Sets what is wrong with one zone's links to all others from now on.
    pub fn set_zone_trouble(&self, zone: usize, trouble: LinkTrouble) {
        self.zone_trouble.borrow_mut().insert(zone, trouble);
    }

    /// Frames and bytes that were sent from one zone to another so far.
    pub fn sent_between_zones(&self) -> (u64, u64) {
        (self.frames.get(), self.bytes.get())
    }

    fn count(&self, from: usize, to: usize, parcel: &Parcel) {
        if from != to {
            self.frames.set(self.frames.get() + 1);
            self.bytes.set(self.bytes.get() + parcel.size());
        }
    }

    fn trouble_between(&self, from: usize, to: usize) -> LinkTrouble {
        if from == to {
            return LinkTrouble::default();
        }
        let of_zones = self.zone_trouble.borrow();
        of_zones.get(&from).or_else(|| of_zones.get(&to)).copied().unwrap_or(self.trouble.get())
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.borrow().contains(&(from, to))
    }

    /// Cuts a zone off from the other zones, or only what it sends.
    pub fn cut(&self, zone: usize, one_way: bool) {
        let mut cuts = self.cuts.borrow_mut();
        for other in (0..self.zones.get()).filter(|other| *other != zone) {
            cuts.insert((zone, other));
            if !one_way {
                cuts.insert((other, zone));
            }
        }
    }

    /// Cuts two zones off from each other only; both reach the others.
    pub fn cut_between(&self, one: usize, other: usize) {
        self.cuts.borrow_mut().extend([(one, other), (other, one)]);
    }

    /// Cuts off what a zone is sent from the other zones.
    pub fn deafen(&self, zone: usize) {
        let others = (0..self.zones.get()).filter(|other| *other != zone);
        self.cuts.borrow_mut().extend(others.map(|other| (other, zone)));
    }

    /// Heals every cut of a zone; what was held back arrives.
    pub fn heal(&self, zone: usize) {
        self.cuts.borrow_mut().retain(|(from, to)| *from != zone && *to != zone);
        let held = std::mem::take(&mut *self.held.borrow_mut());
        for pipe in held {
            pipe.release();
        }
    }
}

/// What travels.
enum Parcel {
    Frame(Vec<u8>),
    End,
}

impl Parcel {
    fn size(&self) -> u64 {
        match self {
            Self::Frame(frame) => frame.len() as u64,
            Self::End => 0,
        }
    }
}

/// How long losses in a row hold something up, each wait twice the one before.
fn resend_time(world: &World, lost_per_mille: u64, first: Duration) -> Duration {
    let mut total = Duration::ZERO;
    let mut wait = first;
    // Without losses nothing is drawn: the other random choices of a seed stay as they are.
    for _ in 0..MOST_RESENDS {
        if lost_per_mille == 0 || world.random() % 1000 >= lost_per_mille {
            break;
        }
        total += wait;
        wait *= 2;
    }
    total
}

/// One direction of a connection.
struct Pipe {
    world: Rc<World>,
    from: usize,
    to: usize,
    last_arrival: Cell<Duration>,
    /// When what was sent before has left, at a limited rate.
    free_at: Cell<Duration>,
    held: RefCell<VecDeque<Parcel>>,
    arrived: RefCell<VecDeque<Vec<u8>>>,
    ended: Cell<bool>,
    reader_gone: Cell<bool>,
    reader: RefCell<Option<Waker>>,
}

impl Pipe {
    fn new(world: &Rc<World>, from: usize, to: usize) -> Rc<Self> {
        Rc::new(Self {
            world: world.clone(),
            from,
            to,
            last_arrival: Cell::default(),
            free_at: Cell::default(),
            held: RefCell::default(),
            arrived: RefCell::default(),
            ended: Cell::default(),
            reader_gone: Cell::default(),
            reader: RefCell::default(),
        })
    }

    fn send(self: &Rc<Self>, parcel: Parcel) {
        if self.world.network.is_cut(self.from, self.to) || !self.held.borrow().is_empty() {
            self.hold(parcel);
            return;
        }
        let delay = self.world.network.delay(self.from, self.to);
        let jitter = self.world.jitter(delay / 2);
        let trouble = self.world.network.trouble_between(self.from, self.to);
        let resend = resend_time(&self.world, trouble.lost_per_mille, RESEND);
        let carried = parcel.size() * 1_000_000;
        let transfer = Duration::from_micros(carried.checked_div(trouble.bytes_per_second).unwrap_or(0));
        let begins = self.world.clock.now().max(self.free_at.get());
        self.free_at.set(begins + transfer);
        // A stream keeps its order.
        let at = (begins + transfer + delay + jitter + resend).max(self.last_arrival.get());
        self.world.network.count(self.from, self.to, &parcel);
        self.last_arrival.set(at);
        let pipe = self.clone();
        self.world.clock.schedule(at, Event::Call(Box::new(move || pipe.arrive(parcel))));
    }

    fn hold(self: &Rc<Self>, parcel: Parcel) {
        self.held.borrow_mut().push_back(parcel);
        self.world.network.held.borrow_mut().push(self.clone());
    }

    fn release(self: &Rc<Self>) {
        let held = std::mem::take(&mut *self.held.borrow_mut());
        held.into_iter().for_each(|parcel| self.send(parcel));
    }

    /// What was on its way when a cut came is held back too.
    fn arrive(self: Rc<Self>, parcel: Parcel) {
        if self.world.network.is_cut(self.from, self.to) || !self.held.borrow().is_empty() {
            self.hold(parcel);
            return;
        }
        match parcel {
            Parcel::Frame(frame) => self.arrived.borrow_mut().push_back(frame),
            Parcel::End => self.ended.set(true),
        }
        let reader = self.reader.borrow_mut().take();
        if let Some(reader) = reader {
            reader.wake();
        }
    }
}

/// Sends frames.
pub struct SimSender {
    pipe: Rc<Pipe>,
}

/// Receives frames.
pub struct SimReceiver {
    pipe: Rc<Pipe>,
}

/// Accepts connections.
pub struct SimListener {
    queue: mpsc::UnboundedReceiver<Accepted>,
}

impl FrameSender for SimSender {
    async fn send(&mut self, frame: Vec<u8>) -> io::Result<()> {
        if self.pipe.reader_gone.get() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        self.pipe.send(Parcel::Frame(frame));
        Ok(())
    }
}

impl Drop for SimSender {
    fn drop(&mut self) {
        self.pipe.send(Parcel::End);
    }
}

impl FrameReceiver for SimReceiver {
    async fn receive(&mut self) -> io::Result<Option<Vec<u8>>> {
        poll_fn(|context| {
            if let Some(frame) = self.pipe.arrived.borrow_mut().pop_front() {
                return Poll::Ready(Ok(Some(frame)));
            }
            if self.pipe.ended.get() {
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
        self.pipe.reader_gone.set(true);
    }
}

impl SimListener {
    /// A connection that is made and not accepted yet.
    pub fn backlog(&mut self) -> Option<Accepted> {
        self.queue.try_recv().ok()
    }
}

impl FrameListener for SimListener {
    type Sender = SimSender;
    type Receiver = SimReceiver;

    async fn accept(&mut self) -> io::Result<Accepted> {
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
    let listening = Listening { process: process.clone(), queue };
    world.network.listeners.borrow_mut().insert(address, listening);
    SimListener { queue: accepted }
}

/// The time that a lost first packet adds to a connection, mostly none.
fn lost_handshake(world: &World) -> Duration {
    if world.random() % 1000 < world.network.lost_handshakes.get() {
        world.jitter(HANDSHAKE_RESEND)
    } else {
        Duration::ZERO
    }
}

/// Connects `process` to `address`. While the way is cut, nothing comes back.
pub async fn connect(world: &Rc<World>, process: &Rc<Process>, address: SocketAddr) -> io::Result<Accepted> {
    let refused = || io::Error::from(io::ErrorKind::ConnectionRefused);
    let zone_of_listener = |world: &World| {
        let listeners = world.network.listeners.borrow();
        listeners.get(&address).map(|listening| listening.process.zone)
    };
    let Some(to) = zone_of_listener(world) else {
        return Err(refused());
    };
    let from = process.zone;
    let trouble = world.network.trouble_between(from, to);
    let late = if trouble.connect_jitter.is_zero() { Duration::ZERO } else { world.jitter(trouble.connect_jitter) };
    let resend = resend_time(world, trouble.lost_per_mille, HANDSHAKE_FIRST_RESEND);
    let held_up = trouble.connect_delay + late + resend;
    let round_trip = world.network.delay(from, to) * 2 + lost_handshake(world) + held_up;
    crate::world::Sleep::new(world.clock.clone(), world.clock.now() + round_trip).await;
    if world.network.is_cut(from, to) || world.network.is_cut(to, from) {
        return std::future::pending().await;
    }
    let listeners = world.network.listeners.borrow();
    let listening = listeners.get(&address).filter(|listening| listening.process.is_alive()).ok_or_else(refused)?;
    let there = Pipe::new(world, from, to);
    let back = Pipe::new(world, to, from);
    let accepted = (SimSender { pipe: back.clone() }, SimReceiver { pipe: there.clone() });
    listening.queue.unbounded_send(accepted).map_err(|_| refused())?;
    Ok((SimSender { pipe: there }, SimReceiver { pipe: back }))
}
