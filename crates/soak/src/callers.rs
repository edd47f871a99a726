//! Clients of routed requests.

use crate::calls::{KEY_HEADER, any_gateway, ask, front};
use crate::deployment::Addresses;
use crate::journal::{ClientRequest, Ending, Journal};
use crate::workload::{
    self, CRASHES, Demands, HOST, MOVING, ONCE, REPEATABLE, STRANGER, STREAMS, TIMEOUT_MS, UNKNOWN_KEY,
};
use hyper::{Method, StatusCode};
use saddlerelay_http::client::WholeResponse;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Clients that send requests one after the other.
pub const CLIENTS: u32 = 8;

/// Longest pause between a client's requests, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 120;

/// How often each kind of work that ends its engines comes, and the longest pause between, in milliseconds.
const CRASHING_TRIES: u32 = 10;
const LONGEST_CRASHING_PAUSE_MS: u64 = 2_500;

/// One request in so many of a client's is followed by one with an unknown key.
const STRANGER_EVERY: u64 = 20;

/// Longest stream, in events.
const MOST_EVENTS: u32 = 30;

/// How long a client waits: beyond the route's timeout, within which there is an answer.
pub const PATIENCE: Duration = Duration::from_millis(TIMEOUT_MS + 1_500);

/// What a client sends.
pub struct Request {
    /// Its identifier.
    pub id: String,
    /// The beginning of its path.
    pub prefix: &'static str,
    /// Its path.
    pub path: String,
    /// Its body.
    pub body: String,
    /// The events of the stream that is to answer it, if one is.
    pub events: Option<u32>,
}

impl Request {
    /// A request of any kind, with an identifier that tells its client.
    pub fn new(client: u32, number: u64) -> Self {
        let id = format!("r{client}-{number}-{:04x}", fastrand::u16(..));
        let prefix = match fastrand::u32(..10) {
            0..3 => REPEATABLE,
            3..6 => ONCE,
            6..8 => MOVING,
            _ => STREAMS,
        };
        let events = (prefix == STREAMS).then(|| fastrand::u32(1..=MOST_EVENTS));
        let body = "x".repeat(fastrand::usize(1..2_000));
        Self { path: format!("{prefix}{id}"), id, prefix, body, events }
    }

    /// Its headers, but for the host and the key.
    pub fn headers(&self) -> Vec<(&'static str, String)> {
        let mut headers =
            vec![("saddlerelay-request", self.id.clone()), ("saddlerelay-deadline-ms", TIMEOUT_MS.to_string())];
        headers.extend(self.events.map(|events| ("events", events.to_string())));
        headers
    }
}

/// Sends requests until told to stop.
pub async fn run(client: u32, addresses: Addresses, journal: Journal, demands: Demands, stop: Rc<Cell<bool>>) {
    let mut number = 0;
    while !stop.get() {
        number += 1;
        send(&Request::new(client, number), any_gateway(&addresses), &addresses, &journal).await;
        if demands == Demands::All && number.is_multiple_of(STRANGER_EVERY) {
            ask_as_stranger(number, &addresses, &journal).await;
        }
        compio::time::sleep(Duration::from_millis(fastrand::u64(1..LONGEST_PAUSE_MS))).await;
    }
}

/// Sends work that ends its engines, one kind after the other, again and again with a new identifier at any gateway, until
/// told to stop.
pub async fn run_crashing(addresses: Addresses, journal: Journal, stop: Rc<Cell<bool>>) {
    for kind in 0.. {
        let prefix = [REPEATABLE, ONCE, STREAMS][kind as usize % 3];
        for number in 0..CRASHING_TRIES {
            if stop.get() {
                return;
            }
            let id = format!("crashing-{kind}-{number}-{:04x}", fastrand::u16(..));
            let path = format!("{prefix}crashing-{kind}");
            let request = Request { id, prefix, path, body: format!("{CRASHES}{kind}"), events: None };
            if send(&request, any_gateway(&addresses), &addresses, &journal).await == Ending::Whole {
                journal.violation("every caller gets the whole answer to its own request", request.id.clone());
            }
            compio::time::sleep(Duration::from_millis(fastrand::u64(1..LONGEST_CRASHING_PAUSE_MS))).await;
        }
    }
}

