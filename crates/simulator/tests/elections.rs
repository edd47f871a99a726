//! Five voters lose power, two of them their disks too: the other three are all of the quorum, and their disks or links are
//! slow. In virtual time, over the same seeds for each kind of trouble: a leader that lasts is found, and goes on serving.

use futures::executor::LocalPool;
use saddlerelay_replication::config::ReplicationConfig;
use saddlerelay_replication::message_codec;
use saddlerelay_replication::{Replica, ReplicaOptions, StateMachine};
use saddlerelay_rpc::server::Handler;
use saddlerelay_runtime::Runtime;
use saddlerelay_simulator::network::LinkTrouble;
use saddlerelay_simulator::platform::SimRuntime;
use saddlerelay_simulator::world::{Process, Sleep, World};
use saddlerelay_types::feature_level::FeatureLevel;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..30;

/// Threads that play seeds of one kind of trouble: the longest kind takes a minute of processor time.
const THREADS: usize = 5;

/// A leader that has led for so long has settled.
const LASTING: Duration = Duration::from_secs(5);

/// After that a group without a lasting leader is given up on.
const GIVEN_UP: Duration = Duration::from_secs(60);

/// By then a leader that lasts must have begun: the tightest deployment's bound for serving again.
const LONGEST_SEARCH: Duration = Duration::from_secs(15);

/// Pause between two proposals.
const PROPOSAL_PAUSE: Duration = Duration::from_millis(100);

/// Frames between zones in ten calm seconds of five voters with a hundred proposals: an append and its answer for each of four
/// peers, twice for each proposal (its entry, then what is committed).
const CALM_FRAMES: u64 = 1_600;

/// Their bytes: a hundred proposals of 1,000 bytes to four peers, and some 30 bytes of each frame's own.
const CALM_BYTES: u64 = 452_000;

/// Syncs meanwhile: one of each voter for each proposal.
const CALM_SYNCS: u64 = 500;

const SECRET: &str = "a secret of sixteen signs";

/// Counts what it is sent.
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
        self.0 = bitcode::decode(bytes).expect("a snapshot can be read");
    }
}

type Node = Replica<SimRuntime, Counter>;

struct Answering(Node);

