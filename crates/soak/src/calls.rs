//! Calls to the deployment as clients, trainers, engines and operators make them.

use crate::deployment::Addresses;
use crate::workload::{HOST, KEY};
use bytes::Bytes;
use hyper::Method;
use saddlerelay_http::client::{HttpError, WholeResponse, call};
use std::net::SocketAddr;
use std::time::Duration;

/// The header that holds a key.
pub const KEY_HEADER: &str = "saddlerelay-key";

/// How long one call to a coordinator is waited for.
const CONTROL_PATIENCE: Duration = Duration::from_millis(1_000);

/// Pause before a call goes to the next process.
pub const NEXT_PAUSE: Duration = Duration::from_millis(60);

/// Makes a call and waits for its whole answer, for at most `patience`; `None` when it brought none.
pub async fn ask(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
    patience: Duration,
) -> Option<WholeResponse> {
    let answered = compio::time::timeout(patience, call(address, method, path, headers, body)).await;
    match answered {
        Ok(Ok(response)) => Some(response),
        Ok(Err(HttpError::NotSent(_) | HttpError::Lost(_))) | Err(_) => None,
    }
}

/// One call to a coordinator chosen at random.
pub async fn control(addresses: &Addresses, method: Method, path: &str, body: Vec<u8>) -> Option<WholeResponse> {
    let address = addresses.control(fastrand::u8(..addresses.size.coordinators));
    ask(address, method, path, &[], body, CONTROL_PATIENCE).await
}

/// Sends a change to one coordinator after another until it is acknowledged; `false` when `wanted` ceases to hold.
pub async fn control_until_done(
    addresses: &Addresses,
    method: Method,
    path: &str,
    body: Vec<u8>,
    wanted: impl Fn() -> bool,
) -> bool {
    while wanted() {
        let answer = control(addresses, method.clone(), path, body.clone()).await;
        if answer.is_some_and(|answer| answer.status.is_success()) {
            return true;
        }
        compio::time::sleep(NEXT_PAUSE).await;
    }
    false
}

/// One call to a gateway with the tenant's key, on the host of the routes.
pub async fn front(
    addresses: &Addresses,
    gateway: u8,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
    patience: Duration,
) -> Option<WholeResponse> {
    let headers = [headers, &[("host", HOST), (KEY_HEADER, KEY)]].concat();
    ask(addresses.front(gateway), method, path, &headers, body, patience).await
}

/// A gateway chosen at random.
pub fn any_gateway(addresses: &Addresses) -> u8 {
    fastrand::u8(..addresses.size.gateways)
}
