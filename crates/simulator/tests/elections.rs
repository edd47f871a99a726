//! Five voters lose power and two of them their disks, so that all three others are needed for a quorum, and these have
//! slow disks or links. Checks that a stable leader is elected and keeps its lease.

use futures::executor::LocalPool;
use saddlerelay_replication::config::ReplicationConfig;
use saddlerelay_replication::message_codec;
use saddlerelay_replication::{Replica, ReplicaOptions, StateMachine};
use saddlerelay_rpc::server::{Handler, Response};
use saddlerelay_runtime::Runtime;
use saddlerelay_simulator::network::LinkFaults;
use saddlerelay_simulator::platform::SimRuntime;
use saddlerelay_simulator::world::{Process, Sleep, World};
use saddlerelay_types::feature_level::FeatureLevel;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..30;

/// Number of threads that run the seeds of one test.
const THREADS: usize = 5;

/// Time for which a leader must lead to count as stable.
const STABLE_AFTER: Duration = Duration::from_secs(5);

/// Time after which a run without a stable leader ends.
const STABLE_LEADER_TIMEOUT: Duration = Duration::from_secs(60);

/// Time limit for the election of a stable leader.
const STABLE_LEADER_LIMIT: Duration = Duration::from_secs(15);

/// Interval between proposals.
const PROPOSAL_INTERVAL: Duration = Duration::from_millis(100);

/// Limit of frames between zones for a hundred proposals in 10 s without faults: an append and its reply for each of
/// four peers, twice per proposal (the entry, then the commit index).
const MAX_FRAMES: u64 = 1_600;

/// Limit of the bytes of these frames: a hundred proposals of 1,000 bytes to four peers, and about 30 bytes of overhead
/// per frame.
const MAX_BYTES: u64 = 452_000;

/// Limit of file syncs for these proposals: one per voter and proposal.
const MAX_SYNCS: u64 = 500;

const SECRET: &str = "a secret of sixteen signs";

/// Counts applied commands.
#[derive(Default)]
struct Counter(u64);

impl StateMachine for Counter {
    type Outcome = u64;

    fn apply(&mut self, _command: &[u8]) -> u64 {
        self.0 += 1;
        self.0
    }

    fn snapshot(&self) -> Vec<u8> {
        bitcode::encode(&self.0)
    }

    fn restore(&mut self, bytes: &[u8], _level: FeatureLevel) {
        self.0 = bitcode::decode(bytes).expect("the snapshot can be decoded");
    }
}

type Node = Replica<SimRuntime, Counter>;

struct RequestHandler(Node);

impl Handler for RequestHandler {
    async fn handle(self: Rc<Self>, level: FeatureLevel, body: Vec<u8>) -> Option<Response> {
        let request = message_codec::decode_call(&body, level)?;
        let reply = self.0.handle(request, level).await;
        message_codec::encode_call_reply(reply, level).map(Response::from)
    }
}

struct Machine {
    process: Rc<Process>,
    node: Rc<RefCell<Option<Node>>>,
}

struct Group {
    world: Rc<World>,
    pool: LocalPool,
    machines: BTreeMap<u8, Machine>,
    acknowledged: Rc<Cell<u64>>,
}

/// Faults after the power loss.
#[derive(Clone, Copy, Default)]
struct Faults {
    /// Mean duration of a file sync; the actual duration varies by a third.
    sync: Duration,
    links: LinkFaults,
    /// Number of entries that one of the three voters lacks.
    entries_behind: u64,
}

/// Result of a run after the power loss.
#[derive(Clone, Copy, Debug)]
struct RunResult {
    /// Time until the stable leader first held the lease; `None` without a stable leader.
    time_to_stable_leader: Option<Duration>,
    /// Number of times that a replica claimed leadership in a new term.
    terms: u64,
    /// Percentage of the following `STABLE_AFTER` in which that leader held the lease.
    leased_percent: u64,
    /// Number of proposals that it committed in this time.
    committed: u64,
}

fn address(index: u8) -> SocketAddr {
    ([10, 0, 0, index], 7_000).into()
}

/// Timing of deployments with automatic membership.
fn config() -> ReplicationConfig {
    ReplicationConfig {
        heartbeat_interval: Duration::from_millis(70),
        election_timeout: Duration::from_millis(500),
        election_jitter: Duration::from_millis(200),
        lease: Duration::from_millis(400),
        call_timeout: Duration::from_millis(700),
        snapshot_entries: 40_000,
        memory_bytes: 512 * 1024,
        memory_bytes_behind: 3 * 1024 * 1024,
        ..ReplicationConfig::default()
    }
}

