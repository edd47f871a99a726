//! A replica that stands still costs a caller the time of one call, not of every other one.

use saddlerelay_control_client::ControlClient;
use saddlerelay_rpc::server::Handler;
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

/// Far longer than any answer of these replicas takes.
const ATTEMPT_LIMIT: Duration = Duration::from_millis(400);

/// For hangs only.
const LIMIT: Duration = Duration::from_secs(20);

/// What a replica answers.
#[derive(Clone)]
enum Conduct {
    Silent,
    Follows,
    /// It is no member, and names others.
    Names(Vec<SocketAddr>),
    Leads,
}

struct Replica {
    conduct: Conduct,
    asked: Rc<Cell<u32>>,
}

impl Handler for Replica {
    async fn handle(self: Rc<Self>, _level: FeatureLevel, _body: Vec<u8>) -> Option<Vec<u8>> {
        self.asked.set(self.asked.get() + 1);
        let reply = match &self.conduct {
            Conduct::Silent => return std::future::pending().await,
            Conduct::Follows => ControlReply::NotLeader { leader: None, peers: Vec::new() },
            Conduct::Names(peers) => ControlReply::NotLeader { leader: None, peers: peers.clone() },
            Conduct::Leads => ControlReply::Gateway(GatewayReply::Done),
        };
        Some(bitcode::encode(&reply))
    }
}

async fn start(runtime: &CompioRuntime, conduct: Conduct) -> (SocketAddr, Rc<Cell<u32>>) {
    let listener = compio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let asked = Rc::new(Cell::new(0));
    let handler = Rc::new(Replica { conduct, asked: asked.clone() });
    let listener = TcpFrameListener::new(listener, Default::default());
    runtime.spawn(saddlerelay_rpc::server::serve(runtime.clone(), listener, SECRET.to_string(), handler));
    (address, asked)
}

#[test]
fn a_replica_that_does_not_answer_is_passed_over_for_a_while() {
    compio::runtime::Runtime::new().expect("a runtime").block_on(async {
        let runtime = CompioRuntime::without_files();
        let (silent, asked_silent) = start(&runtime, Conduct::Silent).await;
        let (follower, asked_follower) = start(&runtime, Conduct::Follows).await;
        let client = ControlClient::new(runtime.clone(), &[silent, follower], SECRET);
        let ask = || client.gateway(GatewayRequest::ReadRouting, LIMIT / 20, ATTEMPT_LIMIT);
        assert!(ask().await.is_err(), "nobody leads yet");
        let (silent_asked, follower_asked) = (asked_silent.get(), asked_follower.get());
        assert!(follower_asked > 2 * silent_asked, "{silent_asked} and {follower_asked} times");
        let (leader, asked_leader) = start(&runtime, Conduct::Leads).await;
        client.set_replicas([silent, follower, leader]);
        assert_eq!(ask().await, Ok(GatewayReply::Done));
        assert_eq!(asked_leader.get(), 1);
    });
}

#[test]
fn replicas_that_are_all_silent_are_asked_in_turn() {
    compio::runtime::Runtime::new().expect("a runtime").block_on(async {
        let runtime = CompioRuntime::without_files();
        let (first, asked_first) = start(&runtime, Conduct::Silent).await;
        let (second, asked_second) = start(&runtime, Conduct::Silent).await;
        let client = ControlClient::new(runtime.clone(), &[first, second], SECRET);
        assert!(client.gateway(GatewayRequest::ReadRouting, 3 * ATTEMPT_LIMIT, ATTEMPT_LIMIT).await.is_err());
        assert!(asked_first.get() >= 1 && asked_second.get() >= 1);
    });
}

#[test]
fn replicas_that_another_names_are_asked() {
    compio::runtime::Runtime::new().expect("a runtime").block_on(async {
        let runtime = CompioRuntime::without_files();
        let (leader, _) = start(&runtime, Conduct::Leads).await;
        let (inner, _) = start(&runtime, Conduct::Names(vec![leader])).await;
        let (outer, asked_outer) = start(&runtime, Conduct::Names(vec![inner])).await;
        let client = ControlClient::new(runtime.clone(), &[outer], SECRET);
        assert_eq!(client.gateway(GatewayRequest::ReadRouting, LIMIT, ATTEMPT_LIMIT).await, Ok(GatewayReply::Done));
        assert_eq!(asked_outer.get(), 1);
    });
}

/// Two that name each other for ever, and a multitude that is not there, are not asked without a pause or an end.
#[test]
fn replicas_that_name_each_other_cost_no_more_than_others() {
    compio::runtime::Runtime::new().expect("a runtime").block_on(async {
        let runtime = CompioRuntime::without_files();
        let absent = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let (first, asked_first) = start(&runtime, Conduct::Names((1..1_000).map(absent).collect())).await;
        let (second, asked_second) = start(&runtime, Conduct::Names(vec![first])).await;
        let client = ControlClient::new(runtime.clone(), &[second], SECRET);
        assert!(client.gateway(GatewayRequest::ReadRouting, 5 * ATTEMPT_LIMIT, ATTEMPT_LIMIT).await.is_err());
        let asked = asked_first.get() + asked_second.get();
        assert!((1..=40).contains(&asked), "asked {asked} times");
        assert!(client.search().replicas.len() <= 64);
    });
}

/// A client whose addresses have all moved away takes new ones, for example of changed settings, while it searches.
#[test]
fn addresses_that_are_heard_of_are_asked() {
    compio::runtime::Runtime::new().expect("a runtime").block_on(async {
        let runtime = CompioRuntime::without_files();
        let (follower, _) = start(&runtime, Conduct::Follows).await;
        let (leader, asked_leader) = start(&runtime, Conduct::Leads).await;
        let client = ControlClient::new(runtime.clone(), &[follower], SECRET);
        let ask = || client.gateway(GatewayRequest::ReadRouting, ATTEMPT_LIMIT, ATTEMPT_LIMIT);
        assert!(ask().await.is_err());
        client.hear_of(&[leader]);
        assert_eq!(ask().await, Ok(GatewayReply::Done));
        assert_eq!(asked_leader.get(), 1);
    });
}
