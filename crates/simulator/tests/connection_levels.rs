//! Feature level negotiation: a client finds the newest level that both sides support, and sends no request before the
//! peer has accepted the connection.

use futures::executor::LocalPool;
use saddlerelay_rpc::client::{CallError, Client, LevelSelection};
use saddlerelay_rpc::frame::{Envelope, Hello};
use saddlerelay_rpc::server::{Handler, Response};
use saddlerelay_runtime::{FrameListener, FrameReceiver, FrameSender, Runtime};
use saddlerelay_simulator::platform::SimRuntime;
use saddlerelay_simulator::world::{Process, World};
use saddlerelay_types::feature_level::FeatureLevel;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const SECRET: &str = "a secret of sixteen signs";

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

fn address() -> SocketAddr {
    ([10, 0, 0, 1], 7_000).into()
}

/// Builds of the peer.
#[derive(Clone, Copy, Debug)]
enum PeerBuild {
    /// Supports one level, closes connections of any other level and does not acknowledge accepted ones.
    Only(FeatureLevel),
    /// The current build.
    Newest,
}

/// Responds to each request with its body and the level at which it was decoded.
struct Echo {
    requests: Rc<Cell<u32>>,
}

impl Handler for Echo {
    async fn handle(self: Rc<Self>, level: FeatureLevel, body: Vec<u8>) -> Option<Response> {
        self.requests.set(self.requests.get() + 1);
        Some([body, vec![level.number() as u8]].concat().into())
    }
}

/// Serves as a build that supports a single level.
async fn serve_single_level(runtime: SimRuntime, level: FeatureLevel, requests: Rc<Cell<u32>>) {
    let mut listener = runtime.listen(address()).await.expect("the address is free");
    loop {
        let Ok((mut sender, mut receiver)) = listener.accept().await else {
            return;
        };
        let requests = requests.clone();
        runtime.spawn(async move {
            let Ok(Some(hello)) = receiver.receive().await else {
                return;
            };
            let hello: Hello = bitcode::decode(&hello).expect("the client's hello can be decoded");
            if hello.version != level.protocol() {
                return;
            }
            while let Ok(Some(frame)) = receiver.receive().await {
                requests.set(requests.get() + 1);
                let Envelope { id, body } = bitcode::decode(&frame).expect("the request can be decoded");
                let body = [body, vec![level.number() as u8]].concat();
                if sender.send(bitcode::encode(&Envelope { id, body })).await.is_err() {
                    return;
                }
            }
        });
    }
}

struct Fixture {
    world: Rc<World>,
    pool: LocalPool,
    server: Option<Rc<Process>>,
    /// Number of requests received by all server processes.
    requests: Rc<Cell<u32>>,
    client: Client<SimRuntime>,
    caller: Rc<Process>,
}

impl Fixture {
    fn new(build: PeerBuild) -> Self {
        let (world, pool) = World::new(7);
        let caller = world.start_process("caller", 1, 0);
        let runtime = SimRuntime { world: world.clone(), process: caller.clone() };
        let client = Client::new(runtime, address(), SECRET);
        let mut fixture = Self { world, pool, server: None, requests: Rc::default(), client, caller };
        fixture.start(build);
        fixture
    }

    /// Replaces the peer's process by another build.
    fn start(&mut self, build: PeerBuild) {
        if let Some(previous) = self.server.take() {
            previous.kill();
        }
        let process = self.world.start_process("server", 2, 0);
        let runtime = SimRuntime { world: self.world.clone(), process: process.clone() };
        let requests = self.requests.clone();
        self.world.spawn(&process, async move {
            match build {
                PeerBuild::Only(level) => serve_single_level(runtime, level, requests).await,
                PeerBuild::Newest => {
                    let listener = runtime.listen(address()).await.expect("the address is free");
                    saddlerelay_rpc::server::serve(runtime, listener, SECRET.to_string(), Rc::new(Echo { requests }))
                        .await;
                }
            }
        });
        self.server = Some(process);
        self.world.run(&mut self.pool, Duration::from_millis(50), || false);
    }

