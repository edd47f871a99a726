//! The layouts of feature level two match golden files of its first released build: log entries of every command, the
//! resulting snapshot, messages between processes, and log file records. A changed layout needs a new feature level.
//!
//! The golden files `pictures/level_two.*` were written by this test at commit d450a68 with
//! `PICTURES=FOLDER cargo test --release -p saddlerelay-control --test level_two`. They must not be changed.

mod common;

use common::golden_files::{check_golden_files, framed};
use saddlerelay_control::machine::ControlMachine;
use saddlerelay_replication::StateMachine;
use saddlerelay_replication::log::{EntryPayload, LogEntry};
use saddlerelay_replication::membership::{Member, Membership};
use saddlerelay_replication::message::{Header, ReplicaReply, ReplicaRequest, SnapshotPart};
use saddlerelay_replication::wal::{self, WalRecord};
use saddlerelay_types::credentials::SecretDigest;
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::gateway::{
    EnginePool, FollowReply, FollowRequest, GatewayCommand, GatewayReply, GatewayRequest, OrderSubject, RelayClock,
    RelayData, StoreRecord, TrialRequest, WantedEngines,
};
use saddlerelay_types::identity::{Incarnation, ReplicaId, TenantId, Zone};
use saddlerelay_types::instance::{
    InstanceHeartbeat, InstanceId, InstanceRecord, InstanceReport, InstanceState, InstanceUpdate, LoadedModel,
    ReportBatch,
};
use saddlerelay_types::job::{
    ItemEnd, ItemId, ItemOutcome, JobId, JobItem, JobSubmission, ResultPage, ScoringRequest, TextPart,
};
use saddlerelay_types::membership::RelayDescription;
use saddlerelay_types::protocol::{
    Command, ControlReply, ControlRequest, LogCommand, MembershipCommand, Query, RenewRequest, RolloutCommand,
};
use saddlerelay_types::routing::{
    BatchSettings, ModelHosting, RequestLimits, Route, RouteKind, RoutingDocument, RoutingError, ScalingLimits,
    Service, WeightedTarget,
};
use saddlerelay_types::routing_update::{EncodedRoutingUpdate, RoutingUpdate};
use saddlerelay_types::suspicion::{
    EngineLoss, HeldTrial, SuspicionList, TrialId, TrialLease, TrialResult, WorkEvidence,
};
use saddlerelay_types::tenancy::{Caller, TenantAccess};
use saddlerelay_types::usage::{RelayUsage, UsageDelta, UsageWindow};
use saddlerelay_types::work::WorkDigest;
use std::collections::BTreeMap;
use std::net::SocketAddr;

const ENTRIES: usize = 700;
const ENGINES: u64 = 9;

fn address(number: u64) -> SocketAddr {
    ([10, 0, 0, number as u8], 8_000).into()
}

fn route(random: &mut fastrand::Rng, number: u32) -> Route {
    let kinds = [RouteKind::Idempotent, RouteKind::NonIdempotent, RouteKind::Streaming, RouteKind::Rollout];
    Route {
        name: format!("route-{number}"),
        host: "host.example".to_string(),
        path_prefix: format!("/{number}/"),
        kind: kinds[random.usize(..kinds.len())],
        timeout_ms: random.u64(1..10_000),
        objective_ms: random.u64(..1_000),
        priority: random.u32(..4),
        targets: vec![WeightedTarget { service: "web".to_string(), weight: random.u64(1..9) }],
        max_attempts: random.u32(1..4),
        resumable: random.bool(),
        public: random.bool(),
        batch: BatchSettings { give_up_after_ms: 1, due_after_ms: 2, single_version: random.bool() },
    }
}

fn document(random: &mut fastrand::Rng, version: u64) -> RoutingDocument {
    let hosting = ModelHosting { slots: 4, token_capacity: 9, tokens_per_event: 3, models: vec!["notes".to_string()] };
    let scaling = || ScalingLimits {
        fewest: 1,
        most: 9,
        start_ms: 800,
        withdrawable_price: 0.5,
        prices_by_zone: BTreeMap::from([("north".to_string(), 1.5)]),
    };
    let service = |name: &str, hosting: Option<ModelHosting>| Service {
        name: name.to_string(),
        health_path: "/health".to_string(),
        max_connections: 10,
        scaling: hosting.is_some().then(scaling),
        hosting,
    };
    let keys = vec![SecretDigest::of(b"key")];
    let tenant = TenantAccess { name: TenantId::new("clinic"), keys, priority: Some(1) };
    let tenants = random.bool().then(|| vec![tenant]);
    let limits = RequestLimits { max_header_bytes: 1, max_body_bytes: 2, header_timeout_ms: 3, idle_timeout_ms: 4 };
    let routes = (0..random.u32(1..6)).map(|number| route(random, number)).collect();
    let services = vec![service("web", None), service("llm", Some(hosting))];
    RoutingDocument { version, routes, services, limits, tenants, source: format!("document {version}").into_bytes() }
}