impl Group {
    /// Starts five voters and waits for a leader.
    fn formed(seed: u64) -> Self {
        spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
        let (world, pool) = World::new(seed);
        world.network.set_delays(9, Duration::from_millis(1), Duration::from_millis(3));
        let mut group = Self { world, pool, machines: BTreeMap::new(), acknowledged: Rc::default() };
        (1..=5).for_each(|index| group.start(index));
        while group.leader().is_none() {
            group.run_for(Duration::from_millis(10));
        }
        group
    }

    fn start(&mut self, index: u8) {
        let name = format!("machine-{index}");
        let process = self.world.start_process(&name, index.into(), 0);
        let runtime = SimRuntime { world: self.world.clone(), process: process.clone() };
        let founders: Vec<SocketAddr> = (1..=5).map(address).collect();
        let options = ReplicaOptions {
            address: address(index),
            peers: founders.clone(),
            founders,
            secret: SECRET.to_string(),
            config: config(),
        };
        let node = Rc::new(RefCell::new(None));
        let started = node.clone();
        let task_runtime = runtime.clone();
        self.world.spawn(&process, async move {
            let listener = task_runtime.listen(options.address).await.expect("the address is free");
            let replica = Replica::open(task_runtime.clone(), options, Counter::default())
                .await
                .expect("the storage can be opened");
            replica.start();
            *started.borrow_mut() = Some(replica.clone());
            let handler = Rc::new(RequestHandler(replica));
            saddlerelay_rpc::server::serve(task_runtime, listener, SECRET.to_string(), handler).await;
        });
        self.machines.insert(index, Machine { process, node });
    }

    fn kill(&mut self, index: u8) {
        if let Some(machine) = self.machines.remove(&index) {
            machine.process.kill();
            self.world.disks.crash(&format!("machine-{index}"), || self.world.random());
        }
    }

    fn run_for(&mut self, time: Duration) {
        let until = self.world.clock.now() + time;
        let clock = self.world.clock.clone();
        let timer = self.world.start_process("timer", 0, 0);
        self.world.spawn(&timer, Sleep::new(clock.clone(), until));
        self.world.run(&mut self.pool, until + Duration::from_secs(1), move || clock.now() >= until);
    }

    fn nodes(&self) -> Vec<Node> {
        self.machines.values().filter_map(|machine| machine.node.borrow().clone()).collect()
    }

    fn leader(&self) -> Option<Node> {
        self.nodes().into_iter().find(|node| node.leading_term().is_some())
    }

    /// The replica that claims leadership in the newest term.
    fn claimant(&self) -> Option<Node> {
        let claimants = self.nodes().into_iter().filter(|node| node.claimed_term().is_some());
        claimants.max_by_key(|node| node.claimed_term())
    }

    fn newest_claim(&self) -> u64 {
        self.claimant().and_then(|node| node.claimed_term()).unwrap_or_default()
    }

    fn propose(&self, to: Node, bytes: usize) {
        let acknowledged = self.acknowledged.clone();
        let client = self.world.start_process("client", 0, 0);
        // Random bytes, which the encoding cannot compress.
        let command: Vec<u8> = (0..bytes / 8).flat_map(|_| self.world.random().to_le_bytes()).collect();
        self.world.spawn(&client, async move {
            // Failed proposals are not counted.
            if to.propose(command).await.is_ok() {
                acknowledged.set(acknowledged.get() + 1);
            }
        });
    }

    /// Proposes to the replica that claims leadership, for `time`.
    fn propose_for(&mut self, time: Duration) {
        let until = self.world.clock.now() + time;
        while self.world.clock.now() < until {
            if let Some(claimant) = self.claimant() {
                self.propose(claimant, 1_000);
            }
            self.run_for(PROPOSAL_INTERVAL);
        }
    }

    /// Stops machine 3 while `entries` entries of 8 KB are proposed.
    fn make_voter_lag(&mut self, entries: u64) {
        self.kill(3);
        for _ in 0..entries {
            if let Some(leader) = self.leader() {
                self.propose(leader, 8_000);
            }
            self.run_for(Duration::from_millis(5));
        }
        self.run_for(Duration::from_millis(500));
    }