    /// Makes a call and returns the level at which the peer decoded it.
    fn call(&mut self) -> Result<FeatureLevel, CallError> {
        let (client, reply) = (self.client.clone(), Rc::new(RefCell::new(None)));
        let result = reply.clone();
        self.world.spawn(&self.caller, async move {
            let outcome = client.call(|level: FeatureLevel| Some(vec![level.number() as u8]), CALL_TIMEOUT).await;
            *result.borrow_mut() = Some(outcome);
        });
        let completed = reply.clone();
        self.world.run(&mut self.pool, CALL_TIMEOUT * 2, || completed.borrow().is_some());
        let outcome = reply.take().expect("the call completed or timed out");
        outcome.map(|reply| {
            let number = reply.level.number() as u8;
            assert_eq!(reply.body, [number, number], "both sides use the same level");
            reply.level
        })
    }
}

#[test]
fn the_newest_common_level_is_negotiated() {
    for level in FeatureLevel::ALL {
        assert_eq!(Fixture::new(PeerBuild::Only(level)).call(), Ok(level));
    }
    assert_eq!(Fixture::new(PeerBuild::Newest).call(), Ok(FeatureLevel::NEWEST));
}

#[test]
fn a_request_is_sent_once_when_an_older_peer_closes_the_first_connection() {
    let mut fixture = Fixture::new(PeerBuild::Only(FeatureLevel::One));
    for sent in 1..=3 {
        assert_eq!(fixture.call(), Ok(FeatureLevel::One));
        assert_eq!(fixture.requests.get(), sent);
    }
}

#[test]
fn the_level_is_negotiated_again_after_the_peer_is_replaced() {
    let mut fixture = Fixture::new(PeerBuild::Only(FeatureLevel::One));
    let builds = [
        (PeerBuild::Newest, FeatureLevel::NEWEST),
        (PeerBuild::Only(FeatureLevel::One), FeatureLevel::One),
        (PeerBuild::Only(FeatureLevel::Two), FeatureLevel::Two),
        (PeerBuild::Only(FeatureLevel::One), FeatureLevel::One),
    ];
    assert_eq!(fixture.call(), Ok(FeatureLevel::One));
    for (build, level) in builds {
        fixture.start(build);
        // The first call may use the closed connection.
        let reply = (0..3).find_map(|_| fixture.call().ok());
        assert_eq!(reply, Some(level), "{build:?}");
    }
}

#[test]
fn a_peer_reports_its_newest_level_on_a_connection_of_an_older_level() {
    let mut fixture = Fixture::new(PeerBuild::Newest);
    fixture.client.set_level_selection(LevelSelection::Fixed(FeatureLevel::One));
    assert_eq!(fixture.call(), Ok(FeatureLevel::One));
    assert_eq!(fixture.client.newest_level_of_peer(), Some(FeatureLevel::NEWEST));
    fixture.start(PeerBuild::Only(FeatureLevel::One));
    let reply = (0..3).find_map(|_| fixture.call().ok());
    assert_eq!(reply, Some(FeatureLevel::One));
    assert_eq!(fixture.client.newest_level_of_peer(), Some(FeatureLevel::One));
}

#[test]
fn a_request_that_the_level_cannot_encode_is_not_sent() {
    let mut fixture = Fixture::new(PeerBuild::Only(FeatureLevel::One));
    let (client, reply) = (fixture.client.clone(), Rc::new(RefCell::new(None)));
    let result = reply.clone();
    fixture.world.spawn(&fixture.caller, async move {
        let newer = |level| (level > FeatureLevel::One).then(|| vec![1]);
        *result.borrow_mut() = Some(client.call(newer, CALL_TIMEOUT).await);
    });
    let completed = reply.clone();
    fixture.world.run(&mut fixture.pool, CALL_TIMEOUT * 2, || completed.borrow().is_some());
    assert_eq!(reply.take(), Some(Err(CallError::UnsupportedByPeer)));
    assert_eq!(fixture.requests.get(), 0);
}
