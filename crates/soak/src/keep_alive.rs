//! Clients with one keep-alive connection to a gateway, used until the gateway closes it.

use crate::callers::{CLIENT_TIMEOUT, Request, classify};
use crate::calls::{KEY_HEADER, RETRY_PAUSE};
use crate::deployment::{Addresses, Size};
use crate::journal::{ClientRequest, Journal, KeepAliveOutcome, KeepAliveRequest};
use crate::links::Party;
use crate::workload::{HOST, KEY};
use hyper::Method;
use saddlerelay_http::body::read_body;
use saddlerelay_http::client::{BufferedResponse, Connection, HttpError};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Usage pattern of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Usage {
    /// Continuous requests.
    Busy,
    /// Idle; sends requests while its gateway is stopping or reloading.
    Idle,
}

/// Usage patterns of the connections to each gateway.
pub const USAGE_PATTERNS: [Usage; 4] = [Usage::Busy, Usage::Busy, Usage::Idle, Usage::Idle];

/// First client number, distinct from those of other clients so that request ids are unique.
const FIRST_CLIENT: u32 = 1_000;

/// Maximum pause between requests of a busy client in the smallest deployment, in milliseconds. Scaled with the
/// number of gateways, as the number of engines is fixed.
const MAX_PAUSE_MS: u64 = 150;

/// Maximum idle time, in milliseconds; below the idle timeout of 15 s in the routing document.
const MAX_IDLE_MS: u64 = 4_000;

/// Interval at which an idle client checks for planned work of its gateway.
const PLANNED_WORK_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A client with a keep-alive connection.
pub struct KeepAliveClient {
    number: u32,
    gateway: u8,
    usage: Usage,
    addresses: Addresses,
    journal: Journal,
    stop: Rc<Cell<bool>>,
}

/// Creates the clients for every gateway.
pub fn clients(addresses: &Addresses, journal: &Journal, stop: &Rc<Cell<bool>>) -> Vec<KeepAliveClient> {
    let usages = (0..addresses.size.gateways).flat_map(|gateway| USAGE_PATTERNS.map(|usage| (gateway, usage)));
    let client = |(number, (gateway, usage))| KeepAliveClient {
        number,
        gateway,
        usage,
        addresses: addresses.clone(),
        journal: journal.clone(),
        stop: stop.clone(),
    };
    (FIRST_CLIENT..).zip(usages).map(client).collect()
}

impl KeepAliveClient {
    /// Opens connections and uses each until it is closed, until stopped.
    pub async fn run(self) {
        let mut sent = 0;
        while !self.stop.get() {
            let connecting = Connection::open(self.addresses.gateway(self.gateway));
            if let Ok(Ok(mut connection)) = compio::time::timeout(CLIENT_TIMEOUT, connecting).await {
                self.use_until_closed(&mut connection, &mut sent).await;
            }
            compio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn use_until_closed(&self, connection: &mut Connection, sent: &mut u64) {
        let mut is_first = true;
        while !self.stop.get() && connection.is_open().await {
            *sent += 1;
            if self.send(connection, Request::new(self.number, *sent), is_first).await != KeepAliveOutcome::Answered {
                return;
            }
            is_first = false;
            self.pause().await;
        }
    }

    async fn pause(&self) {
        let scale = u64::from(self.addresses.size.gateways.div_ceil(Size::SMALL.gateways));
        match self.usage {
            Usage::Busy => compio::time::sleep(Duration::from_millis(fastrand::u64(1..MAX_PAUSE_MS * scale))).await,
            Usage::Idle => self.stay_idle(Duration::from_millis(fastrand::u64(1..MAX_IDLE_MS))).await,
        }
    }

    async fn stay_idle(&self, time: Duration) {
        let until = self.journal.now() + time;
        loop {
            compio::time::sleep(PLANNED_WORK_POLL_INTERVAL).await;
            let should_send = self.journal.is_under_planned_work(Party::Gateway(self.gateway));
            if should_send || self.stop.get() || self.journal.now() > until {
                return;
            }
        }
    }

    async fn send(&self, connection: &mut Connection, request: Request, is_first: bool) -> KeepAliveOutcome {
        let sent_at = self.journal.now();
        let result = compio::time::timeout(CLIENT_TIMEOUT, exchange(connection, &request)).await;
        let keep_alive_outcome = match &result {
            Ok(Ok(_)) => KeepAliveOutcome::Answered,
            Ok(Err(_)) => KeepAliveOutcome::Closed,
            Err(_) => KeepAliveOutcome::TimedOut,
        };
        let complete_response = result.ok().and_then(Result::ok);
        let outcome = classify(&request, complete_response, &self.journal);
        let (ended_at, id) = (self.journal.now(), request.id);
        let keep_alive = KeepAliveRequest {
            request: id.clone(),
            gateway: self.gateway,
            is_first,
            sent_at,
            ended_at,
            outcome: keep_alive_outcome,
        };
        let observed = ClientRequest { request: id, prefix: request.prefix, sent_at, ended_at, outcome };
        self.journal.write(|records| {
            records.keep_alive.push(keep_alive);
            records.requests.push(observed);
        });
        keep_alive_outcome
    }
}

/// Sends a request on an open connection and reads the complete response.
async fn exchange(connection: &mut Connection, request: &Request) -> Result<BufferedResponse, HttpError> {
    let request_headers = request.headers();
    let mut headers: Vec<(&str, &str)> = request_headers.iter().map(|(name, value)| (*name, value.as_str())).collect();
    headers.extend([("host", HOST), (KEY_HEADER, KEY)]);
    let response = connection.send(Method::POST, &request.path, &headers, request.body.clone()).await?;
    let (head, body) = response.into_parts();
    let body = read_body(body).await.map_err(|error| HttpError::Lost(format!("{error:?}")))?;
    Ok(BufferedResponse { status: head.status, headers: head.headers, body })
}
