//! A request is reported as not executed only if no replica can have executed it.
//!
//! Guards against the results `NotDone` and `NotUnderstood` if one replica has received the request without a reply,
//! and the next attempt was made at a replica that seems to run an older build.

use compio::net::TcpListener;
use saddlerelay_control_client::{ControlClient, GatewayError};
use saddlerelay_rpc::frame::Hello;
use saddlerelay_rpc::server::{Handler, Response};
use saddlerelay_runtime::{FrameListener, FrameReceiver, Runtime};
use saddlerelay_runtime_compio::CompioRuntime;
use saddlerelay_runtime_compio::connection::TcpFrameListener;
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::gateway::{GatewayReply, GatewayRequest};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const SECRET: &str = "a secret of sixteen signs";

/// Far longer than a reply takes.
const ATTEMPT_LIMIT: Duration = Duration::from_millis(400);

/// Time for several attempts.
const LIMIT: Duration = Duration::from_secs(3);

/// Receives requests and never replies.
struct Silent {
    received: Rc<Cell<u32>>,
}

impl Handler for Silent {
    async fn handle(self: Rc<Self>, _level: FeatureLevel, _body: Vec<u8>) -> Option<Response> {
        self.received.set(self.received.get() + 1);
        std::future::pending().await
    }
}

async fn listen() -> (TcpFrameListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener binds to a free port");
    let address = listener.local_addr().expect("a bound listener has a local address");
    (TcpFrameListener::new(listener, Default::default()), address)
}

async fn start_silent(runtime: &CompioRuntime) -> (SocketAddr, Rc<Cell<u32>>) {
    let (listener, address) = listen().await;
    let received = Rc::new(Cell::new(0));
    let handler = Rc::new(Silent { received: received.clone() });
    runtime.spawn(saddlerelay_rpc::server::serve(runtime.clone(), listener, SECRET.to_string(), handler));
    (address, received)
}

/// A replica at feature level one: closes connections at any other level, and never replies.
async fn start_older(runtime: &CompioRuntime) -> SocketAddr {
    let (mut listener, address) = listen().await;
    runtime.spawn(async move {
        let mut open_connections = Vec::new();
        while let Ok((sender, mut receiver)) = listener.accept().await {
            let hello_frame = receiver.receive().await.ok().flatten();
            let hello: Option<Hello> = hello_frame.and_then(|bytes| bitcode::decode(&bytes).ok());
            if hello.is_some_and(|hello| hello.version == FeatureLevel::One.protocol()) {
                open_connections.push((sender, receiver));
            }
        }
    });
    address
}

/// A request that feature level one cannot encode.
fn newer_request() -> GatewayRequest {
    GatewayRequest::ReadSuspicions
}

async fn send(runtime: &CompioRuntime, replicas: &[SocketAddr]) -> Result<GatewayReply, GatewayError> {
    let client = ControlClient::new(runtime.clone(), replicas, SECRET);
    client.gateway(newer_request(), LIMIT, ATTEMPT_LIMIT).await
}

#[test]
fn a_request_received_before_an_older_replica_was_tried_is_undecided() {
    compio::runtime::Runtime::new().expect("the compio runtime is created").block_on(async {
        let runtime = CompioRuntime::without_files();
        let (silent, received) = start_silent(&runtime).await;
        let older = start_older(&runtime).await;
        assert_eq!(send(&runtime, &[silent, older]).await, Err(GatewayError::Undecided));
        assert!(received.get() > 0, "the silent replica should have received the request");
    });
}

#[test]
fn a_request_that_no_replica_supports_is_rejected_without_retries() {
    compio::runtime::Runtime::new().expect("the compio runtime is created").block_on(async {
        let runtime = CompioRuntime::without_files();
        let older = start_older(&runtime).await;
        let started_at = runtime.monotonic();
        assert_eq!(send(&runtime, &[older]).await, Err(GatewayError::NotUnderstood));
        assert!(runtime.monotonic() < started_at + LIMIT, "the request should fail without retries until the limit");
    });
}
