//! Sends orders to engines. An order that its sender gives up must not arrive later, after one of the next leader.

use crate::{decode, unknown, wire};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use saddlerelay_http::body::read_body;
use saddlerelay_runtime::backend::BackendError;
use saddlerelay_runtime_compio::clock::boot_time;
use saddlerelay_types::engine::EngineOrder;
use saddlerelay_upstream::Failure;
use saddlerelay_upstream::connection::Connection;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout for connecting to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum time from the start of an order to its first byte. The sender's own timeout fires late if another task holds
/// the thread, or while the process is paused.
const SEND_LIMIT: Duration = Duration::from_millis(400);

/// Time after the first byte within which the kernel delivers the order or resets the connection.
const DELIVERY_LIMIT: Duration = Duration::from_millis(800);

/// Pause before an expired order is reported as not sent. A timeout of the caller that has passed meanwhile ends the
/// call first.
const EXPIRED_ORDER_PAUSE: Duration = Duration::from_millis(100);

/// Sends an order over a connection of its own. If the returned future is dropped before the engine has answered, the
/// connection is reset, and the kernel drops what it has not delivered.
pub(crate) async fn send(address: SocketAddr, order: &EngineOrder) -> Result<(), BackendError> {
    let send_until = boot_time() + SEND_LIMIT;
    let request = build_request(address, order)?;
    let connecting = Connection::open(address, CONNECT_TIMEOUT).await;
    if boot_time() >= send_until {
        compio::time::sleep(EXPIRED_ORDER_PAUSE).await;
        return Err(BackendError::NotSent("the order could not be sent in time".to_string()));
    }
    let mut connection = connecting.map_err(backend_error)?;
    connection.limit_delivery(DELIVERY_LIMIT).map_err(backend_error)?;
    let (head, body) = connection.send(request).await.map_err(backend_error)?.into_parts();
    let body = read_body(body).await.map_err(|error| unknown(format!("{error:?}")))?;
    connection.end_request();
    decode::<serde_json::Value>(head.status, &body).map(drop)
}

fn build_request(address: SocketAddr, order: &EngineOrder) -> Result<Request<Full<Bytes>>, BackendError> {
    let invalid = |error: &dyn std::fmt::Display| BackendError::NotSent(error.to_string());
    let body = serde_json::to_vec(order).map_err(|error| invalid(&error))?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(wire::ORDER_PATH)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body.into()));
    request.map_err(|error| invalid(&error))
}

fn backend_error(failure: Failure) -> BackendError {
    match failure {
        Failure::NotSent(reason) => BackendError::NotSent(reason),
        Failure::PossiblyExecuted(reason) | Failure::ConnectionLost(reason) => BackendError::Unknown(reason),
    }
}
