//! A model engine. It answers as the users' pages say and writes what it does to standard output, a line each.
//!
//! What an item makes is told by its body: `events=N`, or `fail=STATUS after_ms=N` for one that fails at each run.

use crate::http::{Message, call, chunk, is_closed, read_message, respond};
use crate::json::Json;
use crate::record::now_ms;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time that a change of weights takes.
const LOAD_TIME: Duration = Duration::from_millis(900);
/// Time that an engine serves on after it has said that it leaves: `drain_ms` and a little longer.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// Time that a request waits for a slot before it is rejected.
const QUEUE_TIME: Duration = Duration::from_millis(250);
/// Time after which an idle connection is closed.
const IDLE_TIME: Duration = Duration::from_secs(5);

pub struct Options {
    pub id: String,
    pub listen: SocketAddr,
    pub service: String,
    pub zone: String,
    pub control: Vec<SocketAddr>,
    /// The models that it hosts; a request names one of them.
    pub models: Vec<String>,
    pub slots: u32,
    pub event_ms: u64,
    pub beat_ms: u64,
}

/// An order for a version that is not done yet.
#[derive(Clone)]
struct Order {
    model: String,
    version: u64,
    /// Whether runs of the model go on under the new version; otherwise they end first.
    keeps_runs: bool,
}

#[derive(Default)]
struct State {
    /// Version of each model.
    versions: BTreeMap<String, u64>,
    ordered: Option<Order>,
    call_seq: u64,
    fence: u64,
    beats: u64,
    /// Whether it is to end as planned.
    is_leaving: bool,
    /// Runs under way, by model.
    running: BTreeMap<String, u32>,
}

impl State {
    fn load(&self) -> u32 {
        self.running.values().sum()
    }

    fn version(&self, model: &str) -> u64 {
        self.versions.get(model).copied().unwrap_or(0)
    }

    /// Whether an order for the model is under way.
    fn is_ordered(&self, model: &str) -> bool {
        self.ordered.as_ref().is_some_and(|order| order.model == model)
    }

    /// The models as heartbeats and reports list them.
    fn listed_models(&self) -> String {
        let model =
            |(name, version): (&String, &u64)| format!(r#"{{"name":"{name}","version":{version},"adapters":[]}}"#);
        self.versions.iter().map(model).collect::<Vec<_>>().join(",")
    }
}

struct Engine {
    options: Options,
    state: Mutex<State>,
}

/// Runs until standard input ends or the process is killed. A line `leave` on standard input asks for its planned end.
pub fn run(options: Options) {
    let listener = TcpListener::bind(options.listen).expect("the engine's address is free");
    let versions = options.models.iter().map(|model| (model.clone(), 1)).collect();
    let state = Mutex::new(State { versions, ..State::default() });
    let engine = Arc::new(Engine { options, state });
    let leaving = engine.clone();
    thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            leaving.state.lock().unwrap().is_leaving |= line == "leave";
        }
        std::process::exit(0);
    });
    let beats = engine.clone();
    thread::spawn(move || beats.send_beats());
    let orders = engine.clone();
    thread::spawn(move || {
        loop {
            orders.load_ordered();
        }
    });
    engine.log("started", &[]);
    for stream in listener.incoming().flatten() {
        let engine = engine.clone();
        thread::spawn(move || {
            let _ = engine.serve(stream);
        });
    }
}

impl Engine {
    fn log(&self, what: &str, fields: &[(&str, String)]) {
        let mut line = format!("{} {} {what}", now_ms(), self.options.id);
        for (key, value) in fields {
            line += &format!(" {key}={value}");
        }
        let mut output = std::io::stdout().lock();
        let _ = writeln!(output, "{line}").and_then(|()| output.flush());
    }

    /// Sends heartbeats; the next control address is called when one does not acknowledge within a second.
    fn send_beats(&self) {
        let mut next = 0;
        loop {
            let (beats, models, is_leaving) = {
                let mut state = self.state.lock().unwrap();
                state.beats += 1;
                (state.beats, state.listed_models(), state.is_leaving)
            };
            let state = if is_leaving { "draining" } else { "ready" };
            let Options { id, listen, service, zone, slots, .. } = &self.options;
            let body = format!(
                r#"{{"service":"{service}","addr":"{listen}","zone":"{zone}","version":"v1","slots":{slots},"state":"{state}","cold_left_ms":0,"stage":"both","models":[{models}],"call_seq":{beats}}}"#
            );
            let address = self.options.control[next % self.options.control.len()];
            let headers = [("Content-Type", "application/json")];
            let path = format!("/instances/{id}");
            let answer = call(address, "PUT", &path, &headers, body.as_bytes(), Duration::from_secs(1));
            if answer.is_err() || answer.is_ok_and(|answer| answer.status() / 100 != 2) {
                next += 1;
                thread::sleep(Duration::from_millis(50));
            } else if is_leaving {
                self.log("draining", &[]);
                thread::sleep(DRAIN_TIME);
                let _ = call(address, "DELETE", &path, &headers, b"", Duration::from_secs(1));
                self.log("left", &[]);
                std::process::exit(0);
            } else {
                self.rest();
            }
        }
    }

