//! TCP proxy for one listening address that applies the link conditions between the two ends.

use crate::links::{Links, Party};
use crate::received_bytes::{ReceivedBytes, SenderEnd};
use compio::io::{AsyncWrite, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use futures::channel::mpsc;
use futures::future::{self, Either};
use futures::stream::StreamExt;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Delay before a failed bind is retried.
const REBIND_PAUSE: Duration = Duration::from_millis(10);

/// How a proxy finds the party that opened a connection.
#[derive(Clone)]
pub enum CallerLookup {
    /// Always this party.
    Always(Party),
    /// The process that owns the connection; [`Party::Outside`] if it is not in the table.
    ByProcess(ProcessTable),
}

impl CallerLookup {
    /// The party that opened the connection from `peer` to `local`. The lookup blocks for milliseconds, so it runs on
    /// another thread.
    async fn caller(&self, peer: SocketAddr, local: SocketAddr) -> Party {
        let processes = match self {
            Self::Always(party) => return *party,
            Self::ByProcess(table) => table.processes.borrow().clone(),
        };
        let began = Instant::now();
        let process_ids: Vec<u32> = processes.iter().map(|(process_id, _)| *process_id).collect();
        let owner = compio::runtime::spawn_blocking(move || crate::owner::owner_of(peer, local, &process_ids)).await;
        let owner = owner.ok().flatten();
        if let Self::ByProcess(table) = self {
            table.slowest_owner_lookup.set(table.slowest_owner_lookup.get().max(began.elapsed()));
        }
        let found = processes.iter().find(|(process_id, _)| Some(*process_id) == owner);
        found.map_or(Party::Outside, |(_, party)| *party)
    }
}

/// The party behind a proxy, and how the parties that connect to it are found.
#[derive(Clone)]
pub struct ProxyEndpoint {
    /// Party that listens behind the proxy.
    pub party: Party,
    /// Address that the proxy connects to.
    pub target: SocketAddr,
    /// How callers are found.
    pub caller_lookup: CallerLookup,
}

/// Binds `address` and serves connections in the background.
pub async fn start(address: SocketAddr, endpoint: ProxyEndpoint, links: Links) -> std::io::Result<()> {
    let listener = bind(address)?;
    compio::runtime::spawn(serve(listener, address, endpoint, links)).detach();
    Ok(())
}

/// Binds an address, even while old connections to it are closing.
fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Accepts connections; the listener is closed while the party behind the proxy is down.
async fn serve(mut listener: TcpListener, address: SocketAddr, endpoint: ProxyEndpoint, links: Links) {
    loop {
        let accepting = accept(&listener, address, &endpoint, &links);
        future::select(pin!(accepting), pin!(links.wait_until_down_is(endpoint.party, true))).await;
        drop(listener);
        links.wait_until_down_is(endpoint.party, false).await;
        listener = loop {
            match bind(address) {
                Ok(listener) => break listener,
                Err(_) => compio::time::sleep(REBIND_PAUSE).await,
            }
        };
    }
}

async fn accept(listener: &TcpListener, address: SocketAddr, endpoint: &ProxyEndpoint, links: &Links) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let (endpoint, links) = (endpoint.clone(), links.clone());
                compio::runtime::spawn(async move {
                    let caller = endpoint.caller_lookup.caller(peer, address).await;
                    forward_connection(stream, caller, endpoint, links).await;
                })
                .detach();
            }
            Err(_) => compio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

/// Makes the close of a connection send a reset.
fn reset(stream: &TcpStream) {
    // Fails only if the connection is closed already.
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}