fn instance(random: &mut fastrand::Rng, number: u64) -> InstanceId {
    let name = format!("engine-{number}-{}", random.u8(..3));
    if random.bool() { InstanceId::without_start_time(name) } else { InstanceId::started(name, random.u64(..4)) }
}

fn report(random: &mut fastrand::Rng) -> InstanceReport {
    let number = random.u64(..ENGINES);
    // Some reports have the address of another engine.
    let host = if random.u8(..8) == 0 { random.u64(..ENGINES) } else { number };
    InstanceReport {
        id: instance(random, number),
        service: ["web", "llm", "unnamed"][random.usize(..3)].to_string(),
        address: address(host),
        zone: ["north", "south"][random.usize(..2)].to_string(),
        slots: random.u32(1..9),
        leaving: random.u8(..4) == 0,
        models: vec![LoadedModel { model: "notes".to_string(), version: random.u64(..5) }],
        sequence: random.u64(..1_000),
    }
}

fn job(random: &mut fastrand::Rng, number: u64) -> JobSubmission {
    let item = |item: u64| JobItem {
        id: ItemId(format!("item-{}", item % 3)),
        path: "/rollouts/x".to_string(),
        headers: vec![("tone".to_string(), "calm".to_string())],
        body: format!("body {}", item % 4).into_bytes(),
        tokens: 7,
        group: format!("group-{item}"),
        scorer: item.is_multiple_of(2).then(|| ScoringRequest {
            id: format!("score-{item}"),
            host: "scores.example".to_string(),
            path: "/score".to_string(),
            body: b"score".to_vec(),
        }),
    };
    JobSubmission {
        id: JobId(format!("job-{number}")),
        host: "host.example".to_string(),
        path: "/rollouts/x".to_string(),
        model: Some("notes".to_string()),
        step: number,
        minimum_version: number / 2,
        wanted_groups: 2,
        items: (0..random.u64(1..5)).map(|offset| item(number + offset)).collect(),
        owner: number.is_multiple_of(2).then(|| TenantId::new("clinic")),
    }
}

fn part(random: &mut fastrand::Rng) -> TextPart {
    let length = if random.u8(..40) == 0 { 3_000 } else { random.usize(..40) };
    TextPart {
        item: random.u32(..4),
        offset: 0,
        data: (0..length).map(|offset| b'a' + (offset % 26) as u8).collect(),
        events: 3,
        last_event: Some(2),
        versions: vec![1, 2],
        whole: random.bool(),
    }
}

fn outcome(random: &mut fastrand::Rng) -> ItemOutcome {
    let end = if random.u8(..5) == 0 { ItemEnd::Aborted } else { ItemEnd::Completed };
    ItemOutcome { end, remaining_text: part(random), score: random.bool().then(|| "0.5".to_string()) }
}

fn engine_pool() -> EnginePool {
    EnginePool { service: "web".to_string(), zone: "north".to_string() }
}

fn subjects(random: &mut fastrand::Rng) -> Vec<OrderSubject> {
    let engine = OrderSubject::engine(&report(random).id);
    vec![engine, OrderSubject::UsageReports, OrderSubject::EngineCount(engine_pool())]
}

fn usage(random: &mut fastrand::Rng, number: u64) -> RelayUsage {
    let counts = BTreeMap::from([(TenantId::new("clinic"), random.u64(..9))]);
    let delta = UsageDelta { sequence: number, counts: BTreeMap::from([(UsageWindow(number / 10), counts)]) };
    RelayUsage { relay: Incarnation(number % 3), delta }
}

fn work(random: &mut fastrand::Rng) -> WorkDigest {
    WorkDigest::of_post_request(None, "host", "/rollouts", &[random.u8(..4)])
}

fn trial(random: &mut fastrand::Rng) -> TrialId {
    TrialId { holder: Incarnation(random.u64(..3)), number: random.u64(..4) }
}