    /// Waits until the next heartbeat is due, or the engine is to end.
    fn rest(&self) {
        let until = Instant::now() + Duration::from_millis(self.options.beat_ms);
        while Instant::now() < until && !self.state.lock().unwrap().is_leaving {
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        loop {
            stream.set_read_timeout(Some(IDLE_TIME))?;
            let Some(request) = read_message(&mut reader)? else {
                return Ok(());
            };
            match (request.method(), request.path()) {
                ("GET", "/report") => self.report(&mut stream)?,
                ("POST", "/order") => self.order(&mut stream, &request)?,
                ("GET", "/health") => {
                    respond(&mut stream, "200 OK", &[("X-Saddlerelay-Instance-Id", self.options.id.clone())], b"")?
                }
                _ => self.generate(&mut stream, &request)?,
            }
        }
    }

    fn report(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        let body = {
            let state = self.state.lock().unwrap();
            format!(
                r#"{{"stage":"both","models":[{}],"busy":{},"call_seq":{},"waiting":0,"running":{},"kv_used":0,"kv_total":90000,"handles":0}}"#,
                state.listed_models(),
                state.ordered.is_some(),
                state.call_seq,
                state.load()
            )
        };
        respond(stream, "200 OK", &[("Content-Type", "application/json".to_string())], body.as_bytes())
    }

    /// Takes an order for a version, with the mode `wait` or `keep`.
    fn order(&self, stream: &mut TcpStream, request: &Message) -> std::io::Result<()> {
        let order = Json::read(&request.body).unwrap_or(Json::Null);
        let (version, fence) = (order.get("version").number(), order.get("fence").number());
        let (model, mode) = (order.get("model").text().to_string(), order.get("mode").text());
        let wants_this = request.header("x-saddlerelay-expect-instance").is_none_or(|id| id == self.options.id);
        let status = {
            let mut state = self.state.lock().unwrap();
            match (version, fence) {
                _ if !wants_this => "421 Misdirected Request",
                (Some(version), Some(fence))
                    if order.get("op").text() == "version"
                        && matches!(mode, "wait" | "keep")
                        && state.versions.contains_key(&model) =>
                {
                    let expected = order.get("expected_rev").number();
                    if fence < state.fence {
                        "412 Precondition Failed"
                    } else if state.ordered.is_some() || expected.is_some_and(|expected| expected != state.call_seq) {
                        "409 Conflict"
                    } else if state.version(&model) == version {
                        "200 OK"
                    } else {
                        state.fence = fence;
                        state.ordered = Some(Order { model: model.clone(), version, keeps_runs: mode == "keep" });
                        state.call_seq += 1;
                        "202 Accepted"
                    }
                }
                _ => "400 Bad Request",
            }
        };
        let fields = [
            ("model", model.clone()),
            ("version", version.unwrap_or(0).to_string()),
            ("mode", mode.to_string()),
            ("holder", order.get("holder").text().to_string()),
            ("fence", fence.unwrap_or(0).to_string()),
            ("answer", status[..3].to_string()),
        ];
        self.log("order", &fields);
        respond(stream, status, &[], b"")
    }

    /// Carries an order out: at once, or once no run of its model is under way.
    fn load_ordered(&self) {
        let order = loop {
            thread::sleep(Duration::from_millis(5));
            let state = self.state.lock().unwrap();
            let runs = |order: &Order| state.running.get(&order.model).copied().unwrap_or(0);
            if let Some(order) = state.ordered.clone().filter(|order| order.keeps_runs || runs(order) == 0) {
                break order;
            }
        };
        thread::sleep(LOAD_TIME);
        let Order { model, version, .. } = order;
        {
            let mut state = self.state.lock().unwrap();
            state.versions.insert(model.clone(), version);
            state.ordered = None;
        }
        self.log("loaded", &[("model", model), ("version", version.to_string())]);
    }

    fn generate(&self, stream: &mut TcpStream, request: &Message) -> std::io::Result<()> {
        let id = request.header("x-saddlerelay-request-id").unwrap_or_default().to_string();
        let model = request.header("x-saddlerelay-model").unwrap_or_default().to_string();
        let last: u64 = request.header("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
        let not_run = |stream: &mut TcpStream, status: &str, header: (&str, String)| {
            let fields = [("item", id.clone()), ("answer", status[..3].to_string())];
            self.log("not-run", &fields);
            let echoed = ("X-Saddlerelay-Request-Id", id.clone());
            respond(stream, status, &[echoed, ("X-Saddlerelay-Not-Executed", "1".to_string()), header], b"")
        };
        let instance = ("X-Saddlerelay-Instance-Id", self.options.id.clone());
        if request.header("x-saddlerelay-expect-instance").is_some_and(|id| id != self.options.id) {
            return not_run(stream, "421 Misdirected Request", instance);
        }
        let expected: Option<u64> =
            request.header("x-saddlerelay-expect-version").and_then(|version| version.parse().ok());
        let (version, load) = match self.admit(&model, expected) {
            Ok(admitted) => admitted,
            Err((status, version)) => {
                return not_run(stream, status, ("X-Saddlerelay-Weight-Versions", version.to_string()));
            }
        };
        let fields = [
            ("item", id.clone()),
            ("model", model.clone()),
            ("last", last.to_string()),
            ("version", version.to_string()),
        ];
        self.log("begin", &fields);
        let head = [
            ("X-Saddlerelay-Request-Id", id.clone()),
            ("X-Saddlerelay-Response-Stamp", format!("stamp.{}", self.options.id)),
            ("X-Saddlerelay-Weight-Versions", version.to_string()),
            ("X-Saddlerelay-Server-Load", format!("{load},0,{}", self.options.slots)),
        ];
        let ended = self.write_answer(stream, request, (&id, &model, version), last, &head);
        if let Some(runs) = self.state.lock().unwrap().running.get_mut(&model) {
            *runs -= 1;
        }
        let (events, how) = ended.unwrap_or((last, "broken"));
        let fields = [("item", id), ("events", events.to_string()), ("how", how.to_string())];
        self.log("end", &fields);
        if how == "broken" { Err(std::io::ErrorKind::ConnectionAborted.into()) } else { Ok(()) }
    }

    /// Takes a slot for a request, which waits for one if none is free. Returns the version that it runs under and the
    /// runs under way, or the status of the rejection and the engine's version.
    fn admit(&self, model: &str, expected: Option<u64>) -> Result<(u64, u32), (&'static str, u64)> {
        let until = Instant::now() + QUEUE_TIME;
        loop {
            {
                let mut state = self.state.lock().unwrap();
                let version = state.version(model);
                let is_full = state.load() >= self.options.slots;
                if state.is_ordered(model) || is_full && Instant::now() >= until {
                    return Err(("503 Service Unavailable", version));
                }
                if expected.is_some_and(|expected| expected != version) {
                    return Err(("421 Misdirected Request", version));
                }
                if !is_full {
                    *state.running.entry(model.to_string()).or_default() += 1;
                    return Ok((version, state.load()));
                }
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Writes the answer; returns the last event and how the run ended.
    fn write_answer(
        &self,
        stream: &mut TcpStream,
        request: &Message,
        (id, model, mut version): (&str, &str, u64),
        last: u64,
        head: &[(&str, String)],
    ) -> std::io::Result<(u64, &'static str)> {
        let body = request.text();
        let word = |name: &str| body.split(' ').find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
        if let Some(status) = word("fail") {
            let after = word("after_ms").and_then(|after| after.parse().ok()).unwrap_or(0);
            if !wait(stream, Duration::from_millis(after)) {
                return Ok((last, "broken"));
            }
            respond(stream, &format!("{status} Failed"), head, b"failed")?;
            return Ok((last, if status == "500" { "failed-500" } else { "failed-422" }));
        }
        let events: u64 = word("events").and_then(|events| events.parse().ok()).unwrap_or(1);
        let mut text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n".to_string();
        for (name, value) in head {
            text += &format!("{name}: {value}\r\n");
        }
        text += "Transfer-Encoding: chunked\r\n\r\n";
        let mut sent_head = false;
        for event in last + 1..=events {
            if !wait(stream, Duration::from_millis(self.options.event_ms)) {
                return Ok((event - 1, "broken"));
            }
            if !std::mem::replace(&mut sent_head, true) {
                stream.write_all(text.as_bytes())?;
            }
            let padding = "x".repeat(300);
            let current = self.state.lock().unwrap().version(model);
            let change = match std::mem::replace(&mut version, current) == current {
                true => String::new(),
                false => format!("x-saddlerelay-weight-versions: {current}\n"),
            };
            chunk(stream, format!("{change}id: {event}\ndata: {id}-{event}-{padding}\n\n").as_bytes())?;
            let fields = [("item", id.to_string()), ("number", event.to_string()), ("version", current.to_string())];
            self.log("event", &fields);
        }
        if !sent_head {
            stream.write_all(text.as_bytes())?;
        }
        chunk(stream, b"")?;
        Ok((events, "whole"))
    }
}

/// Waits; `false` as soon as the caller has closed the connection.
fn wait(stream: &TcpStream, time: Duration) -> bool {
    let until = Instant::now() + time;
    loop {
        if is_closed(stream) {
            return false;
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        thread::sleep(left.min(Duration::from_millis(10)));
    }
}
