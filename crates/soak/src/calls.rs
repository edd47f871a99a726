//! HTTP calls of clients, trainers, engines and operators to the deployment.

use crate::deployment::Addresses;
use crate::workload::{HOST, KEY};
use bytes::Bytes;
use hyper::Method;
use saddlerelay_http::client::{BufferedResponse, HttpError, call};
use std::net::SocketAddr;
use std::time::Duration;

/// Header of the tenant key.
pub const KEY_HEADER: &str = "saddlerelay-key";

/// Timeout of one call to a coordinator.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Pause before a call is retried at another process.
pub const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Sends a request and waits for the complete response; `None` after an error or the timeout.
pub async fn send_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
    response_timeout: Duration,
) -> Option<BufferedResponse> {
    let result = compio::time::timeout(response_timeout, call(address, method, path, headers, body)).await;
    match result {
        Ok(Ok(response)) => Some(response),
        Ok(Err(HttpError::NotSent(_) | HttpError::Lost(_))) | Err(_) => None,
    }
}

/// Sends a request to a random coordinator.
pub async fn call_coordinator(
    addresses: &Addresses,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Option<BufferedResponse> {
    let address = addresses.control(fastrand::u8(..addresses.size.coordinators));
    send_request(address, method, path, &[], body, CONTROL_TIMEOUT).await
}

/// Sends a change to random coordinators until one acknowledges it; `false` once `keep_trying` returns false.
pub async fn change_until_acknowledged(
    addresses: &Addresses,
    method: Method,
    path: &str,
    body: Vec<u8>,
    keep_trying: impl Fn() -> bool,
) -> bool {
    while keep_trying() {
        let response = call_coordinator(addresses, method.clone(), path, body.clone()).await;
        if response.is_some_and(|response| response.status.is_success()) {
            return true;
        }
        compio::time::sleep(RETRY_PAUSE).await;
    }
    false
}

/// Sends a request to a gateway with the tenant's key and the routes' host.
pub async fn call_gateway(
    addresses: &Addresses,
    gateway: u8,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
    response_timeout: Duration,
) -> Option<BufferedResponse> {
    let headers = [headers, &[("host", HOST), (KEY_HEADER, KEY)]].concat();
    send_request(addresses.gateway(gateway), method, path, &headers, body, response_timeout).await
}

/// A random gateway.
pub fn random_gateway(addresses: &Addresses) -> u8 {
    fastrand::u8(..addresses.size.gateways)
}
