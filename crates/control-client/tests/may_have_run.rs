//! A request is called not done only if no replica can have taken it.
//!
//! A soak read that items ran of a job that a gateway had refused with 503, which says that nothing of it has run or will. The
//! leader had taken the job and was killed before it answered. The gateway asked on, and the next connection closed before it was
//! served, as the process behind it was just starting. That is how an older build refuses a level that it does not know, so the next
//! connection spoke that level, which has no words for a job with an owner. What had no words was answered as not done, whatever
//! had become of the attempt before.

use compio::net::TcpListener;
use saddlerelay_control_client::{ControlClient, GatewayError};
use saddlerelay_rpc::frame::Hello;
use saddlerelay_rpc::server::Handler;
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

/// Far longer than an answer takes.
const ATTEMPT_LIMIT: Duration = Duration::from_millis(400);

/// Time for several attempts.
const LIMIT: Duration = Duration::from_secs(3);

/// Takes requests and answers none.
struct Silent {
    taken: Rc<Cell<u32>>,
}

impl Handler for Silent {
    async fn handle(self: Rc<Self>, _level: FeatureLevel, _body: Vec<u8>) -> Option<Vec<u8>> {
        self.taken.set(self.taken.get() + 1);
        std::future::pending().await
    }
}

async fn listen() -> (TcpFrameListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (TcpFrameListener::new(listener, Default::default()), address)
}

async fn start_silent(runtime: &CompioRuntime) -> (SocketAddr, Rc<Cell<u32>>) {
    let (listener, address) = listen().await;
    let taken = Rc::new(Cell::new(0));
    let handler = Rc::new(Silent { taken: taken.clone() });
    runtime.spawn(saddlerelay_rpc::server::serve(runtime.clone(), listener, SECRET.to_string(), handler));
    (address, taken)
}

/// A replica of the first level: it closes connections of any other, and answers nothing.
async fn start_older(runtime: &CompioRuntime) -> SocketAddr {
    let (mut listener, address) = listen().await;
    runtime.spawn(async move {
        let mut kept = Vec::new();
        while let Ok((sender, mut receiver)) = listener.accept().await {
            let greeting = receiver.receive().await.ok().flatten();
            let hello: Option<Hello> = greeting.and_then(|bytes| bitcode::decode(&bytes).ok());
            if hello.is_some_and(|hello| hello.version == FeatureLevel::One.protocol()) {
                kept.push((sender, receiver));
            }
        }
    });
    address
}

/// Only the second level has words for it.
fn newer_request() -> GatewayRequest {
    GatewayRequest::ReadSuspicions
}

async fn ask(runtime: &CompioRuntime, replicas: &[SocketAddr]) -> Result<GatewayReply, GatewayError> {
    let client = ControlClient::new(runtime.clone(), replicas, SECRET);
    client.gateway(newer_request(), LIMIT, ATTEMPT_LIMIT).await
}

#[test]
fn what_a_replica_took_before_an_older_one_was_asked_is_undecided() {
    compio::runtime::Runtime::new().expect("a runtime").block_on(async {
        let runtime = CompioRuntime::without_files();
        let (silent, taken) = start_silent(&runtime).await;
        let older = start_older(&runtime).await;
        assert_eq!(ask(&runtime, &[silent, older]).await, Err(GatewayError::Undecided));
        assert!(taken.get() > 0, "a replica took it");
    });
}

#[test]
fn what_no_replica_has_words_for_is_refused_at_once() {
    compio::runtime::Runtime::new().expect("a runtime").block_on(async {
        let runtime = CompioRuntime::without_files();
        let older = start_older(&runtime).await;
        let began = runtime.monotonic();
        assert_eq!(ask(&runtime, &[older]).await, Err(GatewayError::NotUnderstood));
        assert!(runtime.monotonic() < began + LIMIT, "it is not asked again and again");
    });
}
