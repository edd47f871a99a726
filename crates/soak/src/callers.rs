//! Clients that send routed requests.

use crate::calls::{KEY_HEADER, call_gateway, random_gateway, send_request};
use crate::deployment::Addresses;
use crate::journal::{ClientRequest, Journal, Outcome};
use crate::workload::{
    self, CRASH_BODY_PREFIX, Features, HOST, IDEMPOTENT, NON_IDEMPOTENT, REROUTED, STREAMS, TIMEOUT_MS, UNKNOWN_KEY,
    UNKNOWN_KEY_ID_PREFIX,
};
use hyper::{Method, StatusCode};
use saddlerelay_http::client::BufferedResponse;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Number of clients that send sequential requests.
pub const CLIENTS: u32 = 8;

/// Maximum pause between a client's requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 120;

/// Number of requests per kind of crashing work, and maximum pause between them in milliseconds.
const CRASHING_ATTEMPTS: u32 = 10;
const MAX_CRASHING_PAUSE_MS: u64 = 2_500;

/// One in this many of a client's requests is followed by one with an unknown key.
const UNKNOWN_KEY_EVERY: u64 = 20;

/// Maximum stream length, in events.
const MAX_EVENTS: u32 = 30;

/// Client timeout; longer than the route's timeout, by which the gateway responds.
pub const CLIENT_TIMEOUT: Duration = Duration::from_millis(TIMEOUT_MS + 1_500);

/// A request of a client.
pub struct Request {
    /// Request id.
    pub id: String,
    /// Path prefix, which selects the route.
    pub prefix: &'static str,
    /// Path.
    pub path: String,
    /// Body.
    pub body: String,
    /// Number of events of a stream; `None` for other requests.
    pub events: Option<u32>,
}

impl Request {
    /// Creates a random request whose id includes its client.
    pub fn new(client: u32, number: u64) -> Self {
        let id = format!("r{client}-{number}-{:04x}", fastrand::u16(..));
        let prefix = match fastrand::u32(..10) {
            0..3 => IDEMPOTENT,
            3..6 => NON_IDEMPOTENT,
            6..8 => REROUTED,
            _ => STREAMS,
        };
        let events = (prefix == STREAMS).then(|| fastrand::u32(1..=MAX_EVENTS));
        let body = "x".repeat(fastrand::usize(1..2_000));
        Self { path: format!("{prefix}{id}"), id, prefix, body, events }
    }

    /// Headers of the request, without the host and the key.
    pub fn headers(&self) -> Vec<(&'static str, String)> {
        let mut headers =
            vec![("saddlerelay-request", self.id.clone()), ("saddlerelay-deadline-ms", TIMEOUT_MS.to_string())];
        headers.extend(self.events.map(|events| ("events", events.to_string())));
        headers
    }
}

/// Sends requests until stopped.
pub async fn run(client: u32, addresses: Addresses, journal: Journal, features: Features, stop: Rc<Cell<bool>>) {
    let mut number = 0;
    while !stop.get() {
        number += 1;
        send(&Request::new(client, number), random_gateway(&addresses), &addresses, &journal).await;
        if features != Features::Common && number.is_multiple_of(UNKNOWN_KEY_EVERY) {
            send_with_unknown_key(number, &addresses, &journal).await;
        }
        compio::time::sleep(Duration::from_millis(fastrand::u64(1..MAX_PAUSE_MS))).await;
    }
}

/// Sends kinds of crashing work one after the other until stopped, each repeatedly with a new request id to random
/// gateways.
pub async fn run_crashing(addresses: Addresses, journal: Journal, stop: Rc<Cell<bool>>) {
    for kind in 0.. {
        let prefix = [IDEMPOTENT, NON_IDEMPOTENT, STREAMS][kind as usize % 3];
        for number in 0..CRASHING_ATTEMPTS {
            if stop.get() {
                return;
            }
            let id = format!("crashing-{kind}-{number}-{:04x}", fastrand::u16(..));
            let path = format!("{prefix}crashing-{kind}");
            let request = Request { id, prefix, path, body: format!("{CRASH_BODY_PREFIX}{kind}"), events: None };
            if send(&request, random_gateway(&addresses), &addresses, &journal).await == Outcome::Complete {
                journal.violation("every caller receives the complete response to its own request", request.id.clone());
            }
            compio::time::sleep(Duration::from_millis(fastrand::u64(1..MAX_CRASHING_PAUSE_MS))).await;
        }
    }
}

