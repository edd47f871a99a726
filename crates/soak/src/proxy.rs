//! A proxy in front of one listening address: passes connections on as the links between their two ends allow.

use crate::links::{Links, Party};
use compio::BufResult;
use compio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use futures::future::{self, Either};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Bytes passed on at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Pause before an address that is still taken is tried again.
const REBIND_PAUSE: Duration = Duration::from_millis(10);

/// How a proxy tells who opened a connection.
#[derive(Clone)]
pub enum Identify {
    /// It is always the same one.
    Always(Party),
    /// It is one of these processes; whoever is none of them is outside.
    ByProcess(ProcessTable),
}

impl Identify {
    /// Who opened the connection from `peer` to `own`. Asked of the operating system on another thread: the answer
    /// takes milliseconds, for which every other connection would stand still.
    async fn caller(&self, peer: SocketAddr, own: SocketAddr) -> Party {
        let processes = match self {
            Self::Always(party) => return *party,
            Self::ByProcess(table) => table.processes.borrow().clone(),
        };
        let began = Instant::now();
        let numbers: Vec<u32> = processes.iter().map(|(number, _)| *number).collect();
        let owner = compio::runtime::spawn_blocking(move || crate::owner::owner_of(peer, own, &numbers)).await;
        let owner = owner.ok().flatten();
        if let Self::ByProcess(table) = self {
            table.slowest_look_up.set(table.slowest_look_up.get().max(began.elapsed()));
        }
        let found = processes.iter().find(|(number, _)| Some(*number) == owner);
        found.map_or(Party::Outside, |(_, party)| *party)
    }
}

/// Where a proxy stands.
#[derive(Clone)]
pub struct ProxyPlace {
    /// Who listens behind it.
    pub party: Party,
    /// Where that one listens.
    pub target: SocketAddr,
    /// Tells who calls.
    pub identify: Identify,
}

/// Starts a proxy at `address`.
pub async fn start(address: SocketAddr, place: ProxyPlace, links: Links) -> std::io::Result<()> {
    let listener = bind(address)?;
    compio::runtime::spawn(serve(listener, address, place, links)).detach();
    Ok(())
}

/// Listens at an address where connections may still be closing.
fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Accepts connections, but not while the party behind the proxy is down.
async fn serve(mut listener: TcpListener, address: SocketAddr, place: ProxyPlace, links: Links) {
    loop {
        let accepting = accept(&listener, address, &place, &links);
        future::select(pin!(accepting), pin!(links.until_down_is(place.party, true))).await;
        drop(listener);
        links.until_down_is(place.party, false).await;
        listener = loop {
            match bind(address) {
                Ok(listener) => break listener,
                Err(_) => compio::time::sleep(REBIND_PAUSE).await,
            }
        };
    }
}

async fn accept(listener: &TcpListener, address: SocketAddr, place: &ProxyPlace, links: &Links) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let (place, links) = (place.clone(), links.clone());
                compio::runtime::spawn(async move {
                    let caller = place.identify.caller(peer, address).await;
                    pass(stream, caller, place, links).await;
                })
                .detach();
            }
            Err(_) => compio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

/// Closes a connection so that its other end sees a reset.
fn reset(stream: &TcpStream) {
    // One that is closed already needs no reset.
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}

async fn pass(near: TcpStream, caller: Party, place: ProxyPlace, links: Links) {
    let party = place.party;
    if !links.may_connect(caller, party).await || !links.may_connect(party, caller).await {
        reset(&near);
        return;
    }
    let far = match TcpStream::connect(place.target).await {
        Ok(far) => far,
        Err(_) => {
            reset(&near);
            return;
        }
    };
    // Small messages must not wait for one another.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_reader, near_writer) = near.clone().into_split();
    let (far_reader, far_writer) = far.clone().into_split();
    let up = pump(near_reader, far_writer, caller, party, links.clone());
    let down = pump(far_reader, near_writer, party, caller, links.clone());
    let ended = both(up, down);
    let until_reset = links.until_reset(caller, party);
    let broken = match future::select(pin!(ended), pin!(until_reset)).await {
        Either::Left((whole, _)) => !whole,
        Either::Right(_) => true,
    };
    if broken {
        reset(&near);
        reset(&far);
    }
}

/// Waits until both directions have ended; `false` at once if either broke.
async fn both(up: impl Future<Output = bool>, down: impl Future<Output = bool>) -> bool {
    match future::select(pin!(up), pin!(down)).await {
        Either::Left((true, down)) => down.await,
        Either::Right((true, up)) => up.await,
        Either::Left((false, _)) | Either::Right((false, _)) => false,
    }
}

/// Passes bytes on in one direction; returns whether it ended in an orderly way.
async fn pump<R: AsyncRead, W: AsyncWrite>(mut reader: R, mut writer: W, from: Party, to: Party, links: Links) -> bool {
    let mut buffer = Vec::with_capacity(CHUNK_BYTES);
    loop {
        let BufResult(count, read) = reader.read(buffer).await;
        let Ok(count) = count else {
            return false;
        };
        if !links.pass(from, to).await {
            return false;
        }
        if count == 0 {
            return writer.shutdown().await.is_ok();
        }
        let BufResult(written, mut sent) = writer.write_all(read).await;
        if written.is_err() {
            return false;
        }
        sent.clear();
        buffer = sent;
    }
}

/// Child processes by their numbers, so that a connection's owner can be told. Clones share it.
#[derive(Clone, Default)]
pub struct ProcessTable {
    processes: Rc<RefCell<Vec<(u32, Party)>>>,
    slowest_look_up: Rc<Cell<Duration>>,
}

impl ProcessTable {
    /// A process has started.
    pub fn insert(&self, process: u32, party: Party) {
        self.processes.borrow_mut().push((process, party));
    }

    /// A process has ended.
    pub fn remove(&self, process: u32) {
        self.processes.borrow_mut().retain(|(number, _)| *number != process);
    }

    /// The longest time for which a new connection waited until its owner was told.
    pub fn slowest_look_up(&self) -> Duration {
        self.slowest_look_up.get()
    }
}
