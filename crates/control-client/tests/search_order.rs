//! A search for the leader succeeds although other replicas return addresses of machines that no longer run.

use saddlerelay_control_client::ControlClient;
use saddlerelay_control_client::search::LastResult;
use saddlerelay_rpc::server::{Handler, Response};
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime_compio::CompioRuntime;
use saddlerelay_runtime_compio::connection::TcpFrameListener;
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::gateway::{GatewayReply, GatewayRequest};
use saddlerelay_types::protocol::ControlReply;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const SECRET: &str = "a secret of sixteen signs";

/// Far longer than these replicas take to reply.
const ATTEMPT_LIMIT: Duration = Duration::from_millis(400);

/// Far longer than a search through all replicas that reply.
const LIMIT: Duration = Duration::from_secs(8);

enum Behavior {
    Silent,
    /// Does not lead, and returns these peers.
    ReturnsPeers(Vec<SocketAddr>),
    Leads,
}

struct Replica(Behavior);

impl Handler for Replica {
    async fn handle(self: Rc<Self>, _level: FeatureLevel, _body: Vec<u8>) -> Option<Response> {
        let reply = match &self.0 {
            Behavior::Silent => return std::future::pending().await,
            Behavior::ReturnsPeers(peers) => ControlReply::NotLeader { leader: None, peers: peers.clone() },
            Behavior::Leads => ControlReply::Gateway(GatewayReply::Done),
        };
        Some(bitcode::encode(&reply).into())
    }
}

async fn start(runtime: &CompioRuntime, behavior: Behavior) -> SocketAddr {
    let listener = compio::net::TcpListener::bind("127.0.0.1:0").await.expect("a listener binds to a free port");
    let address = listener.local_addr().expect("a bound listener has a local address");
    let listener = TcpFrameListener::new(listener, Default::default());
    let handler = Rc::new(Replica(behavior));
    runtime.spawn(saddlerelay_rpc::server::serve(runtime.clone(), listener, SECRET.to_string(), handler));
    address
}

async fn start_silent(runtime: &CompioRuntime, count: usize) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    for _ in 0..count {
        addresses.push(start(runtime, Behavior::Silent).await);
    }
    addresses
}

/// Whether a request reaches the leader.
async fn reaches_leader(client: &ControlClient<CompioRuntime>) -> bool {
    client.gateway(GatewayRequest::ReadRouting, LIMIT, ATTEMPT_LIMIT).await == Ok(GatewayReply::Done)
}

/// Whether no request was sent to any of `addresses`.
fn none_contacted(client: &ControlClient<CompioRuntime>, addresses: &[SocketAddr]) -> bool {
    let mut contacts = client.search().replicas.into_iter().filter(|(address, _)| addresses.contains(address));
    contacts.all(|(_, answer)| answer == LastResult::NotContacted)
}

/// Guards against preferring newly discovered peers, which may be unreachable, over replicas that the client already
/// knows.
#[test]
fn known_replicas_are_tried_before_newly_discovered_peers() {
    compio::runtime::Runtime::new().expect("the compio runtime is created").block_on(async {
        let runtime = CompioRuntime::without_files();
        let unreachable = start_silent(&runtime, 4).await;
        let follower = start(&runtime, Behavior::ReturnsPeers(unreachable.clone())).await;
        let leader = start(&runtime, Behavior::Leads).await;
        let client = ControlClient::new(runtime.clone(), &[follower, leader], SECRET);
        assert!(reaches_leader(&client).await && none_contacted(&client, &unreachable), "{}", client.search());
    });
}

/// Guards against ignoring a returned peer that the client already knows, and trying all other replicas first.
#[test]
fn a_returned_peer_that_is_already_known_is_tried_next() {
    compio::runtime::Runtime::new().expect("the compio runtime is created").block_on(async {
        let runtime = CompioRuntime::without_files();
        let unreachable = start_silent(&runtime, 8).await;
        let leader = start(&runtime, Behavior::Leads).await;
        let inner = start(&runtime, Behavior::ReturnsPeers(vec![leader])).await;
        let addresses: Vec<SocketAddr> = [inner].into_iter().chain(unreachable.clone()).chain([leader]).collect();
        let client = ControlClient::new(runtime.clone(), &addresses, SECRET);
        assert!(reaches_leader(&client).await && none_contacted(&client, &unreachable), "{}", client.search());
    });
}

/// Guards against a full list of failed replicas, to which the leader's address is never added.
#[test]
fn failed_replicas_are_evicted_for_a_newly_discovered_one() {
    compio::runtime::Runtime::new().expect("the compio runtime is created").block_on(async {
        let runtime = CompioRuntime::without_files();
        // No listener: connections are refused at once.
        let unreachable: Vec<SocketAddr> = (1..=64).map(|port| SocketAddr::from(([127, 0, 0, 1], port))).collect();
        let leader = start(&runtime, Behavior::Leads).await;
        let inner = start(&runtime, Behavior::ReturnsPeers(vec![leader])).await;
        let outer = start(&runtime, Behavior::ReturnsPeers(unreachable)).await;
        let client = ControlClient::new(runtime.clone(), &[outer, inner], SECRET);
        assert!(reaches_leader(&client).await, "{}", client.search());
    });
}

/// Guards against dropping discovered replicas on each `set_replicas`: the search would start over each time and never
/// get past an unreachable peer.
#[test]
fn a_search_continues_while_the_configured_replicas_are_replaced() {
    compio::runtime::Runtime::new().expect("the compio runtime is created").block_on(async {
        let runtime = CompioRuntime::without_files();
        let leader = start(&runtime, Behavior::Leads).await;
        let mut peers = start_silent(&runtime, 1).await;
        peers.push(leader);
        let follower = start(&runtime, Behavior::ReturnsPeers(peers)).await;
        let client = ControlClient::new(runtime.clone(), &[follower], SECRET);
        let (loop_client, loop_runtime) = (client.clone(), runtime.clone());
        runtime.spawn(async move {
            loop {
                loop_client.set_replicas([follower]);
                loop_runtime.sleep(ATTEMPT_LIMIT).await;
            }
        });
        let answer = client.gateway(GatewayRequest::ReadRouting, LIMIT, 2 * ATTEMPT_LIMIT).await;
        assert_eq!(answer, Ok(GatewayReply::Done));
    });
}

/// Guards against leaving a working leader when `add_known_addresses` adds addresses, for example after a change of
/// settings.
#[test]
fn a_client_keeps_its_leader_when_addresses_are_added() {
    compio::runtime::Runtime::new().expect("the compio runtime is created").block_on(async {
        let runtime = CompioRuntime::without_files();
        let leader = start(&runtime, Behavior::Leads).await;
        let client = ControlClient::new(runtime.clone(), &[leader], SECRET);
        assert!(reaches_leader(&client).await);
        let others = start_silent(&runtime, 1).await;
        client.add_known_addresses(&others);
        assert!(reaches_leader(&client).await && none_contacted(&client, &others), "{}", client.search());
    });
}
