//! A control call that the tests make.

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use saddlerelay_types::instance::InstanceId;
use saddlerelay_upstream::{EngineTarget, HeaderNames, OutgoingRequest, Pool};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A pool, and an order for the engine at `address`.
pub fn order(address: SocketAddr, connect_timeout: Duration) -> (Pool, EngineTarget, OutgoingRequest) {
    let pool = Pool::new(Rc::new(HeaderNames::default()), connect_timeout);
    let target = EngineTarget { instance: InstanceId::without_start_time("engine-1"), address };
    let request = OutgoingRequest {
        method: Method::POST,
        uri: "/v1/weights".parse().expect("the path is valid"),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"load"),
        request_id: "r-1".to_string(),
    };
    (pool, target, request)
}