fn held_trial(random: &mut fastrand::Rng) -> HeldTrial {
    HeldTrial { work: work(random), id: trial(random) }
}

fn evidence(random: &mut fastrand::Rng) -> WorkEvidence {
    let loss = EngineLoss { work: work(random), instance: report(random).id };
    WorkEvidence { losses: vec![loss], served: if random.u8(..4) == 0 { vec![work(random)] } else { Vec::new() } }
}

fn gateway_command(random: &mut fastrand::Rng, number: u64) -> GatewayCommand {
    let any_job = |random: &mut fastrand::Rng| JobId(format!("job-{}", random.u64(..number / 12 + 1)));
    let store = |random: &mut fastrand::Rng| format!("store-{}", random.u8(..4));
    let holder = ReplicaId(random.u64(1..4));
    match random.u8(..32) {
        0..2 => {
            let version = number / 7 + random.u64(..3);
            GatewayCommand::PutRouting(document(random, version))
        }
        2..8 => GatewayCommand::ReportInstances(vec![report(random), report(random)]),
        8 => GatewayCommand::RemoveInstance(report(random).id),
        9 => GatewayCommand::PublishVersion(LoadedModel { model: "notes".to_string(), version: random.u64(..50) }),
        10..12 => GatewayCommand::SubmitJob { job: job(random, number / 12), keep_ms: 4_000 },
        12 => GatewayCommand::SaveTexts { job: any_job(random), parts: vec![part(random), part(random)] },
        13..15 => GatewayCommand::ListResults { job: any_job(random), outcomes: vec![outcome(random)] },
        15 => GatewayCommand::EndJob(any_job(random)),
        16 => {
            let name = store(random);
            let record = StoreRecord { name, replica: holder, address: address(100), zone: "north".to_string() };
            GatewayCommand::RegisterStore(record)
        }
        17 if random.bool() => GatewayCommand::RetireStore(store(random)),
        17 => GatewayCommand::StoreRetired(store(random)),
        18..20 => GatewayCommand::RecordOrderIntents { holder, subjects: subjects(random) },
        20..22 => GatewayCommand::RecordSilence { silent: vec![report(random).id], resumed: vec![report(random).id] },
        22..24 => GatewayCommand::AddUsage(vec![usage(random, number)]),
        24 => GatewayCommand::CloseUsageWindows(UsageWindow(number / 20)),
        25 => GatewayCommand::UsageReported(UsageWindow(number / 40)),
        26 => GatewayCommand::SetWantedEngines(vec![WantedEngines { pool: engine_pool(), count: random.u32(..9) }]),
        27 => GatewayCommand::RecordEvidence(evidence(random)),
        28 => GatewayCommand::BeginTrial(TrialRequest { work: work(random), id: trial(random), limit_ms: 900 }),
        29 => GatewayCommand::RenewTrials(vec![held_trial(random)]),
        30 if random.bool() => GatewayCommand::EndTrial { work: work(random), id: trial(random) },
        30 => GatewayCommand::ExpireTrials(vec![TrialLease { held: held_trial(random), renewals: random.u32(..3) }]),
        _ if random.bool() => GatewayCommand::ExpireSuspicions,
        _ => GatewayCommand::ReleaseWork(work(random)),
    }
}

fn command(random: &mut fastrand::Rng, number: u64) -> Command {
    let relay = RelayDescription {
        name: format!("relay-{}", number % 5),
        incarnation: Incarnation(number % 5),
        zone: Zone::new("north"),
        address: address(200),
    };
    match random.u8(..20) {
        0 => Command::Membership(MembershipCommand::RelayJoined(relay)),
        1 => Command::Membership(MembershipCommand::IssueFence),
        2 => Command::Rollout(RolloutCommand::OpenTrainer {
            tenant: TenantId::new("clinic"),
            incarnation: Incarnation(number),
        }),
        _ => Command::Gateway(gateway_command(random, number)),
    }
}

