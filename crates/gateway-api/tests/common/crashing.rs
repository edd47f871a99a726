//! An engine whose process ends when it begins to run certain work, and starts again when it is told to.

use bytes::Bytes;
use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use compio::runtime::JoinHandle;
use saddlerelay_runtime::signal::Signal;
use saddlerelay_types::instance::InstanceId;
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

/// A body that holds this ends the engine that begins to run it.
pub const CRASHES: &str = "crashes its engine";

/// A body that holds this ends the engine after the first event of its stream.
pub const CRASHES_LATER: &str = "crashes after an event";

/// The first event of each stream.
const EVENT: &str = "id: 1\ndata: a token\n\n";

/// How long the engine runs a request before it ends or answers.
const RUN_TIME: Duration = Duration::from_millis(15);

/// Engines that keep their name have started after this, in Unix milliseconds.
const FIRST_START_MS: u64 = 1_764_720_000_000;

/// Counts the engines of this process.
static ENGINES: AtomicU8 = AtomicU8::new(1);

/// A loopback address of its own: its port stays free while the engine is down, as nobody else binds there.
fn own_address() -> SocketAddr {
    let process = std::process::id();
    let engine = ENGINES.fetch_add(1, Ordering::Relaxed);
    let address = Ipv4Addr::new(127, 64 + (process % 64) as u8, (process / 64 % 256) as u8, engine);
    SocketAddr::new(address.into(), 0)
}

fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// A request that reached an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Begun {
    pub instance: InstanceId,
    pub request: String,
    pub crashed: bool,
}

/// What all engines of a test have begun, in order.
pub type BegunLog = Rc<RefCell<Vec<Begun>>>;

struct State {
    name: String,
    keeps_name: Cell<bool>,
    log: BegunLog,
    starts: Cell<u32>,
    address: Cell<SocketAddr>,
    /// Dropping them ends the process.
    tasks: RefCell<Vec<JoinHandle<()>>>,
    ends: Signal,
    is_up: Cell<bool>,
}

/// The engine; each start is an instance of its own at the same address.
#[derive(Clone)]
pub struct CrashingEngine(Rc<State>);

impl CrashingEngine {
    /// Starts an engine that writes to `log`.
    pub fn start(name: &str, log: &BegunLog) -> Self {
        let state = State {
            name: name.to_string(),
            keeps_name: Cell::new(false),
            log: log.clone(),
            starts: Cell::new(0),
            address: Cell::new(own_address()),
            tasks: RefCell::default(),
            ends: Signal::default(),
            is_up: Cell::new(false),
        };
        let engine = Self(Rc::new(state));
        engine.revive();
        engine
    }

    /// Starts it again if it has ended; returns whether it had.
    pub fn revive(&self) -> bool {
        let state = &self.0;
        if state.is_up.get() {
            return false;
        }
        let listener = bind(state.address.get()).expect("its own port");
        state.address.set(listener.local_addr().expect("an address"));
        state.starts.set(state.starts.get() + 1);
        state.is_up.set(true);
        let seen = state.ends.count();
        let accepting = compio::runtime::spawn(accept(self.clone(), listener));
        state.tasks.borrow_mut().push(accepting);
        compio::runtime::spawn(end_when_told(self.clone(), seen)).detach();
        true
    }

    /// Has it keep its name when it starts again, and tell when it started.
    pub fn keep_name(&self) {
        self.0.keeps_name.set(true);
    }

    pub fn instance(&self) -> InstanceId {
        if self.0.keeps_name.get() {
            return InstanceId::started(&*self.0.name, FIRST_START_MS + u64::from(self.0.starts.get()));
        }
        InstanceId::named(format!("{}-{}", self.0.name, self.0.starts.get()))
    }

    pub fn address(&self) -> SocketAddr {
        self.0.address.get()
    }

    pub fn is_up(&self) -> bool {
        self.0.is_up.get()
    }

    /// Ends the process as a crash does.
    pub fn crash(&self) {
        self.0.is_up.set(false);
        self.0.ends.notify();
    }
}

async fn end_when_told(engine: CrashingEngine, seen: u64) {
    engine.0.ends.changed(seen).await;
    engine.0.tasks.borrow_mut().clear();
}

async fn accept(engine: CrashingEngine, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let task = compio::runtime::spawn(serve(engine.clone(), stream));
        engine.0.tasks.borrow_mut().push(task);
    }
}

async fn serve(engine: CrashingEngine, mut stream: TcpStream) {
    while let Some((head, body)) = read_request(&mut stream).await {
        let id = header(&head, "saddlerelay-request").unwrap_or_default().to_string();
        let text = String::from_utf8_lossy(&body);
        let crashes_later = text.contains(CRASHES_LATER);
        let crashes = text.contains(CRASHES) || crashes_later;
        let instance = engine.instance();
        let begun = Begun { instance: instance.clone(), request: id.clone(), crashed: crashes };
        engine.0.log.borrow_mut().push(begun);
        compio::time::sleep(RUN_TIME).await;
        if crashes_later {
            // Twice as long as what comes.
            let begun = format!("{}{EVENT}", stream_head(&id, &instance.name, 2 * EVENT.len()));
            // A gateway that is gone already misses it.
            let _ = stream.write_all(begun.into_bytes()).await;
            compio::time::sleep(RUN_TIME).await;
        }
        if crashes {
            engine.crash();
            std::future::pending::<()>().await;
        }
        let (name, text) = (&instance.name, "served");
        let answer = match header(&head, "events") {
            None => format!(
                "HTTP/1.1 200 OK\r\nsaddlerelay-request: {id}\r\nsaddlerelay-stamp: {name}\r\ncontent-length: {}\r\n\r\n{text}",
                text.len()
            ),
            Some(_) => format!("{}{EVENT}", stream_head(&id, name, EVENT.len())),
        };
        if stream.write_all(answer.into_bytes()).await.0.is_err() {
            return;
        }
    }
}

fn stream_head(request: &str, stamp: &str, length: usize) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nsaddlerelay-request: {request}\r\nsaddlerelay-stamp: {stamp}\r\nsaddlerelay-version: 1\r\n\
         content-length: {length}\r\n\r\n"
    )
}

/// A request's head and whole body; `None` at the end of the connection.
async fn read_request(stream: &mut TcpStream) -> Option<(String, Bytes)> {
    let mut received: Vec<u8> = Vec::new();
    loop {
        if let Some(end) = received.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&received[..end]).to_string();
            let length = header(&head, "content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
            if received.len() >= end + 4 + length {
                return Some((head, Bytes::copy_from_slice(&received[end + 4..end + 4 + length])));
            }
        }
        let BufResult(count, buffer) = stream.read(Vec::with_capacity(4_096)).await;
        if !matches!(count, Ok(count) if count > 0) {
            return None;
        }
        received.extend_from_slice(&buffer);
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find(|(found, _)| found.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
}