async fn forward_connection(downstream: TcpStream, caller: Party, endpoint: ProxyEndpoint, links: Links) {
    let party = endpoint.party;
    let (downstream_reader, downstream_writer) = downstream.clone().into_split();
    let mut received = ReceivedBytes::start(downstream_reader);
    if !wait_to_connect(&links, caller, party, &mut received).await {
        reset(&downstream);
        return;
    }
    let upstream = match TcpStream::connect(endpoint.target).await {
        Ok(upstream) => upstream,
        Err(_) => {
            reset(&downstream);
            return;
        }
    };
    // Avoids delays by the Nagle algorithm.
    let _ = (downstream.set_nodelay(true), upstream.set_nodelay(true));
    let (upstream_reader, upstream_writer) = upstream.clone().into_split();
    let to_upstream = forward(received, upstream_writer, caller, party, links.clone());
    let to_downstream = forward(ReceivedBytes::start(upstream_reader), downstream_writer, party, caller, links.clone());
    let ended = join_directions(to_upstream, to_downstream);
    let wait_for_reset = links.wait_for_reset(caller, party);
    let is_broken = match future::select(pin!(ended), pin!(wait_for_reset)).await {
        Either::Left((closed_cleanly, _)) => !closed_cleanly,
        Either::Right(_) => true,
    };
    if is_broken {
        reset(&downstream);
        reset(&upstream);
    }
}

/// Waits for both directions to end cleanly; returns `false` as soon as one fails.
async fn join_directions(to_upstream: impl Future<Output = bool>, to_downstream: impl Future<Output = bool>) -> bool {
    match future::select(pin!(to_upstream), pin!(to_downstream)).await {
        Either::Left((true, to_downstream)) => to_downstream.await,
        Either::Right((true, to_upstream)) => to_upstream.await,
        Either::Left((false, _)) | Either::Right((false, _)) => false,
    }
}

/// Waits until the link lets the caller connect; `false` if it does not, or if the caller closes the connection before:
/// a connection that is not established carries nothing.
async fn wait_to_connect(links: &Links, caller: Party, party: Party, received: &mut ReceivedBytes) -> bool {
    let connecting = async { links.wait_to_connect(caller, party).await && links.wait_to_connect(party, caller).await };
    match future::select(pin!(connecting), &mut received.reading).await {
        Either::Left((may_connect, _)) => may_connect,
        Either::Right(_) => false,
    }
}

/// Forwards bytes in one direction; returns whether it ended with an orderly shutdown.
async fn forward<W: AsyncWrite>(received: ReceivedBytes, writer: W, from: Party, to: Party, links: Links) -> bool {
    let mut writing = pin!(write_chunks(received.chunks, writer, from, to, &links));
    let sender_end = match future::select(writing.as_mut(), received.reading).await {
        Either::Left((closed_cleanly, _)) => return closed_cleanly,
        Either::Right((end, _)) => end,
    };
    if sender_end == SenderEnd::Closed {
        return writing.await;
    }
    // A sender that has reset the connection retransmits nothing. What is on its way over a slow link arrives.
    if links.is_delayed(from, to) {
        writing.await;
    }
    links.wait_while_silent(from, to).await;
    false
}

/// Writes chunks as the link delivers them, then shuts the connection down in order.
async fn write_chunks<W: AsyncWrite>(
    mut chunks: mpsc::Receiver<Vec<u8>>,
    mut writer: W,
    from: Party,
    to: Party,
    links: &Links,
) -> bool {
    while let Some(chunk) = chunks.next().await {
        if !links.wait_to_forward(from, to).await || writer.write_all(chunk).await.0.is_err() {
            return false;
        }
    }
    links.wait_to_forward(from, to).await && writer.shutdown().await.is_ok()
}

/// Child processes by process id, to identify a connection's owner. Clones share state.
#[derive(Clone, Default)]
pub struct ProcessTable {
    processes: Rc<RefCell<Vec<(u32, Party)>>>,
    slowest_owner_lookup: Rc<Cell<Duration>>,
}

impl ProcessTable {
    /// Adds a started process.
    pub fn insert(&self, process_id: u32, party: Party) {
        self.processes.borrow_mut().push((process_id, party));
    }

    /// Removes an ended process.
    pub fn remove(&self, process_id: u32) {
        self.processes.borrow_mut().retain(|(other, _)| *other != process_id);
    }

    /// Longest time for which a new connection waited for the lookup of its owner.
    pub fn slowest_owner_lookup(&self) -> Duration {
        self.slowest_owner_lookup.get()
    }
}