fn messages(random: &mut fastrand::Rng, state: &ControlMachine) -> Vec<Vec<u8>> {
    let applied_document = state.state().routing.current().expect("a document was applied").clone();
    let update = EncodedRoutingUpdate::encode(&RoutingUpdate::between(None, &applied_document));
    let record = InstanceRecord { report: report(random), state: InstanceState::Ready, silent: true, revision: 9 };
    let instance_update = InstanceUpdate { revision: 5, whole: true, records: vec![record] };
    let gateway = |request| bitcode::encode(&ControlRequest::Gateway(request));
    let reply = |reply| bitcode::encode(&ControlReply::Gateway(reply));
    let job_id = JobId("job-1".to_string());
    let caller = Caller::Tenant(TenantId::new("clinic"));
    let relay = RelayDescription {
        name: "relay".to_string(),
        incarnation: Incarnation(1),
        zone: Zone::new("north"),
        address: address(200),
    };
    let heartbeat = InstanceHeartbeat { id: instance(random, 1), sequence: 3 };
    let reports = ReportBatch { changed: vec![report(random)], heartbeats: vec![heartbeat] };
    let clock = RelayClock { relay: "relay".to_string(), unix_ms: 77 };
    let relay_data = RelayData { clocks: vec![clock], usage: vec![usage(random, 4)] };
    let renewal = RenewRequest {
        relay,
        configuration: Default::default(),
        engines: 3,
        targets: Vec::new(),
        suspicion_revision: 2,
    };
    vec![
        bitcode::encode(&ControlRequest::Replication(vec![1, 2, 3])),
        bitcode::encode(&ControlRequest::Renew(renewal)),
        bitcode::encode(&ControlRequest::Execute(Command::Membership(MembershipCommand::IssueFence))),
        bitcode::encode(&ControlRequest::Query(Query::Group)),
        bitcode::encode(&ControlRequest::Initialize),
        gateway(GatewayRequest::Follow(FollowRequest {
            relay: "relay".to_string(),
            zone: "north".to_string(),
            routing_version: Some(3),
            instance_revision: 4,
            at_follower: true,
            incarnation: Incarnation(9),
            unix_ms: 88,
            usage: Some(usage(random, 5).delta),
            suspicion_revision: 6,
        })),
        gateway(GatewayRequest::ReportInstance(report(random))),
        gateway(GatewayRequest::ReportInstances(reports)),
        gateway(GatewayRequest::Confirm(relay_data)),
        gateway(GatewayRequest::RemoveInstance(instance(random, 2))),
        gateway(GatewayRequest::PutRouting(applied_document)),
        gateway(GatewayRequest::ReadRouting),
        gateway(GatewayRequest::PublishVersion(LoadedModel { model: "notes".to_string(), version: 3 })),
        gateway(GatewayRequest::SubmitJob(job(random, 1))),
        gateway(GatewayRequest::ReadResults { job: job_id.clone(), after: 1, wait_ms: 2, caller: caller.clone() }),
        gateway(GatewayRequest::ReadIndex),
        gateway(GatewayRequest::ReadResultsAt {
            position: 9,
            job: job_id.clone(),
            after: 1,
            wait_ms: 2,
            caller: caller.clone(),
        }),
        gateway(GatewayRequest::ReadBody {
            job: job_id.clone(),
            item: ItemId("item".to_string()),
            caller: caller.clone(),
        }),
        gateway(GatewayRequest::EndJob { job: job_id, caller }),
        gateway(GatewayRequest::RetireStore("store".to_string())),
        gateway(GatewayRequest::ReadRetirement("store".to_string())),
        gateway(GatewayRequest::ReadDuties),
        gateway(GatewayRequest::ReportEvidence(evidence(random))),
        gateway(GatewayRequest::RenewTrials(vec![held_trial(random)])),
        gateway(GatewayRequest::EndTrial { work: work(random), id: trial(random) }),
        gateway(GatewayRequest::ReadSuspicions),
        gateway(GatewayRequest::ReleaseWork(work(random))),
        reply(GatewayReply::Followed(FollowReply {
            lease_ms: 1_800,
            routing: Some(update),
            instances: instance_update,
            follower: Some(address(2)),
            retry_pause_ms: 7,
            replicas: vec![address(1)],
            nearest_replica: Some(address(1)),
            group_unix_ms: Some(99),
            committed_usage_sequence: 5,
            suspicions: Some(SuspicionList { revision: 3, suspicions: Vec::new() }),
        })),
        reply(GatewayReply::Done),
        reply(GatewayReply::ReportsMissing(vec![instance(random, 3)])),
        reply(GatewayReply::InvalidRouting(RoutingError::SameTenant(TenantId::new("clinic")))),
        reply(GatewayReply::Routing(Some(vec![1, 2]))),
        reply(GatewayReply::Position(8)),
        reply(GatewayReply::Confirmed { position: 8, group_unix_ms: Some(9), relays: 4 }),
        reply(GatewayReply::Results(ResultPage { total: 4, next: 0, results: Vec::new() })),
        reply(GatewayReply::Body(vec![3])),
        reply(GatewayReply::NotFound),
        reply(GatewayReply::TooFew),
        reply(GatewayReply::Retirement { completed: true }),
        reply(GatewayReply::Trial(TrialResult::Taken)),
        reply(GatewayReply::TrialsLost(vec![held_trial(random)])),
        reply(GatewayReply::Unavailable),
        bitcode::encode(&ControlReply::NotLeader { leader: Some(address(2)), peers: vec![address(3)] }),
        bitcode::encode(&ControlReply::Undecided),
        bitcode::encode(&ControlReply::Refused("reason".to_string())),
    ]
}