/// Sends a request with a key that no tenant has: nobody must serve it.
async fn ask_as_stranger(number: u64, addresses: &Addresses, journal: &Journal) {
    let id = format!("{STRANGER}{number}-{:04x}", fastrand::u16(..));
    let path = format!("{REPEATABLE}{id}");
    let headers = [("host", HOST), ("saddlerelay-request", id.as_str()), (KEY_HEADER, UNKNOWN_KEY)];
    let address = addresses.front(any_gateway(addresses));
    let patience = Duration::from_millis(TIMEOUT_MS);
    let answer = ask(address, Method::POST, &path, &headers, Vec::new(), patience).await;
    let refused = answer
        .as_ref()
        .is_none_or(|answer| matches!(answer.status, StatusCode::UNAUTHORIZED | StatusCode::SERVICE_UNAVAILABLE));
    if !refused {
        let status = answer.map(|answer| answer.status);
        journal.violation("an unknown key is refused", format!("{id} got {status:?}"));
    }
}

/// Sends one request on `prefix` to a gateway; returns whether it was answered whole.
pub async fn probe(prefix: &'static str, gateway: u8, addresses: &Addresses, journal: &Journal) -> bool {
    let id = format!("probe-{gateway}-{:08x}", fastrand::u32(..));
    let events = (prefix == STREAMS).then_some(3);
    let request = Request { path: format!("{prefix}{id}"), id, prefix, body: "probe".to_string(), events };
    send(&request, gateway, addresses, journal).await == Ending::Whole
}

async fn send(request: &Request, gateway: u8, addresses: &Addresses, journal: &Journal) -> Ending {
    let sent_at = journal.now();
    let own = request.headers();
    let headers: Vec<(&str, &str)> = own.iter().map(|(name, value)| (*name, value.as_str())).collect();
    let body = request.body.clone();
    let answer = front(addresses, gateway, Method::POST, &request.path, &headers, body, PATIENCE).await;
    let ending = judge(request, answer, journal);
    let ended_at = journal.now();
    let seen = ClientRequest { request: request.id.clone(), prefix: request.prefix, sent_at, ended_at, ending };
    journal.write(|records| records.requests.push(seen));
    ending
}

/// How a request ended; notes an answer that is not its own.
pub fn judge(request: &Request, answer: Option<WholeResponse>, journal: &Journal) -> Ending {
    let Some(answer) = answer else {
        return Ending::Broken;
    };
    match answer.status {
        StatusCode::OK => {
            if let Some(fault) = fault_of(request, &answer) {
                journal.violation("every caller gets the whole answer to its own request", fault);
            }
            Ending::Whole
        }
        StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::REQUEST_TIMEOUT
        | StatusCode::MISDIRECTED_REQUEST => Ending::NotRun(answer.status.as_u16()),
        status => Ending::Failed(status.as_u16()),
    }
}

/// What is wrong with a successful answer.
fn fault_of(request: &Request, answer: &WholeResponse) -> Option<String> {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let Some(events) = request.events else {
        let expected = workload::answer(&request.path, &request.id, request.body.as_bytes());
        return (text != expected).then(|| format!("{} got {} bytes of another answer", request.id, text.len()));
    };
    let numbers: Vec<Option<u32>> = text
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .map(|data| workload::read_event_data(data, &request.path).map(|(number, _)| number))
        .collect();
    let expected: Vec<Option<u32>> = (1..=events).map(Some).collect();
    (numbers != expected).then(|| format!("{} of {events} events got {numbers:?}", request.id))
}
