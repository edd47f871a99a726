//! Clients that keep one connection to a gateway, and use it until the gateway ends it.

use crate::callers::{PATIENCE, Request, judge};
use crate::calls::{KEY_HEADER, NEXT_PAUSE};
use crate::deployment::{Addresses, Size};
use crate::journal::{ClientRequest, Journal, KeptEnding, KeptRequest};
use crate::links::Party;
use crate::workload::{HOST, KEY};
use hyper::Method;
use saddlerelay_http::body::read_whole;
use saddlerelay_http::client::{Connection, HttpError, WholeResponse};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// How a client uses its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// Request after request.
    Busy,
    /// It rests, and sends request after request once its gateway is asked to stop or to reload.
    Resting,
}

/// The uses of a gateway's kept connections.
pub const USES: [Use; 4] = [Use::Busy, Use::Busy, Use::Resting, Use::Resting];

/// Numbers of clients of kept connections begin here, so that their requests' identifiers are their own.
const FIRST_CLIENT: u32 = 1_000;

/// Longest pause between the requests of a busy client, in milliseconds, in the smallest deployment. Larger ones have as
/// many engines, so that their clients pause longer.
const LONGEST_PAUSE_MS: u64 = 150;

/// Longest rest, in milliseconds; well within the 15 s for which the routing document lets connections rest.
const LONGEST_REST_MS: u64 = 4_000;

/// Pause between looks at whether a resting connection's gateway is under planned work, and between requests then.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// One client of a kept connection.
pub struct KeptClient {
    number: u32,
    gateway: u8,
    how: Use,
    addresses: Addresses,
    journal: Journal,
    stop: Rc<Cell<bool>>,
}

/// The clients of kept connections at every gateway.
pub fn clients(addresses: &Addresses, journal: &Journal, stop: &Rc<Cell<bool>>) -> Vec<KeptClient> {
    let places = (0..addresses.size.gateways).flat_map(|gateway| USES.map(|how| (gateway, how)));
    let client = |(number, (gateway, how))| KeptClient {
        number,
        gateway,
        how,
        addresses: addresses.clone(),
        journal: journal.clone(),
        stop: stop.clone(),
    };
    (FIRST_CLIENT..).zip(places).map(client).collect()
}

impl KeptClient {
    /// Opens connections and uses each until it ends, until told to stop.
    pub async fn run(self) {
        let mut sent = 0;
        while !self.stop.get() {
            let opened = Connection::open(self.addresses.front(self.gateway));
            if let Ok(Ok(mut connection)) = compio::time::timeout(PATIENCE, opened).await {
                self.use_until_it_ends(&mut connection, &mut sent).await;
            }
            compio::time::sleep(NEXT_PAUSE).await;
        }
    }

    async fn use_until_it_ends(&self, connection: &mut Connection, sent: &mut u64) {
        let mut is_first = true;
        while !self.stop.get() && connection.is_open().await {
            *sent += 1;
            if self.send(connection, Request::new(self.number, *sent), is_first).await != KeptEnding::Answered {
                return;
            }
            is_first = false;
            self.pause().await;
        }
    }

    async fn pause(&self) {
        let crowd = u64::from(self.addresses.size.gateways.div_ceil(Size::SMALL.gateways));
        match self.how {
            Use::Busy => compio::time::sleep(Duration::from_millis(fastrand::u64(1..LONGEST_PAUSE_MS * crowd))).await,
            Use::Resting => self.rest(Duration::from_millis(fastrand::u64(1..LONGEST_REST_MS))).await,
        }
    }

    async fn rest(&self, time: Duration) {
        let until = self.journal.now() + time;
        loop {
            compio::time::sleep(LOOK_PAUSE).await;
            let is_wanted = self.journal.is_under_planned_work(Party::Gateway(self.gateway));
            if is_wanted || self.stop.get() || self.journal.now() > until {
                return;
            }
        }
    }

    async fn send(&self, connection: &mut Connection, request: Request, is_first: bool) -> KeptEnding {
        let sent_at = self.journal.now();
        let answered = compio::time::timeout(PATIENCE, exchange(connection, &request)).await;
        let kept_ending = match &answered {
            Ok(Ok(_)) => KeptEnding::Answered,
            Ok(Err(_)) => KeptEnding::Closed,
            Err(_) => KeptEnding::GivenUp,
        };
        let answer = answered.ok().and_then(Result::ok);
        let ending = judge(&request, answer, &self.journal);
        let (ended_at, id) = (self.journal.now(), request.id);
        let kept = KeptRequest {
            request: id.clone(),
            gateway: self.gateway,
            is_first,
            sent_at,
            ended_at,
            ending: kept_ending,
        };
        let seen = ClientRequest { request: id, prefix: request.prefix, sent_at, ended_at, ending };
        self.journal.write(|records| {
            records.kept.push(kept);
            records.requests.push(seen);
        });
        kept_ending
    }
}

/// Sends a request on an open connection and reads the whole answer.
async fn exchange(connection: &mut Connection, request: &Request) -> Result<WholeResponse, HttpError> {
    let own = request.headers();
    let mut headers: Vec<(&str, &str)> = own.iter().map(|(name, value)| (*name, value.as_str())).collect();
    headers.extend([("host", HOST), (KEY_HEADER, KEY)]);
    let response = connection.send(Method::POST, &request.path, &headers, request.body.clone()).await?;
    let (head, body) = response.into_parts();
    let body = read_whole(body).await.map_err(|error| HttpError::Lost(format!("{error:?}")))?;
    Ok(WholeResponse { status: head.status, headers: head.headers, body })
}