    /// All machines lose power, and 4 and 5 do not restart. The others start 100 ms apart with the faults.
    fn lose_power(&mut self, faults: Faults) {
        (1..=5).for_each(|index| self.kill(index));
        self.run_for(Duration::from_secs(1));
        self.world.network.set_link_faults(faults.links);
        for index in 1..=3 {
            self.world.disks.set_slow(&format!("machine-{index}"), faults.sync * 2 / 3);
            self.start(index);
            self.run_for(Duration::from_millis(100));
        }
    }

    /// Waits for a stable leader.
    fn await_stable_leader(&mut self) -> RunResult {
        let began = self.world.clock.now();
        let first_term = self.newest_claim();
        let mut newest_term = first_term;
        let mut claims = 0;
        let (mut claim, mut since) = (None, began);
        let (mut leased, mut observations, mut committed_before) = (0, 0, 0);
        while self.world.clock.now() < began + STABLE_LEADER_TIMEOUT {
            let now_claimed = self.claimant().and_then(|node| node.claimed_term().map(|term| (term, node.id())));
            if now_claimed != claim {
                claim = now_claimed;
                claims += u64::from(claim.is_some());
                observations = 0;
            }
            // Measures from when the leader first holds the lease.
            if observations == 0 {
                since = self.world.clock.now();
                (leased, committed_before) = (0, self.acknowledged.get());
            }
            newest_term = newest_term.max(self.newest_claim());
            let is_leased = self.leader().is_some();
            observations += u64::from(observations > 0 || is_leased);
            leased += u64::from(is_leased);
            let committed = self.acknowledged.get() - committed_before;
            if observations > 0 && self.world.clock.now() >= since + STABLE_AFTER && committed > 0 {
                let leased_percent = leased * 100 / observations;
                return RunResult {
                    time_to_stable_leader: Some(since - began),
                    terms: claims,
                    leased_percent,
                    committed,
                };
            }
            self.propose_for(PROPOSAL_INTERVAL);
        }
        RunResult { time_to_stable_leader: None, terms: claims, leased_percent: 0, committed: 0 }
    }
}

fn run_seed(seed: u64, faults: Faults) -> RunResult {
    let mut group = Group::formed(seed);
    group.propose_for(Duration::from_secs(1));
    if faults.entries_behind > 0 {
        group.make_voter_lag(faults.entries_behind);
    }
    group.lose_power(faults);
    group.await_stable_leader()
}

/// Runs all seeds, prints a row of the table in `docs/design/leader-elections.md`, and checks that each finds a stable
/// leader in time, and that leaders hold the lease for `min_leased_percent` percent of `STABLE_AFTER` on average.
fn check(what: &str, faults: Faults, min_leased_percent: u64) {
    check_within(STABLE_LEADER_LIMIT, what, faults, min_leased_percent);
}

/// Runs all seeds on several threads; the results are in the order of the seeds.
fn run_all(faults: Faults) -> Vec<RunResult> {
    let seeds: Vec<u64> = SEEDS.collect();
    let chunk_size = seeds.len().div_ceil(THREADS);
    std::thread::scope(|scope| {
        let run_seeds = |seeds: &[u64]| seeds.iter().map(|seed| run_seed(*seed, faults)).collect::<Vec<RunResult>>();
        let threads: Vec<_> = seeds.chunks(chunk_size).map(|seeds| scope.spawn(move || run_seeds(seeds))).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("the thread did not panic")).collect()
    })
}

/// Like `check`, with another time limit.
fn check_within(limit: Duration, what: &str, faults: Faults, min_leased_percent: u64) {
    let results = run_all(faults);
    let mut times: Vec<Duration> = results.iter().filter_map(|result| result.time_to_stable_leader).collect();
    times.sort_unstable();
    let count = results.len() as u64;
    let mean = |value: fn(&RunResult) -> u64| results.iter().map(value).sum::<u64>() / count;
    println!(
        "| {what} | {} of {count} | {:.1} | {:.1} | {} | {} | {} |",
        times.len(),
        times.get(times.len() / 2).copied().unwrap_or_default().as_secs_f64(),
        times.last().copied().unwrap_or_default().as_secs_f64(),
        results.iter().map(|result| result.terms).max().unwrap_or_default(),
        mean(|result| result.leased_percent),
        mean(|result| result.committed),
    );
    let too_slow = |result: &&RunResult| result.time_to_stable_leader.is_none_or(|time| time > limit);
    let too_slow: Vec<&RunResult> = results.iter().filter(too_slow).collect();
    assert!(
        too_slow.is_empty(),
        "{what}: {} of {count} had no stable leader within {limit:?}: {too_slow:?}",
        too_slow.len()
    );
    let leased = mean(|result| result.leased_percent);
    assert!(leased >= min_leased_percent, "{what}: leaders held the lease for {leased} % of the time");
}