fn header() -> Header {
    Header { group: 1, from: ReplicaId(2), to: ReplicaId(3), term: 4 }
}

fn log_entries() -> Vec<LogEntry> {
    let member = |number| Member { id: ReplicaId(number), address: address(number), voter: number > 1 };
    let members = Membership { members: vec![member(1), member(2)] };
    let payloads = [EntryPayload::Empty, EntryPayload::Command(vec![1, 2, 3]), EntryPayload::Membership(members)];
    let entry = |(offset, payload)| LogEntry { index: 7 + offset as u64, term: 3, payload };
    payloads.into_iter().enumerate().map(entry).collect()
}

/// Requests and replies of the replication protocol, and log file records.
fn replication_data() -> Vec<Vec<u8>> {
    let part = SnapshotPart { index: 5, total: 9, offset: 0, bytes: vec![1, 2] };
    let requests = [
        ReplicaRequest::Vote { header: header(), pre_vote: true, transfer: false, last_index: 5, last_term: 6 },
        ReplicaRequest::Append {
            header: header(),
            previous_index: 6,
            previous_term: 3,
            entries: log_entries(),
            commit: 5,
        },
        ReplicaRequest::SnapshotPart { header: header(), part },
        ReplicaRequest::ReadSegment { header: header(), number: 8 },
        ReplicaRequest::TimeoutNow { header: header() },
        ReplicaRequest::Join { id: ReplicaId(9), address: address(9) },
        ReplicaRequest::Heartbeat { header: header() },
        ReplicaRequest::Announce { group: 1, leader: address(1), members: vec![address(2)] },
    ];
    let replies = [
        ReplicaReply::Vote { term: 4, granted: true },
        ReplicaReply::Append { term: 4, accepted: true, index: 9 },
        ReplicaReply::SnapshotPart { term: 4, next_offset: 2 },
        ReplicaReply::FetchingSegments { term: 4 },
        ReplicaReply::Segment(vec![7]),
        ReplicaReply::Accepted,
        ReplicaReply::Members(vec![address(1)]),
        ReplicaReply::NotNeeded { retry_after_ms: 150, members: vec![address(1)] },
        ReplicaReply::Heartbeat { term: 4, acknowledged: true },
        ReplicaReply::Rejected,
    ];
    let hard_state = WalRecord::HardState { term: 4, voted_for: Some(ReplicaId(2)) };
    let records = std::iter::once(hard_state).chain(log_entries().into_iter().map(WalRecord::Entry));
    let mut written: Vec<Vec<u8>> = requests.iter().map(bitcode::encode).collect();
    written.extend(replies.iter().map(bitcode::encode));
    written.extend(records.map(|record| wal::encode(&record)));
    written
}

/// The data written by this build, by file name extension of the golden files.
fn written_by_this_build() -> BTreeMap<&'static str, Vec<u8>> {
    let mut random = fastrand::Rng::with_seed(23);
    let mut machine = ControlMachine::default();
    machine.enter_level(FeatureLevel::Two);
    let mut entries = Vec::new();
    for number in 0..ENTRIES as u64 {
        let time = 1_764_720_000_000 + number * 10;
        let entry = bitcode::encode(&LogCommand { time, command: command(&mut random, number) });
        machine.apply(&entry);
        entries.push(entry);
    }
    let messages = messages(&mut random, &machine);
    BTreeMap::from([
        ("log", framed(&entries)),
        ("state", machine.snapshot()),
        ("messages", framed(&messages)),
        ("peers", framed(&replication_data())),
    ])
}

#[test]
fn encodings_match_the_first_released_build() {
    check_golden_files("level_two", written_by_this_build());
}