impl Handler for Answering {
    async fn handle(self: Rc<Self>, level: FeatureLevel, body: Vec<u8>) -> Option<Vec<u8>> {
        let request = message_codec::decode_call(&body, level)?;
        let reply = self.0.handle(request, level).await;
        message_codec::encode_answer(reply, level)
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

/// What is slow once the power is back.
#[derive(Clone, Copy, Default)]
struct Trouble {
    /// Time of a sync; a third less or more at random.
    sync: Duration,
    links: LinkTrouble,
    /// Entries that one of the three lacks.
    entries_behind: u64,
}

/// How a group fared after the power came back.
#[derive(Clone, Copy, Debug)]
struct Fared {
    /// Until the leader that lasted first held the lease; `None` if none did in time.
    searched: Option<Duration>,
    /// Terms that were used up.
    terms: u64,
    /// Share of its first seconds after that, in percent, in which it held the lease.
    leased_percent: u64,
    /// Proposals that it committed meanwhile.
    committed: u64,
}

fn address(place: u8) -> SocketAddr {
    ([10, 0, 0, place], 7_000).into()
}

/// The timing of deployments whose processes find their own members.
fn config() -> ReplicationConfig {
    ReplicationConfig {
        heartbeat_interval: Duration::from_millis(70),
        election_timeout: Duration::from_millis(500),
        election_jitter: Duration::from_millis(200),
        lease: Duration::from_millis(400),
        call_limit: Duration::from_millis(700),
        snapshot_entries: 40_000,
        memory_bytes: 512 * 1024,
        memory_bytes_behind: 3 * 1024 * 1024,
        ..ReplicationConfig::default()
    }
}

impl Group {
    /// Five voters with a leader.
    fn formed(seed: u64) -> Self {
        spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
        let (world, pool) = World::new(seed);
        world.network.set_delays(9, Duration::from_millis(1), Duration::from_millis(3));
        let mut group = Self { world, pool, machines: BTreeMap::new(), acknowledged: Rc::default() };
        (1..=5).for_each(|place| group.start(place));
        while group.leader().is_none() {
            group.run_for(Duration::from_millis(10));
        }
        group
    }

    fn start(&mut self, place: u8) {
        let name = format!("machine-{place}");
        let process = self.world.start_process(&name, place.into(), 0);
        let runtime = SimRuntime { world: self.world.clone(), process: process.clone() };
        let founders: Vec<SocketAddr> = (1..=5).map(address).collect();
        let options = ReplicaOptions {
            address: address(place),
            peers: founders.clone(),
            founders,
            secret: SECRET.to_string(),
            config: config(),
        };
        let node = Rc::new(RefCell::new(None));
        let started = node.clone();
        let of_task = runtime.clone();
        self.world.spawn(&process, async move {
            let listener = of_task.listen(options.address).await.expect("the address is free");
            let replica = Replica::open(of_task.clone(), options, Counter::default()).await.expect("the disk is sound");
            replica.start();
            *started.borrow_mut() = Some(replica.clone());
            let handler = Rc::new(Answering(replica));
            saddlerelay_rpc::server::serve(of_task, listener, SECRET.to_string(), handler).await;
        });
        self.machines.insert(place, Machine { process, node });
    }

    fn kill(&mut self, place: u8) {
        if let Some(machine) = self.machines.remove(&place) {
            machine.process.kill();
            self.world.disks.crash(&format!("machine-{place}"), || self.world.random());
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

    /// Whoever claims the newest term.
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
        // Bytes that the encoding cannot make fewer.
        let command: Vec<u8> = (0..bytes / 8).flat_map(|_| self.world.random().to_le_bytes()).collect();
        self.world.spawn(&client, async move {
            // One that is refused or undecided is not counted.
            if to.propose(command).await.is_ok() {
                acknowledged.set(acknowledged.get() + 1);
            }
        });
    }

    /// Proposes to whoever claims to lead, for `time`.
    fn propose_for(&mut self, time: Duration) {
        let until = self.world.clock.now() + time;
        while self.world.clock.now() < until {
            if let Some(claimant) = self.claimant() {
                self.propose(claimant, 1_000);
            }
            self.run_for(PROPOSAL_PAUSE);
        }
    }

    /// Machine 3 misses so many entries of 8 KB; 4 and 5 do not lead.
    fn leave_one_behind(&mut self, entries: u64) {
        self.kill(3);
        for _ in 0..entries {
            if let Some(leader) = self.leader() {
                self.propose(leader, 8_000);
            }
            self.run_for(Duration::from_millis(5));
        }
        self.run_for(Duration::from_millis(500));
    }

    /// All lose power; 4 and 5 lose their disks and stay away. The others start 100 ms apart, with the trouble.
    fn lose_power(&mut self, trouble: Trouble) {
        (1..=5).for_each(|place| self.kill(place));
        self.run_for(Duration::from_secs(1));
        self.world.network.set_trouble(trouble.links);
        for place in 1..=3 {
            self.world.disks.set_slow(&format!("machine-{place}"), trouble.sync * 2 / 3);
            self.start(place);
            self.run_for(Duration::from_millis(100));
        }
    }

    /// Waits for a leader that lasts.
    fn search(&mut self) -> Fared {
        let began = self.world.clock.now();
        let first_term = self.newest_claim();
        let mut newest_term = first_term;
        let mut claims = 0;
        let (mut claim, mut since) = (None, began);
        let (mut leased, mut looks, mut committed_before) = (0, 0, 0);
        while self.world.clock.now() < began + GIVEN_UP {
            let now_claimed = self.claimant().and_then(|node| node.claimed_term().map(|term| (term, node.id())));
            if now_claimed != claim {
                claim = now_claimed;
                claims += u64::from(claim.is_some());
                looks = 0;
            }
            // Nobody can serve before its first commit.
            if looks == 0 {
                since = self.world.clock.now();
                (leased, committed_before) = (0, self.acknowledged.get());
            }
            newest_term = newest_term.max(self.newest_claim());
            let is_leased = self.leader().is_some();
            looks += u64::from(looks > 0 || is_leased);
            leased += u64::from(is_leased);
            let committed = self.acknowledged.get() - committed_before;
            if looks > 0 && self.world.clock.now() >= since + LASTING && committed > 0 {
                let leased_percent = leased * 100 / looks;
                return Fared { searched: Some(since - began), terms: claims, leased_percent, committed };
            }
            self.propose_for(PROPOSAL_PAUSE);
        }
        Fared { searched: None, terms: claims, leased_percent: 0, committed: 0 }
    }
}

fn fares(seed: u64, trouble: Trouble) -> Fared {
    let mut group = Group::formed(seed);
    group.propose_for(Duration::from_secs(1));
    if trouble.entries_behind > 0 {
        group.leave_one_behind(trouble.entries_behind);
    }
    group.lose_power(trouble);
    group.search()
}

/// Plays all seeds, prints a row of the table in `docs/design/leader-elections.md`, and holds each to the bound. A leader
/// without its lease lasts, but serves nobody: it must hold it for `least_leased` percent of its first seconds, on average.
fn check(what: &str, trouble: Trouble, least_leased: u64) {
    check_within(LONGEST_SEARCH, what, trouble, least_leased);
}

/// Plays every seed, some at a time: each has a world of its own, and the order is that of the seeds.
fn play_all(trouble: Trouble) -> Vec<Fared> {
    let seeds: Vec<u64> = SEEDS.collect();
    let share = seeds.len().div_ceil(THREADS);
    std::thread::scope(|scope| {
        let play = |seeds: &[u64]| seeds.iter().map(|seed| fares(*seed, trouble)).collect::<Vec<Fared>>();
        let threads: Vec<_> = seeds.chunks(share).map(|seeds| scope.spawn(move || play(seeds))).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("a seed is played to its end")).collect()
    })
}

/// Like `check`, with another bound.
fn check_within(longest_search: Duration, what: &str, trouble: Trouble, least_leased: u64) {
    let fared = play_all(trouble);
    let mut searches: Vec<Duration> = fared.iter().filter_map(|fared| fared.searched).collect();
    searches.sort_unstable();
    let count = fared.len() as u64;
    let mean = |value: fn(&Fared) -> u64| fared.iter().map(value).sum::<u64>() / count;
    println!(
        "| {what} | {} of {count} | {:.1} | {:.1} | {} | {} | {} |",
        searches.len(),
        searches.get(searches.len() / 2).copied().unwrap_or_default().as_secs_f64(),
        searches.last().copied().unwrap_or_default().as_secs_f64(),
        fared.iter().map(|fared| fared.terms).max().unwrap_or_default(),
        mean(|fared| fared.leased_percent),
        mean(|fared| fared.committed),
    );
    let late = |fared: &&Fared| fared.searched.is_none_or(|searched| searched > longest_search);
    let late: Vec<&Fared> = fared.iter().filter(late).collect();
    assert!(
        late.is_empty(),
        "{what}: {} of {count} found no lasting leader in {longest_search:?}: {late:?}",
        late.len()
    );
    let leased = mean(|fared| fared.leased_percent);
    assert!(leased >= least_leased, "{what}: leaders held the lease for {leased} % of the time");
}

fn syncs_of(milliseconds: u64) -> Trouble {
    Trouble { sync: Duration::from_millis(milliseconds), ..Trouble::default() }
}

fn losing(per_mille: u64) -> Trouble {
    Trouble { links: LinkTrouble { lost_per_mille: per_mille, ..LinkTrouble::default() }, ..Trouble::default() }
}

#[test]
fn a_leader_lasts_where_nothing_is_slow() {
    check("nothing slow", Trouble::default(), 99);
}

#[test]
fn a_leader_lasts_on_disks_that_take_150_ms_to_sync() {
    check("syncs of 150 ms", syncs_of(150), 95);
}

#[test]
fn a_leader_lasts_on_disks_that_take_250_ms_to_sync() {
    check("syncs of 250 ms", syncs_of(250), 95);
}

#[test]
fn a_leader_lasts_on_disks_that_take_350_ms_to_sync() {
    check("syncs of 350 ms", syncs_of(350), 95);
}

#[test]
fn a_leader_lasts_on_disks_that_take_600_ms_to_sync() {
    check("syncs of 600 ms", syncs_of(600), 95);
}

#[test]
fn a_leader_lasts_on_links_that_lose_a_twentieth() {
    check("links lose 0.05", losing(50), 90);
}

#[test]
fn a_leader_lasts_on_links_that_lose_a_fifth() {
    check("links lose 0.2", losing(200), 40);
}

/// One voter lacks so many entries of 8 KB, and links carry 250 KB/s: 30 entries a second.
fn behind(entries: u64) -> Trouble {
    let links = LinkTrouble { bytes_per_second: 250_000, ..LinkTrouble::default() };
    Trouble { links, entries_behind: entries, ..Trouble::default() }
}

#[test]
fn a_leader_lasts_while_one_voter_is_sent_2_mb_at_250_kb_a_second() {
    check("one 2 MB behind, 250 KB/s", behind(250), 95);
}

/// Nothing can be committed before all has been carried, which takes 33 s.
#[test]
fn a_leader_lasts_while_one_voter_is_sent_8_mb_at_250_kb_a_second() {
    check_within(Duration::from_secs(38), "one 8 MB behind, 250 KB/s", behind(1_000), 95);
}

#[test]
fn a_leader_lasts_where_connections_take_250_to_400_ms_to_open() {
    let links = LinkTrouble {
        connect_delay: Duration::from_millis(250),
        connect_jitter: Duration::from_millis(150),
        ..LinkTrouble::default()
    };
    check("connects of 250 to 400 ms", Trouble { links, ..Trouble::default() }, 95);
}

#[test]
fn a_leader_lasts_where_disks_are_slow_and_links_lose_frames() {
    let links = LinkTrouble {
        lost_per_mille: 100,
        connect_delay: Duration::from_millis(100),
        connect_jitter: Duration::from_millis(200),
        ..LinkTrouble::default()
    };
    check("syncs of 250 ms, links lose 0.1, connects of 100 to 300 ms", Trouble { links, ..syncs_of(250) }, 40);
}

/// What ten calm seconds of five voters cost: the whole group's frames, bytes between zones and syncs.
#[test]
fn a_calm_group_sends_and_syncs_no_more_than_its_appends() {
    let mut group = Group::formed(1);
    group.run_for(Duration::from_secs(2));
    let ((frames_before, bytes_before), syncs_before) =
        (group.world.network.sent_between_zones(), group.world.disks.syncs());
    group.propose_for(Duration::from_secs(10));
    let ((frames, bytes), syncs) = (group.world.network.sent_between_zones(), group.world.disks.syncs());
    let (frames, bytes, syncs) = (frames - frames_before, bytes - bytes_before, syncs - syncs_before);
    println!("calm: {frames} frames, {bytes} bytes, {syncs} syncs");
    assert!(frames <= CALM_FRAMES, "{frames} frames");
    assert!(bytes <= CALM_BYTES, "{bytes} bytes");
    assert!(syncs <= CALM_SYNCS, "{syncs} syncs");
}
