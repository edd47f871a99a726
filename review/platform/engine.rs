//! A model engine as PROTOCOL.md describes it: heartbeats, `GET /report`, `POST /order` and streams of events. It can
//! crash and come back as a new incarnation, and be partitioned from the core.

use crate::http::{self, Message};
use crate::journal::{Journal, RunEnd};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const SERVICE: &str = "huvo11a";
pub const APPLICATION: &str = "wuno96b";
pub const MODEL: &str = "daka510000";
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// How long a load of weights takes.
const LOAD: Duration = Duration::from_millis(900);

/// How often waiting threads look at the engine's state.
const POLL: Duration = Duration::from_millis(5);

/// What an engine needs to know of the deployment.
#[derive(Clone)]
pub struct EngineOptions {
    pub number: usize,
    pub address: SocketAddr,
    pub control: Vec<SocketAddr>,
    pub zone: String,
    pub slots: u32,
    pub event_time: Duration,
    /// Number of events in each item's text; 0 for an engine of the application, which answers after `event_time`.
    pub events: u64,
    pub service: &'static str,
}

/// One start of the engine.
struct Incarnation {
    id: String,
    ended: AtomicBool,
    /// Whether new connections are accepted, and whether the listener is closed.
    accepting: AtomicBool,
    closed: AtomicBool,
    version: AtomicU64,
    orders_taken: AtomicU64,
    highest_fence: AtomicU64,
    loading_until: Mutex<Option<Instant>>,
    running: AtomicU32,
    sequence: AtomicU64,
}

struct Inner {
    options: EngineOptions,
    journal: Journal,
    current: Mutex<Arc<Incarnation>>,
    starts: AtomicU64,
    partitioned: AtomicBool,
    leaving: AtomicBool,
    /// Nodes that have acknowledged a heartbeat of the current incarnation.
    acknowledged_by: Mutex<Vec<SocketAddr>>,
    /// Number of heartbeats that were acknowledged.
    acknowledged: AtomicU64,
    /// The last heartbeat that was sent into a cut, and is held up there: path and body.
    held_up: Mutex<Option<(String, String)>>,
    connections: Mutex<Vec<TcpStream>>,
    next_node: AtomicU64,
}

/// The engine. Clones share it.
#[derive(Clone)]
pub struct Engine {
    inner: Arc<Inner>,
}

impl Engine {
    pub fn start(options: EngineOptions, journal: &Journal) -> Self {
        let first = incarnation(&options, 0);
        let inner = Inner {
            next_node: AtomicU64::new(options.number as u64),
            options,
            journal: journal.clone(),
            current: Mutex::new(first),
            starts: AtomicU64::new(1),
            partitioned: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            acknowledged_by: Mutex::default(),
            acknowledged: AtomicU64::new(0),
            held_up: Mutex::default(),
            connections: Mutex::default(),
        };
        let engine = Self { inner: Arc::new(inner) };
        engine.open();
        engine
    }

    pub fn running(&self) -> u32 {
        self.current().running.load(Ordering::SeqCst)
    }

    pub fn slots(&self) -> u32 {
        self.inner.options.slots
    }

    pub fn is_up(&self) -> bool {
        !self.current().ended.load(Ordering::SeqCst)
    }

    /// Number of nodes that have acknowledged a heartbeat of the current incarnation.
    pub fn nodes_reached(&self) -> usize {
        self.inner.acknowledged_by.lock().unwrap().len()
    }

    /// Number of heartbeats that were acknowledged.
    pub fn acknowledged(&self) -> u64 {
        self.inner.acknowledged.load(Ordering::SeqCst)
    }

    /// Cuts it off from the core: nothing that is sent either way arrives. Its callers are all in the core.
    pub fn set_partitioned(&self, partitioned: bool) {
        self.inner.partitioned.store(partitioned, Ordering::SeqCst);
        let what = if partitioned { "is partitioned from the core" } else { "reaches the core again" };
        self.inner.journal.note(&format!("engine {} {what}", self.inner.options.number));
    }

    /// The heartbeat that the cut holds up, taken out of it: what `deliver` gets.
    pub fn take_held_up(&self) -> Option<(String, String)> {
        self.inner.held_up.lock().unwrap().take()
    }