fn slow_syncs(milliseconds: u64) -> Faults {
    Faults { sync: Duration::from_millis(milliseconds), ..Faults::default() }
}

fn packet_loss(per_mille: u64) -> Faults {
    Faults { links: LinkFaults { lost_per_mille: per_mille, ..LinkFaults::default() }, ..Faults::default() }
}

#[test]
fn leadership_is_stable_without_faults() {
    check("nothing slow", Faults::default(), 99);
}

#[test]
fn leadership_is_stable_on_disks_that_take_150_ms_to_sync() {
    check("syncs of 150 ms", slow_syncs(150), 95);
}

#[test]
fn leadership_is_stable_on_disks_that_take_250_ms_to_sync() {
    check("syncs of 250 ms", slow_syncs(250), 95);
}

#[test]
fn leadership_is_stable_on_disks_that_take_350_ms_to_sync() {
    check("syncs of 350 ms", slow_syncs(350), 95);
}

#[test]
fn leadership_is_stable_on_disks_that_take_600_ms_to_sync() {
    check("syncs of 600 ms", slow_syncs(600), 95);
}

#[test]
fn leadership_is_stable_with_5_percent_packet_loss() {
    check("links lose 0.05", packet_loss(50), 90);
}

#[test]
fn leadership_is_stable_with_20_percent_packet_loss() {
    check("links lose 0.2", packet_loss(200), 40);
}

/// One voter lacks `entries` entries of 8 KB, and links have a bandwidth of 250 KB/s.
fn lagging_voter(entries: u64) -> Faults {
    let links = LinkFaults { bytes_per_second: 250_000, ..LinkFaults::default() };
    Faults { links, entries_behind: entries, ..Faults::default() }
}

#[test]
fn leadership_is_stable_while_a_voter_receives_2_mb_at_250_kb_per_second() {
    check("one 2 MB behind, 250 KB/s", lagging_voter(250), 95);
}

/// Nothing can be committed before the voter has caught up, which takes 33 s.
#[test]
fn leadership_is_stable_while_a_voter_receives_8_mb_at_250_kb_per_second() {
    check_within(Duration::from_secs(38), "one 8 MB behind, 250 KB/s", lagging_voter(1_000), 95);
}

#[test]
fn leadership_is_stable_with_connection_delays_of_250_to_400_ms() {
    let links = LinkFaults {
        connect_delay: Duration::from_millis(250),
        connect_jitter: Duration::from_millis(150),
        ..LinkFaults::default()
    };
    check("connects of 250 to 400 ms", Faults { links, ..Faults::default() }, 95);
}

#[test]
fn leadership_is_stable_with_slow_disks_and_packet_loss() {
    let links = LinkFaults {
        lost_per_mille: 100,
        connect_delay: Duration::from_millis(100),
        connect_jitter: Duration::from_millis(200),
        ..LinkFaults::default()
    };
    check("syncs of 250 ms, links lose 0.1, connects of 100 to 300 ms", Faults { links, ..slow_syncs(250) }, 40);
}

/// Limits the frames, bytes and syncs of the whole group in 10 s without faults.
#[test]
fn a_group_without_faults_sends_and_syncs_no_more_than_its_appends() {
    let mut group = Group::formed(1);
    group.run_for(Duration::from_secs(2));
    let ((frames_before, bytes_before), syncs_before) =
        (group.world.network.sent_between_zones(), group.world.disks.syncs());
    group.propose_for(Duration::from_secs(10));
    let ((frames, bytes), syncs) = (group.world.network.sent_between_zones(), group.world.disks.syncs());
    let (frames, bytes, syncs) = (frames - frames_before, bytes - bytes_before, syncs - syncs_before);
    println!("without faults: {frames} frames, {bytes} bytes, {syncs} syncs");
    assert!(frames <= MAX_FRAMES, "{frames} frames were sent between zones");
    assert!(bytes <= MAX_BYTES, "{bytes} bytes were sent between zones");
    assert!(syncs <= MAX_SYNCS, "{syncs} file syncs were made");
}
