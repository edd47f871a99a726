//! A search for the leader goes on past machines that are gone, however many of them other replicas name.

use saddlerelay_control_client::ControlClient;
use saddlerelay_control_client::search::LastAnswer;
use saddlerelay_rpc::server::Handler;
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

/// Far longer than any answer of these replicas takes.
const ATTEMPT_LIMIT: Duration = Duration::from_millis(400);

/// Far longer than a search through all replicas that answer.
const LIMIT: Duration = Duration::from_secs(8);

enum Conduct {
    Silent,
    /// It leads nothing, and names others.
    Names(Vec<SocketAddr>),
    Leads,
}

struct Replica(Conduct);

impl Handler for Replica {
    async fn handle(self: Rc<Self>, _level: FeatureLevel, _body: Vec<u8>) -> Option<Vec<u8>> {
        let reply = match &self.0 {
            Conduct::Silent => return std::future::pending().await,
            Conduct::Names(peers) => ControlReply::NotLeader { leader: None, peers: peers.clone() },
            Conduct::Leads => ControlReply::Gateway(GatewayReply::Done),
        };
        Some(bitcode::encode(&reply))
    }
}

async fn start(runtime: &CompioRuntime, conduct: Conduct) -> SocketAddr {
    let listener = compio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let listener = TcpFrameListener::new(listener, Default::default());
    let handler = Rc::new(Replica(conduct));
    runtime.spawn(saddlerelay_rpc::server::serve(runtime.clone(), listener, SECRET.to_string(), handler));
    address
}

async fn silent(runtime: &CompioRuntime, count: usize) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    for _ in 0..count {
        addresses.push(start(runtime, Conduct::Silent).await);
    }
    addresses
}

/// Whether the leader is found.
async fn search(client: &ControlClient<CompioRuntime>) -> bool {
    client.gateway(GatewayRequest::ReadRouting, LIMIT, ATTEMPT_LIMIT).await == Ok(GatewayReply::Done)
}

/// Whether none of `addresses` was asked: each costs the time of a call that gets no answer.
fn nobody_asked(client: &ControlClient<CompioRuntime>, addresses: &[SocketAddr]) -> bool {
    let mut of_them = client.search().replicas.into_iter().filter(|(address, _)| addresses.contains(address));
    of_them.all(|(_, answer)| answer == LastAnswer::NotAsked)
}

/// A member that hears no leader names a former member that is gone. The client knows the new leader already, and asks the
/// one that is gone first: `choose_after` turns to whatever it did not know before what it knew.
#[test]
fn members_that_are_known_are_asked_before_machines_that_are_only_named() {
    compio::runtime::Runtime::new().expect("a runtime").block_on(async {
        let runtime = CompioRuntime::without_files();
        let gone = silent(&runtime, 4).await;
        let follower = start(&runtime, Conduct::Names(gone.clone())).await;
        let leader = start(&runtime, Conduct::Leads).await;
        let client = ControlClient::new(runtime.clone(), &[follower, leader], SECRET);
        assert!(search(&client).await && nobody_asked(&client, &gone), "{}", client.search());
    });
}

/// A replica names the leader first, as the likeliest. The client knows that address, and goes through all others before.
#[test]
fn the_likeliest_replica_that_another_names_is_asked_next_also_if_it_is_known() {
    compio::runtime::Runtime::new().expect("a runtime").block_on(async {
        let runtime = CompioRuntime::without_files();
        let gone = silent(&runtime, 8).await;
        let leader = start(&runtime, Conduct::Leads).await;
        let inner = start(&runtime, Conduct::Names(vec![leader])).await;
        let addresses: Vec<SocketAddr> = [inner].into_iter().chain(gone.clone()).chain([leader]).collect();
        let client = ControlClient::new(runtime.clone(), &addresses, SECRET);
        assert!(search(&client).await && nobody_asked(&client, &gone), "{}", client.search());
    });
}

/// A client that has heard of as many machines as it keeps takes no further one, also after none of them has answered: the
/// replica that names the leader is asked again and again in vain.
#[test]
fn machines_that_are_gone_make_room_for_one_that_is_named_later() {
    compio::runtime::Runtime::new().expect("a runtime").block_on(async {
        let runtime = CompioRuntime::without_files();
        // Nobody listens there: each is refused at once.
        let gone: Vec<SocketAddr> = (1..=64).map(|port| SocketAddr::from(([127, 0, 0, 1], port))).collect();
        let leader = start(&runtime, Conduct::Leads).await;
        let inner = start(&runtime, Conduct::Names(vec![leader])).await;
        let outer = start(&runtime, Conduct::Names(gone)).await;
        let client = ControlClient::new(runtime.clone(), &[outer, inner], SECRET);
        assert!(search(&client).await, "{}", client.search());
    });
}

/// A machine names its client's replicas anew some times a second, from what its replica knows. What the search has learned
/// is dropped each time; one named machine that is gone then hides all that are named behind it, for ever.
#[test]
fn a_search_goes_on_while_the_replicas_are_named_anew() {
    compio::runtime::Runtime::new().expect("a runtime").block_on(async {
        let runtime = CompioRuntime::without_files();
        let leader = start(&runtime, Conduct::Leads).await;
        let mut named = silent(&runtime, 1).await;
        named.push(leader);
        let own = start(&runtime, Conduct::Names(named)).await;
        let client = ControlClient::new(runtime.clone(), &[own], SECRET);
        let (of_loop, sleeper) = (client.clone(), runtime.clone());
        runtime.spawn(async move {
            loop {
                of_loop.set_replicas([own]);
                sleeper.sleep(ATTEMPT_LIMIT).await;
            }
        });
        let answer = client.gateway(GatewayRequest::ReadRouting, LIMIT, 2 * ATTEMPT_LIMIT).await;
        assert_eq!(answer, Ok(GatewayReply::Done));
    });
}

/// New settings name a machine that does not answer, while the leader is known and answers: `hear_of` turns away from it.
#[test]
fn a_client_that_is_answered_stays_with_its_leader_when_it_hears_of_others() {
    compio::runtime::Runtime::new().expect("a runtime").block_on(async {
        let runtime = CompioRuntime::without_files();
        let leader = start(&runtime, Conduct::Leads).await;
        let client = ControlClient::new(runtime.clone(), &[leader], SECRET);
        assert!(search(&client).await);
        let others = silent(&runtime, 1).await;
        client.hear_of(&others);
        assert!(search(&client).await && nobody_asked(&client, &others), "{}", client.search());
    });
}