    /// A heartbeat that a cut has held up arrives at a node.
    pub fn deliver(&self, (path, body): (String, String)) {
        let node = self.inner.options.control[0];
        let headers = [("Content-Type", "application/json")];
        let answer = http::call(node, "PUT", &path, &headers, body.as_bytes(), Duration::from_secs(1));
        let answer = answer.map_or("nothing".to_string(), |answer| answer.status().to_string());
        self.inner.journal.note(&format!("the delayed heartbeat {path} arrives: {answer}; it said {body}"));
    }

    /// Crashes it: the listener and all connections are closed; it comes back as a new incarnation.
    pub fn crash(&self, down: Duration) {
        let number = self.inner.options.number;
        let incarnation = self.current();
        self.inner.journal.note(&format!("engine {number} ({}) crashes", incarnation.id));
        self.close(&incarnation);
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(down);
            let start = engine.inner.starts.fetch_add(1, Ordering::SeqCst);
            *engine.inner.current.lock().unwrap() = incarnation_of(&engine.inner.options, start);
            engine.inner.acknowledged_by.lock().unwrap().clear();
            engine.open();
            engine.inner.journal.note(&format!("engine {number} is back as {}", engine.current().id));
        });
    }

    /// Says that it drains, serves on until `stay` after the acknowledgement, deregisters and ends.
    pub fn leave(&self, stay: Duration) {
        self.inner.leaving.store(true, Ordering::SeqCst);
        let engine = self.clone();
        thread::spawn(move || {
            while !engine.heartbeat() {
                thread::sleep(POLL);
            }
            engine.inner.journal.note(&format!("engine {}: draining acknowledged", engine.inner.options.number));
            thread::sleep(stay);
            let id = engine.current().id.clone();
            let path = format!("/instances/{id}");
            for node in &engine.inner.options.control {
                let answer = http::call(*node, "DELETE", &path, &[], b"", Duration::from_secs(1));
                if answer.is_ok_and(|answer| answer.status() / 100 == 2) {
                    break;
                }
            }
            engine.close(&engine.current());
            engine.inner.journal.note(&format!("engine {} has left", engine.inner.options.number));
        });
    }

    fn current(&self) -> Arc<Incarnation> {
        self.inner.current.lock().unwrap().clone()
    }

    fn open(&self) {
        let listener = loop {
            match TcpListener::bind(self.inner.options.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(POLL),
            }
        };
        listener.set_nonblocking(true).expect("the listener can be polled");
        let incarnation = self.current();
        let (engine, accepting) = (self.clone(), incarnation.clone());
        thread::spawn(move || engine.accept(listener, accepting));
        let engine = self.clone();
        thread::spawn(move || engine.send_heartbeats(incarnation));
    }

    fn accept(&self, listener: TcpListener, incarnation: Arc<Incarnation>) {
        let mut held_up = Vec::new();
        while incarnation.accepting.load(Ordering::SeqCst) {
            let partitioned = self.inner.partitioned.load(Ordering::SeqCst);
            if !partitioned {
                // What was sent into the partition never arrived.
                held_up.clear();
            }
            match listener.accept() {
                Ok((stream, _)) if partitioned => held_up.push(stream),
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(copy) = stream.try_clone() {
                        self.inner.connections.lock().unwrap().push(copy);
                    }
                    let (engine, incarnation) = (self.clone(), incarnation.clone());
                    thread::spawn(move || engine.serve(stream, &incarnation));
                }
                Err(_) => thread::sleep(POLL),
            }
        }
        drop(listener);
        incarnation.closed.store(true, Ordering::SeqCst);
    }

    /// Closes the listener and then all connections, as the end of a process does.
    fn close(&self, incarnation: &Incarnation) {
        incarnation.accepting.store(false, Ordering::SeqCst);
        while !incarnation.closed.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
        incarnation.ended.store(true, Ordering::SeqCst);
        for connection in self.inner.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream, incarnation: &Incarnation) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let mut words = request.start.split(' ');
            let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            let served = match (method, path) {
                ("GET", "/report") => self.report(&mut writer, incarnation),
                ("GET", "/health") => reply(&mut writer, 200, &[("X-Saddlerelay-Instance-Id", &incarnation.id)], b""),
                ("POST", "/order") => self.order(&mut writer, &request, incarnation),
                _ => self.run(&mut writer, &request, incarnation),
            };
            if served.is_err() || incarnation.ended.load(Ordering::SeqCst) {
                break;
            }
        }
        let _ = writer.shutdown(std::net::Shutdown::Both);
    }

    fn is_loading(incarnation: &Incarnation) -> bool {
        incarnation.loading_until.lock().unwrap().is_some_and(|until| Instant::now() < until)
    }

    fn report(&self, writer: &mut TcpStream, incarnation: &Incarnation) -> std::io::Result<()> {
        let version = incarnation.version.load(Ordering::SeqCst);
        let body = format!(
            r#"{{"stage":"both","models":[{{"name":"{MODEL}","version":{version},"adapters":[]}}],"busy":{},"call_seq":{},"waiting":0,"running":{},"kv_used":0,"kv_total":90000,"handles":0}}"#,
            Self::is_loading(incarnation),
            incarnation.orders_taken.load(Ordering::SeqCst),
            incarnation.running.load(Ordering::SeqCst),
        );
        self.inner.journal.note(&format!("engine {} is asked for its report", self.inner.options.number));
        reply(writer, 200, &[("Content-Type", "application/json")], body.as_bytes())
    }

    fn order(&self, writer: &mut TcpStream, request: &Message, incarnation: &Incarnation) -> std::io::Result<()> {
        let body = String::from_utf8_lossy(&request.body).to_string();
        let number = |name: &str| crate::scenarios::json_number(&body, name);
        let fence = number("fence").unwrap_or(0);
        let status = if request.header("X-Saddlerelay-Expect-Instance") != Some(&incarnation.id) {
            421
        } else if fence < incarnation.highest_fence.load(Ordering::SeqCst) {
            412
        } else if Self::is_loading(incarnation)
            || number("expected_rev") != Some(incarnation.orders_taken.load(Ordering::SeqCst))
        {
            409
        } else {
            incarnation.highest_fence.store(fence, Ordering::SeqCst);
            incarnation.orders_taken.fetch_add(1, Ordering::SeqCst);
            incarnation.version.store(number("version").unwrap_or(1), Ordering::SeqCst);
            *incarnation.loading_until.lock().unwrap() = Some(Instant::now() + LOAD);
            202
        };
        self.inner.journal.note(&format!("engine {} is ordered {body}: {status}", self.inner.options.number));
        reply(writer, status, &[], b"")
    }

    /// Runs an item: a stream of events, from the one after `Last-Event-Id` on.
    fn run(&self, writer: &mut TcpStream, request: &Message, incarnation: &Incarnation) -> std::io::Result<()> {
        let item = request.header("X-Saddlerelay-Request-Id").unwrap_or("").to_string();
        let version = incarnation.version.load(Ordering::SeqCst).to_string();
        let expected = request.header("X-Saddlerelay-Expect-Version").is_none_or(|expected| expected == version);
        let is_meant = request.header("X-Saddlerelay-Expect-Instance") == Some(&incarnation.id);
        let identity = [
            ("X-Saddlerelay-Request-Id", item.as_str()),
            ("X-Saddlerelay-Response-Stamp", incarnation.id.as_str()),
            ("X-Saddlerelay-Weight-Versions", version.as_str()),
        ];
        let not_run = [identity.as_slice(), &[("X-Saddlerelay-Not-Executed", "1")]].concat();
        if !is_meant || !expected {
            return reply(writer, 421, &not_run, b"");
        }
        if Self::is_loading(incarnation) || incarnation.running.load(Ordering::SeqCst) >= self.inner.options.slots {
            return reply(writer, 503, &not_run, b"");
        }
        let last = request.header("Last-Event-Id").and_then(|last| last.parse().ok()).unwrap_or(0);
        incarnation.running.fetch_add(1, Ordering::SeqCst);
        let run = self.inner.journal.begin_run(&item, self.inner.options.number, last + 1);
        let streamed = match self.inner.options.events {
            0 => self.answer(writer, &identity, incarnation),
            _ => self.stream(writer, &identity, &item, last, incarnation),
        };
        let end = match streamed {
            _ if incarnation.ended.load(Ordering::SeqCst) => RunEnd::Crashed,
            Ok(()) => RunEnd::Finished,
            Err(_) => RunEnd::Cut,
        };
        self.inner.journal.end_run(run, end);
        incarnation.running.fetch_sub(1, Ordering::SeqCst);
        streamed
    }

    fn answer(
        &self,
        writer: &mut TcpStream,
        identity: &[(&str, &str)],
        incarnation: &Incarnation,
    ) -> std::io::Result<()> {
        thread::sleep(self.inner.options.event_time);
        if incarnation.ended.load(Ordering::SeqCst) {
            return Err(std::io::ErrorKind::BrokenPipe.into());
        }
        reply(writer, 200, identity, b"unit price")
    }

    fn stream(
        &self,
        writer: &mut TcpStream,
        identity: &[(&str, &str)],
        item: &str,
        last: u64,
        incarnation: &Incarnation,
    ) -> std::io::Result<()> {
        let mut head =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n".to_string();
        for (name, value) in identity {
            head += &format!("{name}: {value}\r\n");
        }
        writer.write_all((head + "\r\n").as_bytes())?;
        for event in last + 1..=self.inner.options.events {
            thread::sleep(self.inner.options.event_time);
            if incarnation.ended.load(Ordering::SeqCst) {
                return Err(std::io::ErrorKind::BrokenPipe.into());
            }
            let text = format!("id: {event}\ndata: {item}-{event}\n\n");
            writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }

    fn send_heartbeats(&self, incarnation: Arc<Incarnation>) {
        while !incarnation.ended.load(Ordering::SeqCst) {
            if !self.inner.leaving.load(Ordering::SeqCst) {
                self.heartbeat();
            }
            thread::sleep(HEARTBEAT);
        }
    }

    /// Sends a heartbeat to a node, to the next one if that fails; the node after it gets the next heartbeat. Returns
    /// whether one was acknowledged.
    fn heartbeat(&self) -> bool {
        let incarnation = self.current();
        let leaving = self.inner.leaving.load(Ordering::SeqCst);
        let sequence = incarnation.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let options = &self.inner.options;
        let body = format!(
            r#"{{"service":"{}","addr":"{}","zone":"{}","version":"v1","slots":{},"state":"{}","cold_left_ms":0,"stage":"both","models":[{{"name":"{MODEL}","version":{},"adapters":[]}}],"call_seq":{sequence}}}"#,
            options.service,
            options.address,
            options.zone,
            options.slots,
            if leaving { "draining" } else { "ready" },
            incarnation.version.load(Ordering::SeqCst),
        );
        let path = format!("/instances/{}", incarnation.id);
        for _ in 0..options.control.len() {
            if self.inner.partitioned.load(Ordering::SeqCst) {
                *self.inner.held_up.lock().unwrap() = Some((path, body));
                return false;
            }
            let index = self.inner.next_node.fetch_add(1, Ordering::SeqCst) as usize % options.control.len();
            let node = options.control[index];
            let headers = [("Content-Type", "application/json")];
            let answer = http::call(node, "PUT", &path, &headers, body.as_bytes(), Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status() / 100 == 2) {
                self.inner.acknowledged.fetch_add(1, Ordering::SeqCst);
                let mut acknowledged_by = self.inner.acknowledged_by.lock().unwrap();
                if !acknowledged_by.contains(&node) {
                    acknowledged_by.push(node);
                }
                return true;
            }
        }
        false
    }
}

fn incarnation(options: &EngineOptions, start: u64) -> Arc<Incarnation> {
    incarnation_of(options, start)
}

fn incarnation_of(options: &EngineOptions, start: u64) -> Arc<Incarnation> {
    Arc::new(Incarnation {
        id: format!("i-{:03x}{start:04x}", options.number),
        ended: AtomicBool::new(false),
        accepting: AtomicBool::new(true),
        closed: AtomicBool::new(false),
        version: AtomicU64::new(1),
        orders_taken: AtomicU64::new(0),
        highest_fence: AtomicU64::new(0),
        loading_until: Mutex::new(None),
        running: AtomicU32::new(0),
        sequence: AtomicU64::new(0),
    })
}

fn reply(writer: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> std::io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} OK\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    writer.write_all(&[(head + "\r\n").as_bytes(), body].concat())
}
