//! A caller that does not know its peer's build finds the newest level that both speak, and nothing is sent before the peer has
//! taken the connection.

use futures::executor::LocalPool;
use saddlerelay_rpc::client::{CallError, Client, Speech};
use saddlerelay_rpc::frame::{Envelope, Hello};
use saddlerelay_rpc::server::Handler;
use saddlerelay_runtime::{FrameListener, FrameReceiver, FrameSender, Runtime};
use saddlerelay_simulator::platform::SimRuntime;
use saddlerelay_simulator::world::{Process, World};
use saddlerelay_types::feature_level::FeatureLevel;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const SECRET: &str = "a secret of sixteen signs";

/// Time limit of a call.
const LIMIT: Duration = Duration::from_secs(1);

fn address() -> SocketAddr {
    ([10, 0, 0, 1], 7_000).into()
}

/// Builds that a peer may be of.
#[derive(Clone, Copy, Debug)]
enum PeerBuild {
    /// Knows one level, closes connections of any other without a word, and says nothing when it takes one.
    Only(FeatureLevel),
    /// This one.
    Newest,
}

/// Answers each request with the level that it was written at, as this build does.
struct Echo {
    requests: Rc<Cell<u32>>,
}

impl Handler for Echo {
    async fn handle(self: Rc<Self>, level: FeatureLevel, body: Vec<u8>) -> Option<Vec<u8>> {
        self.requests.set(self.requests.get() + 1);
        Some([body, vec![level.number() as u8]].concat())
    }
}

/// A server as released builds have it.
async fn serve_as_released(runtime: SimRuntime, level: FeatureLevel, requests: Rc<Cell<u32>>) {
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
            let hello: Hello = bitcode::decode(&hello).expect("a greeting");
            if hello.version != level.protocol() {
                return;
            }
            while let Ok(Some(frame)) = receiver.receive().await {
                requests.set(requests.get() + 1);
                let Envelope { id, body } = bitcode::decode(&frame).expect("a request");
                let body = [body, vec![level.number() as u8]].concat();
                if sender.send(bitcode::encode(&Envelope { id, body })).await.is_err() {
                    return;
                }
            }
        });
    }
}

struct Setting {
    world: Rc<World>,
    pool: LocalPool,
    server: Option<Rc<Process>>,
    /// Requests that servers have read.
    requests: Rc<Cell<u32>>,
    client: Client<SimRuntime>,
    caller: Rc<Process>,
}

impl Setting {
    fn new(build: PeerBuild) -> Self {
        let (world, pool) = World::new(7);
        let caller = world.start_process("caller", 1, 0);
        let runtime = SimRuntime { world: world.clone(), process: caller.clone() };
        let client = Client::new(runtime, address(), SECRET);
        let mut setting = Self { world, pool, server: None, requests: Rc::default(), client, caller };
        setting.start(build);
        setting
    }

    /// The peer's process ends, and another build starts in its place.
    fn start(&mut self, build: PeerBuild) {
        if let Some(before) = self.server.take() {
            before.kill();
        }
        let process = self.world.start_process("server", 2, 0);
        let runtime = SimRuntime { world: self.world.clone(), process: process.clone() };
        let requests = self.requests.clone();
        self.world.spawn(&process, async move {
            match build {
                PeerBuild::Only(level) => serve_as_released(runtime, level, requests).await,
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

    /// What the peer answers: the level that it read, if it answers at all.
    fn call(&mut self) -> Result<FeatureLevel, CallError> {
        let (client, answer) = (self.client.clone(), Rc::new(RefCell::new(None)));
        let told = answer.clone();
        self.world.spawn(&self.caller, async move {
            let outcome = client.call(|level: FeatureLevel| Some(vec![level.number() as u8]), LIMIT).await;
            *told.borrow_mut() = Some(outcome);
        });
        let of_run = answer.clone();
        self.world.run(&mut self.pool, LIMIT * 2, || of_run.borrow().is_some());
        let outcome = answer.take().expect("a call ends");
        outcome.map(|answer| {
            let number = answer.level.number() as u8;
            assert_eq!(answer.body, [number, number], "both sides speak one level");
            answer.level
        })
    }
}

#[test]
fn the_newest_level_that_both_know_is_spoken() {
    for level in FeatureLevel::ALL {
        assert_eq!(Setting::new(PeerBuild::Only(level)).call(), Ok(level));
    }
    assert_eq!(Setting::new(PeerBuild::Newest).call(), Ok(FeatureLevel::NEWEST));
}

#[test]
fn each_request_is_sent_once_though_an_older_peer_closes_the_first_connection() {
    let mut setting = Setting::new(PeerBuild::Only(FeatureLevel::One));
    for sent in 1..=3 {
        assert_eq!(setting.call(), Ok(FeatureLevel::One));
        assert_eq!(setting.requests.get(), sent);
    }
}

#[test]
fn a_peer_that_is_replaced_by_another_build_is_found_out_anew() {
    let mut setting = Setting::new(PeerBuild::Only(FeatureLevel::One));
    let builds = [
        (PeerBuild::Newest, FeatureLevel::NEWEST),
        (PeerBuild::Only(FeatureLevel::One), FeatureLevel::One),
        (PeerBuild::Only(FeatureLevel::Two), FeatureLevel::Two),
        (PeerBuild::Only(FeatureLevel::One), FeatureLevel::One),
    ];
    assert_eq!(setting.call(), Ok(FeatureLevel::One));
    for (build, level) in builds {
        setting.start(build);
        // The first call may find the connection that ended.
        let answer = (0..3).find_map(|_| setting.call().ok());
        assert_eq!(answer, Some(level), "{build:?}");
    }
}

#[test]
fn a_peer_says_what_it_knows_also_on_a_connection_of_an_older_level() {
    let mut setting = Setting::new(PeerBuild::Newest);
    setting.client.speak(Speech::Fixed(FeatureLevel::One));
    assert_eq!(setting.call(), Ok(FeatureLevel::One));
    assert_eq!(setting.client.newest_of_peer(), Some(FeatureLevel::NEWEST));
    setting.start(PeerBuild::Only(FeatureLevel::One));
    let answer = (0..3).find_map(|_| setting.call().ok());
    assert_eq!(answer, Some(FeatureLevel::One));
    assert_eq!(setting.client.newest_of_peer(), Some(FeatureLevel::One));
}

#[test]
fn what_a_level_has_no_words_for_is_not_sent() {
    let mut setting = Setting::new(PeerBuild::Only(FeatureLevel::One));
    let (client, answer) = (setting.client.clone(), Rc::new(RefCell::new(None)));
    let told = answer.clone();
    setting.world.spawn(&setting.caller, async move {
        let newer = |level| (level > FeatureLevel::One).then(|| vec![1]);
        *told.borrow_mut() = Some(client.call(newer, LIMIT).await);
    });
    let of_run = answer.clone();
    setting.world.run(&mut setting.pool, LIMIT * 2, || of_run.borrow().is_some());
    assert_eq!(answer.take(), Some(Err(CallError::Unspeakable)));
    assert_eq!(setting.requests.get(), 0);
}