/// Sends a request with an unknown key, which must be rejected.
async fn send_with_unknown_key(number: u64, addresses: &Addresses, journal: &Journal) {
    let id = format!("{UNKNOWN_KEY_ID_PREFIX}{number}-{:04x}", fastrand::u16(..));
    let path = format!("{IDEMPOTENT}{id}");
    let headers = [("host", HOST), ("saddlerelay-request", id.as_str()), (KEY_HEADER, UNKNOWN_KEY)];
    let address = addresses.gateway(random_gateway(addresses));
    let response_timeout = Duration::from_millis(TIMEOUT_MS);
    let response = send_request(address, Method::POST, &path, &headers, Vec::new(), response_timeout).await;
    let rejected = response
        .as_ref()
        .is_none_or(|response| matches!(response.status, StatusCode::UNAUTHORIZED | StatusCode::SERVICE_UNAVAILABLE));
    if !rejected {
        let status = response.map(|response| response.status);
        journal.violation("a request with an unknown key is rejected", format!("{id} received {status:?}"));
    }
}

/// Sends one request to a gateway; returns whether the response was complete.
pub async fn probe(prefix: &'static str, gateway: u8, addresses: &Addresses, journal: &Journal) -> bool {
    let id = format!("probe-{gateway}-{:08x}", fastrand::u32(..));
    let events = (prefix == STREAMS).then_some(3);
    let request = Request { path: format!("{prefix}{id}"), id, prefix, body: "probe".to_string(), events };
    send(&request, gateway, addresses, journal).await == Outcome::Complete
}

async fn send(request: &Request, gateway: u8, addresses: &Addresses, journal: &Journal) -> Outcome {
    let sent_at = journal.now();
    let request_headers = request.headers();
    let headers: Vec<(&str, &str)> = request_headers.iter().map(|(name, value)| (*name, value.as_str())).collect();
    let body = request.body.clone();
    let response = call_gateway(addresses, gateway, Method::POST, &request.path, &headers, body, CLIENT_TIMEOUT).await;
    let outcome = classify(request, response, journal);
    let ended_at = journal.now();
    let observed = ClientRequest { request: request.id.clone(), prefix: request.prefix, sent_at, ended_at, outcome };
    journal.write(|records| records.requests.push(observed));
    outcome
}

/// Classifies a response; records a violation if a successful one does not match the request.
pub fn classify(request: &Request, response: Option<BufferedResponse>, journal: &Journal) -> Outcome {
    let Some(response) = response else {
        return Outcome::Incomplete;
    };
    match response.status {
        StatusCode::OK => {
            if let Some(mismatch) = mismatch_of(request, &response) {
                journal.violation("every caller receives the complete response to its own request", mismatch);
            }
            Outcome::Complete
        }
        StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::REQUEST_TIMEOUT
        | StatusCode::MISDIRECTED_REQUEST => Outcome::NotExecuted(response.status.as_u16()),
        status => Outcome::Failed(status.as_u16()),
    }
}

/// Describes a mismatch between a request and its successful response; `None` if they match.
fn mismatch_of(request: &Request, response: &BufferedResponse) -> Option<String> {
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let Some(events) = request.events else {
        let expected = workload::expected_response(&request.path, &request.id, request.body.as_bytes());
        return (text != expected).then(|| {
            format!("{} received a response of {} bytes that does not match the request", request.id, text.len())
        });
    };
    let numbers: Vec<Option<u32>> = text
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .map(|data| workload::parse_event_data(data, &request.path).map(|(number, _)| number))
        .collect();
    let expected: Vec<Option<u32>> = (1..=events).map(Some).collect();
    (numbers != expected).then(|| format!("{} received events {numbers:?} of {events}", request.id))
}
