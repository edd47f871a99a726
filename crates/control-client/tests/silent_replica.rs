//! A replica that does not reply is skipped for a while, and replicas are tried in turn until one leads.

use saddlerelay_control_client::ControlClient;
use saddlerelay_rpc::server::{Handler, Response};
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime_compio::CompioRuntime;
use saddlerelay_runtime_compio::connection::TcpFrameListener;
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::gateway::{GatewayReply, GatewayRequest};
use saddlerelay_types::protocol::ControlReply;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const SECRET: &str = "a secret of sixteen signs";

/// Far longer than these replicas take to reply.
const ATTEMPT_LIMIT: Duration = Duration::from_millis(400);

/// Limit for a hanging test.
const LIMIT: Duration = Duration::from_secs(20);

/// How a replica replies.
#[derive(Clone)]
enum Behavior {
    Silent,
    Follows,
    /// Is not a member, and returns these peers.
    ReturnsPeers(Vec<SocketAddr>),
    Leads,
}

struct Replica {
    behavior: Behavior,
    request_count: Rc<Cell<u32>>,
}

impl Handler for Replica {
    async fn handle(self: Rc<Self>, _level: FeatureLevel, _body: Vec<u8>) -> Option<Response> {
        self.request_count.set(self.request_count.get() + 1);
        let reply = match &self.behavior {
            Behavior::Silent => return std::future::pending().await,
            Behavior::Follows => ControlReply::NotLeader { leader: None, peers: Vec::new() },
            Behavior::ReturnsPeers(peers) => ControlReply::NotLeader { leader: None, peers: peers.clone() },
            Behavior::Leads => ControlReply::Gateway(GatewayReply::Done),
        };
        Some(bitcode::encode(&reply).into())
    }
}

async fn start(runtime: &CompioRuntime, behavior: Behavior) -> (SocketAddr, Rc<Cell<u32>>) {
    let listener = compio::net::TcpListener::bind("127.0.0.1:0").await.expect("a listener binds to a free port");
    let address = listener.local_addr().expect("a bound listener has a local address");
    let request_count = Rc::new(Cell::new(0));
    let handler = Rc::new(Replica { behavior, request_count: request_count.clone() });
    let listener = TcpFrameListener::new(listener, Default::default());
    runtime.spawn(saddlerelay_rpc::server::serve(runtime.clone(), listener, SECRET.to_string(), handler));
    (address, request_count)
}

#[test]
fn a_replica_without_a_reply_is_skipped_for_a_while() {
    compio::runtime::Runtime::new().expect("the compio runtime is created").block_on(async {
        let runtime = CompioRuntime::without_files();
        let (silent, silent_count) = start(&runtime, Behavior::Silent).await;
        let (follower, follower_count) = start(&runtime, Behavior::Follows).await;
        let client = ControlClient::new(runtime.clone(), &[silent, follower], SECRET);
        let send = || client.gateway(GatewayRequest::ReadRouting, LIMIT / 20, ATTEMPT_LIMIT);
        assert!(send().await.is_err(), "no replica leads yet");
        let (silent_requests, follower_requests) = (silent_count.get(), follower_count.get());
        assert!(follower_requests > 2 * silent_requests, "{silent_requests} and {follower_requests} requests");
        let (leader, leader_count) = start(&runtime, Behavior::Leads).await;
        client.set_replicas([silent, follower, leader]);
        assert_eq!(send().await, Ok(GatewayReply::Done));
        assert_eq!(leader_count.get(), 1);
    });
}

#[test]
fn replicas_without_replies_are_tried_in_turn() {
    compio::runtime::Runtime::new().expect("the compio runtime is created").block_on(async {
        let runtime = CompioRuntime::without_files();
        let (first, first_count) = start(&runtime, Behavior::Silent).await;
        let (second, second_count) = start(&runtime, Behavior::Silent).await;
        let client = ControlClient::new(runtime.clone(), &[first, second], SECRET);
        assert!(client.gateway(GatewayRequest::ReadRouting, 3 * ATTEMPT_LIMIT, ATTEMPT_LIMIT).await.is_err());
        assert!(first_count.get() >= 1 && second_count.get() >= 1);
    });
}

#[test]
fn returned_peers_are_tried() {
    compio::runtime::Runtime::new().expect("the compio runtime is created").block_on(async {
        let runtime = CompioRuntime::without_files();
        let (leader, _) = start(&runtime, Behavior::Leads).await;
        let (inner, _) = start(&runtime, Behavior::ReturnsPeers(vec![leader])).await;
        let (outer, outer_count) = start(&runtime, Behavior::ReturnsPeers(vec![inner])).await;
        let client = ControlClient::new(runtime.clone(), &[outer], SECRET);
        assert_eq!(client.gateway(GatewayRequest::ReadRouting, LIMIT, ATTEMPT_LIMIT).await, Ok(GatewayReply::Done));
        assert_eq!(outer_count.get(), 1);
    });
}

/// Guards against a request loop without pauses between replicas that return each other, and against unbounded growth
/// of the list of replicas.
#[test]
fn replicas_that_return_each_other_are_tried_with_pauses() {
    compio::runtime::Runtime::new().expect("the compio runtime is created").block_on(async {
        let runtime = CompioRuntime::without_files();
        let absent = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let (first, first_count) = start(&runtime, Behavior::ReturnsPeers((1..1_000).map(absent).collect())).await;
        let (second, second_count) = start(&runtime, Behavior::ReturnsPeers(vec![first])).await;
        let client = ControlClient::new(runtime.clone(), &[second], SECRET);
        assert!(client.gateway(GatewayRequest::ReadRouting, 5 * ATTEMPT_LIMIT, ATTEMPT_LIMIT).await.is_err());
        let requests = first_count.get() + second_count.get();
        assert!((1..=40).contains(&requests), "{requests} requests");
        assert!(client.search().replicas.len() <= 64);
    });
}

/// Guards against ignoring new addresses, for example of changed settings, when no known replica leads.
#[test]
fn added_addresses_are_tried() {
    compio::runtime::Runtime::new().expect("the compio runtime is created").block_on(async {
        let runtime = CompioRuntime::without_files();
        let (follower, _) = start(&runtime, Behavior::Follows).await;
        let (leader, leader_count) = start(&runtime, Behavior::Leads).await;
        let client = ControlClient::new(runtime.clone(), &[follower], SECRET);
        let send = || client.gateway(GatewayRequest::ReadRouting, ATTEMPT_LIMIT, ATTEMPT_LIMIT);
        assert!(send().await.is_err());
        client.add_known_addresses(&[leader]);
        assert_eq!(send().await, Ok(GatewayReply::Done));
        assert_eq!(leader_count.get(), 1);
    });
}
