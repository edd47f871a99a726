//! A stand-in engine that crashes when it runs certain requests, and can be restarted.

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
use std::time::{Duration, Instant};

/// Text in a request's body that makes the engine crash before it responds.
pub const CRASH_MARKER: &str = "crashes its engine";

/// Text in a request's body that makes the engine crash after the first event of the stream.
pub const CRASH_MID_STREAM_MARKER: &str = "crashes after an event";

/// The first event of each stream.
const EVENT: &str = "id: 1\ndata: a token\n\n";

/// How long the engine runs a request before it crashes or responds.
const RUN_TIME: Duration = Duration::from_millis(15);

/// How long a crashed engine stays down at least. Longer than the check of a lost connection takes, which finds that the
/// process has ended only while it is down.
const MIN_DOWN_TIME: Duration = Duration::from_millis(150);

/// Base of the start times of engines that keep their name, in Unix milliseconds.
const FIRST_START_MS: u64 = 1_764_720_000_000;

/// Number of the next engine in this test process; part of its address.
static NEXT_ENGINE: AtomicU8 = AtomicU8::new(1);

/// Returns a loopback address that no other engine uses, so that the port stays free while the engine is down.
fn unused_address() -> SocketAddr {
    let process = std::process::id();
    let engine = NEXT_ENGINE.fetch_add(1, Ordering::Relaxed);
    let address = Ipv4Addr::new(127, 64 + (process % 64) as u8, (process / 64 % 256) as u8, engine);
    SocketAddr::new(address.into(), 0)
}

fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// A request that an engine started to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedRequest {
    pub instance: InstanceId,
    pub request: String,
    pub crashed: bool,
}

/// The requests that all engines of a test have started, in order.
pub type RequestLog = Rc<RefCell<Vec<StartedRequest>>>;

struct State {
    name: String,
    keeps_name: Cell<bool>,
    holds_requests: Cell<bool>,
    log: RequestLog,
    starts: Cell<u32>,
    address: Cell<SocketAddr>,
    /// Tasks of the engine; dropping them simulates the end of its process.
    tasks: RefCell<Vec<JoinHandle<()>>>,
    crash_signal: Signal,
    is_up: Cell<bool>,
    crashed_at: Cell<Option<Instant>>,
}

/// An engine; each start is a new instance at the same address.
#[derive(Clone)]
pub struct CrashingEngine(Rc<State>);

impl CrashingEngine {
    /// Starts an engine that records its requests in `log`.
    pub fn start(name: &str, log: &RequestLog) -> Self {
        let state = State {
            name: name.to_string(),
            keeps_name: Cell::new(false),
            holds_requests: Cell::new(false),
            log: log.clone(),
            starts: Cell::new(0),
            address: Cell::new(unused_address()),
            tasks: RefCell::default(),
            crash_signal: Signal::default(),
            is_up: Cell::new(false),
            crashed_at: Cell::new(None),
        };
        let engine = Self(Rc::new(state));
        engine.restart();
        engine
    }

    /// Restarts the engine if it is down; returns whether it was.
    pub fn restart(&self) -> bool {
        let state = &self.0;
        if state.is_up.get() {
            return false;
        }
        let listener = bind(state.address.get()).expect("failed to bind the engine's previous address");
        state.address.set(listener.local_addr().expect("listener has no local address"));
        state.starts.set(state.starts.get() + 1);
        state.is_up.set(true);
        let previous_crashes = state.crash_signal.count();
        let accepting = compio::runtime::spawn(accept(self.clone(), listener));
        state.tasks.borrow_mut().push(accepting);
        compio::runtime::spawn(stop_on_crash(self.clone(), previous_crashes)).detach();
        true
    }

    /// Waits until the engine, if it is down, has been down for `MIN_DOWN_TIME`.
    pub async fn await_down_time(&self) {
        let crashed_at = self.0.crashed_at.get().filter(|_| !self.is_up());
        if let Some(crashed_at) = crashed_at {
            compio::time::sleep(MIN_DOWN_TIME.saturating_sub(crashed_at.elapsed())).await;
        }
    }

    /// Makes the engine keep its name when it restarts, and identify instances by start time.
    pub fn keep_name(&self) {
        self.0.keeps_name.set(true);
    }

    /// Whether requests run until the engine crashes or no longer holds them.
    pub fn hold_requests(&self, holds: bool) {
        self.0.holds_requests.set(holds);
    }

    pub fn instance(&self) -> InstanceId {
        if self.0.keeps_name.get() {
            return InstanceId::started(&*self.0.name, FIRST_START_MS + u64::from(self.0.starts.get()));
        }
        InstanceId::without_start_time(format!("{}-{}", self.0.name, self.0.starts.get()))
    }

    pub fn address(&self) -> SocketAddr {
        self.0.address.get()
    }

    pub fn is_up(&self) -> bool {
        self.0.is_up.get()
    }

    /// Simulates a crash of the process.
    pub fn crash(&self) {
        self.0.is_up.set(false);
        self.0.crashed_at.set(Some(Instant::now()));
        self.0.crash_signal.notify();
    }
}

async fn stop_on_crash(engine: CrashingEngine, previous_crashes: u64) {
    engine.0.crash_signal.changed(previous_crashes).await;
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
        let crashes_later = text.contains(CRASH_MID_STREAM_MARKER);
        let crashes = text.contains(CRASH_MARKER) || crashes_later;
        let instance = engine.instance();
        let started = StartedRequest { instance: instance.clone(), request: id.clone(), crashed: crashes };
        engine.0.log.borrow_mut().push(started);
        compio::time::sleep(RUN_TIME).await;
        while engine.0.holds_requests.get() {
            compio::time::sleep(RUN_TIME).await;
        }
        if crashes_later {
            // The announced length is twice that of the data sent.
            let partial_response = format!("{}{EVENT}", stream_head(&id, &instance.name, 2 * EVENT.len()));
            // The gateway may have disconnected.
            let _ = stream.write_all(partial_response.into_bytes()).await;
            compio::time::sleep(RUN_TIME).await;
        }
        if crashes {
            engine.crash();
            std::future::pending::<()>().await;
        }
        let (name, text) = (&instance.name, "served");
        let response = match header(&head, "events") {
            None => format!(
                "HTTP/1.1 200 OK\r\nsaddlerelay-request: {id}\r\nsaddlerelay-stamp: {name}\r\ncontent-length: {}\r\n\r\n{text}",
                text.len()
            ),
            Some(_) => format!("{}{EVENT}", stream_head(&id, name, EVENT.len())),
        };
        if stream.write_all(response.into_bytes()).await.0.is_err() {
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

/// Reads the head and the body of a request; `None` at the end of the connection.
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
