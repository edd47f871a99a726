//! Gateway commands: routing documents, instances, weight versions, orders, batch jobs and store machines.

mod common;

use common::apply;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use saddlerelay_control::state::ControlState;
use saddlerelay_control::state::stores::Retirement;
use saddlerelay_control::state::text_archive::LoadedTexts;
use saddlerelay_types::gateway::{GatewayCommand, GatewayOutcome, OrderSubject, StoreRecord};
use saddlerelay_types::identity::ReplicaId;
use saddlerelay_types::instance::{InstanceId, InstanceReport, InstanceState, LoadedModel};
use saddlerelay_types::job::{ItemEnd, ItemId, ItemOutcome, ItemResult, JobId, JobItem, JobSubmission, TextPart};
use saddlerelay_types::protocol::{Command, CommandOutcome};
use saddlerelay_types::routing::{
    BatchSettings, RequestLimits, Route, RouteKind, RoutingDocument, RoutingError, Service, WeightedTarget,
};

fn commit(state: &mut ControlState, command: GatewayCommand) -> GatewayOutcome {
    match apply(state, Command::Gateway(command)) {
        CommandOutcome::Gateway(outcome) => outcome,
        other => panic!("unexpected outcome of a gateway command: {other:?}"),
    }
}

fn route(host: &str, prefix: &str, service: &str) -> Route {
    Route {
        name: format!("{host}{prefix}"),
        host: host.to_string(),
        path_prefix: prefix.to_string(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        objective_ms: 100,
        priority: 1,
        targets: vec![WeightedTarget { service: service.to_string(), weight: 1 }],
        max_attempts: 2,
        resumable: false,
        public: false,
        batch: BatchSettings::default(),
    }
}

fn document(version: u64, routes: Vec<Route>) -> RoutingDocument {
    let service = Service {
        name: "web".to_string(),
        health_path: "/health".to_string(),
        max_connections: 10,
        hosting: None,
        scaling: None,
    };
    let limits = RequestLimits {
        max_header_bytes: 1_000,
        max_body_bytes: 1_000,
        header_timeout_ms: 1_000,
        idle_timeout_ms: 1_000,
    };
    RoutingDocument {
        version,
        routes,
        services: vec![service],
        limits,
        tenants: None,
        source: version.to_string().into_bytes(),
    }
}

#[test]
fn only_a_higher_version_replaces_the_routing_document() {
    let mut state = ControlState::default();
    commit(&mut state, GatewayCommand::PutRouting(document(5, vec![route("a", "/x/", "web")])));
    commit(&mut state, GatewayCommand::PutRouting(document(3, vec![])));
    commit(&mut state, GatewayCommand::PutRouting(document(5, vec![])));
    let current = state.routing.current().expect("a document was applied");
    assert_eq!((current.version, current.routes.len()), (5, 1));
    commit(&mut state, GatewayCommand::PutRouting(document(9, vec![])));
    assert_eq!(state.routing.version(), Some(9));
}

#[test]
fn invalid_routing_documents_are_rejected_with_a_reason() {
    let error = |routes| document(1, routes).error();
    assert_eq!(error(vec![route("a", "/x/", "web")]), None);
    assert_eq!(error(vec![route("a", "/x/", "none")]), Some(RoutingError::UnknownService("none".to_string())));
    let twice = vec![route("a", "/x/", "web"), route("a", "/x/", "web")];
    assert_eq!(error(twice), Some(RoutingError::DuplicateHostAndPrefix("a/x/".to_string())));
    let mut zero_weight = route("a", "/x/", "web");
    zero_weight.targets[0].weight = 0;
    assert_eq!(error(vec![zero_weight]), Some(RoutingError::NoWeight("a/x/".to_string())));
    let mut zero_timeout = route("a", "/x/", "web");
    zero_timeout.timeout_ms = 0;
    assert_eq!(error(vec![zero_timeout]), Some(RoutingError::NoTimeout("a/x/".to_string())));
    assert_eq!(error(vec![route("a", "/x", "web")]), Some(RoutingError::BadPrefix("a/x".to_string())));
}

#[test]
fn longest_matching_prefix_of_the_host_is_selected() {
    let routes = vec![route("a", "/x/", "web"), route("a", "/x/y/", "web"), route("b", "/x/y/z/", "web")];
    let document = document(1, routes);
    let name = |host, path| document.find(host, path).map(|route| route.name.as_str());
    assert_eq!(name("a", "/x/y/z/1"), Some("a/x/y/"));
    assert_eq!(name("A:8080", "/x/1"), Some("a/x/"));
    assert_eq!(name("a", "/xy"), None);
    assert_eq!(name("c", "/x/1"), None);
}

fn report(id: &str, port: u16, sequence: u64) -> InstanceReport {
    InstanceReport {
        id: InstanceId::without_start_time(id),
        service: "web".to_string(),
        address: ([10, 0, 0, 1], port).into(),
        zone: "north".to_string(),
        slots: 4,
        leaving: false,
        models: Vec::new(),
        sequence,
    }
}

fn instance_state(state: &ControlState, id: &str) -> Option<InstanceState> {
    state.instances.get(&InstanceId::without_start_time(id)).map(|record| record.state)
}

#[test]
fn instance_state_never_goes_back() {
    let mut state = ControlState::default();
    commit(&mut state, GatewayCommand::PutRouting(document(1, vec![])));
    commit(&mut state, GatewayCommand::ReportInstances(vec![report("a", 1, 1)]));
    commit(&mut state, GatewayCommand::ReportInstances(vec![InstanceReport { leaving: true, ..report("a", 1, 2) }]));
    // A delayed report from before the instance was leaving.
    commit(&mut state, GatewayCommand::ReportInstances(vec![report("a", 1, 1)]));
    assert_eq!(instance_state(&state, "a"), Some(InstanceState::Leaving));
    commit(&mut state, GatewayCommand::RemoveInstance(InstanceId::without_start_time("a")));
    commit(&mut state, GatewayCommand::ReportInstances(vec![report("a", 1, 9)]));
    assert_eq!(instance_state(&state, "a"), Some(InstanceState::Gone));
}

#[test]
fn deregistered_instance_that_never_reported_is_not_registered() {
    let mut state = ControlState::default();
    commit(&mut state, GatewayCommand::PutRouting(document(1, vec![])));
    commit(&mut state, GatewayCommand::RemoveInstance(InstanceId::without_start_time("a")));
    commit(&mut state, GatewayCommand::ReportInstances(vec![report("a", 1, 1)]));
    assert_eq!(instance_state(&state, "a"), None);
}

#[test]
fn new_instance_replaces_the_instance_at_its_address() {
    let mut state = ControlState::default();
    commit(&mut state, GatewayCommand::PutRouting(document(1, vec![])));
    commit(&mut state, GatewayCommand::ReportInstances(vec![report("old", 1, 1)]));
    commit(&mut state, GatewayCommand::ReportInstances(vec![report("new", 1, 1)]));
    assert_eq!(instance_state(&state, "old"), Some(InstanceState::Gone));
    assert_eq!(instance_state(&state, "new"), Some(InstanceState::Ready));
    let changed: Vec<_> = state.instances.changed_after(1).map(|record| record.report.id.name.clone()).collect();
    assert_eq!(changed, ["old", "new"]);
    assert_eq!(state.instances.changed_after(0).count(), 1, "instances that are gone are left out of a full update");
    assert!(state.instances.changed_after(state.instances.revision()).next().is_none());
}

#[test]
fn published_weight_version_never_decreases() {
    let mut state = ControlState::default();
    let model = |version| LoadedModel { model: "m".to_string(), version };
    commit(&mut state, GatewayCommand::PublishVersion(model(3)));
    commit(&mut state, GatewayCommand::PublishVersion(model(2)));
    assert_eq!(state.weights.published().get("m"), Some(&3));
}

#[test]
fn fencing_token_increases_with_each_order_intent() {
    let mut state = ControlState::default();
    let subjects = || vec![OrderSubject::UsageReports];
    let intent = |id| GatewayCommand::RecordOrderIntents { holder: ReplicaId(id), subjects: subjects() };
    let mut record_intent = |id| match commit(&mut state, intent(id)) {
        GatewayOutcome::Orders { fence, holder_changed } => (fence.0, holder_changed),
        other => panic!("unexpected outcome of an order intent: {other:?}"),
    };
    assert_eq!(record_intent(1), (1, false));
    assert_eq!(record_intent(1), (2, false));
    assert_eq!(record_intent(2), (3, true));
    assert_eq!(record_intent(1), (4, true));
}

fn job(id: &str, items: u32) -> JobSubmission {
    let item = |index| JobItem {
        id: ItemId(format!("item-{index}")),
        path: format!("/x/{index}"),
        headers: Vec::new(),
        body: vec![index as u8; 4],
        tokens: 10,
        group: "g".to_string(),
        scorer: None,
    };
    JobSubmission {
        id: JobId(id.to_string()),
        host: "a".to_string(),
        path: format!("/x/{id}"),
        owner: None,
        model: Some("m".to_string()),
        step: 0,
        minimum_version: 1,
        wanted_groups: 1,
        items: (0..items).map(item).collect(),
    }
}

fn submit(state: &mut ControlState, id: &str, items: u32) {
    commit(state, GatewayCommand::SubmitJob { job: job(id, items), keep_ms: 1_000 });
}

fn part(item: u32, offset: u64, data: &str) -> TextPart {
    let events = (offset as usize + data.len()) as u32;
    TextPart {
        item,
        offset,
        data: data.into(),
        events,
        last_event: Some(events.into()),
        versions: vec![1],
        whole: false,
    }
}

fn list(state: &mut ControlState, id: &str, remaining_text: TextPart) -> GatewayOutcome {
    let outcomes = vec![ItemOutcome { end: ItemEnd::Completed, remaining_text, score: None }];
    commit(state, GatewayCommand::ListResults { job: JobId(id.to_string()), outcomes })
}

fn results(state: &ControlState, id: &str) -> Vec<(u32, String)> {
    let page = state.jobs.page(&JobId(id.to_string()), 0, &LoadedTexts::default()).expect("the job exists");
    let text = |result: &ItemResult| String::from_utf8(result.text.clone()).expect("valid UTF-8");
    page.expect("the texts are in memory").results.iter().map(|(_, result)| (result.item, text(result))).collect()
}

#[test]
fn item_is_listed_once_and_not_after_the_job_has_ended() {
    let mut state = ControlState::default();
    submit(&mut state, "j", 3);
    list(&mut state, "j", part(1, 0, "one"));
    list(&mut state, "j", part(1, 0, "other"));
    list(&mut state, "j", part(0, 0, "zero"));
    commit(&mut state, GatewayCommand::EndJob(JobId("j".to_string())));
    assert_eq!(list(&mut state, "j", part(2, 0, "late")), GatewayOutcome::NotFound);
    assert_eq!(results(&state, "j"), [(1, "one".to_string()), (0, "zero".to_string())]);
}

#[test]
fn repeated_submission_does_not_change_the_job() {
    let mut state = ControlState::default();
    submit(&mut state, "j", 2);
    list(&mut state, "j", part(0, 0, "zero"));
    commit(&mut state, GatewayCommand::EndJob(JobId("j".to_string())));
    submit(&mut state, "j", 2);
    let job = state.jobs.get(&JobId("j".to_string())).expect("the job exists");
    assert!(job.is_ended());
    assert_eq!(results(&state, "j").len(), 1);
}

#[test]
fn item_body_is_readable_until_the_item_is_listed_or_the_job_has_ended() {
    let mut state = ControlState::default();
    submit(&mut state, "j", 2);
    let body = |state: &ControlState, item: &str| {
        state.jobs.body(&JobId("j".to_string()), &ItemId(item.to_string())).map(<[u8]>::to_vec)
    };
    assert_eq!(body(&state, "item-1"), Some(vec![1; 4]));
    list(&mut state, "j", part(1, 0, "one"));
    assert_eq!(body(&state, "item-1"), None);
    assert_eq!(body(&state, "item-0"), Some(vec![0; 4]));
    commit(&mut state, GatewayCommand::EndJob(JobId("j".to_string())));
    assert_eq!(body(&state, "item-0"), None);
}

#[test]
fn text_parts_append_to_partial_texts_and_offset_zero_replaces_them() {
    let mut state = ControlState::default();
    submit(&mut state, "j", 3);
    let append = |state: &mut ControlState, part: TextPart| {
        commit(state, GatewayCommand::SaveTexts { job: JobId("j".to_string()), parts: vec![part] })
    };
    append(&mut state, part(0, 0, "ab"));
    append(&mut state, part(0, 2, "cd"));
    // A duplicate part, as after a lost reply.
    append(&mut state, part(0, 2, "cd"));
    assert_eq!(list(&mut state, "j", part(0, 4, "e")), GatewayOutcome::Done);
    // A part at offset 0 replaces the partial text.
    append(&mut state, part(1, 0, "xyz"));
    append(&mut state, part(1, 0, "q"));
    assert_eq!(list(&mut state, "j", part(1, 1, "r")), GatewayOutcome::Done);
    // An item with a missing earlier part is not listed.
    assert_eq!(list(&mut state, "j", part(2, 5, "end")), GatewayOutcome::TextMissing(vec![2]));
    assert_eq!(results(&state, "j"), [(0, "abcde".to_string()), (1, "qr".to_string())]);
}

#[test]
fn ended_jobs_are_dropped_after_their_retention_and_open_jobs_are_kept() {
    let mut state = ControlState::default();
    submit(&mut state, "ended", 1);
    submit(&mut state, "open", 1);
    commit(&mut state, GatewayCommand::EndJob(JobId("ended".to_string())));
    state.time += 2_000;
    submit(&mut state, "next", 1);
    assert!(state.jobs.get(&JobId("ended".to_string())).is_none());
    assert!(state.jobs.get(&JobId("open".to_string())).is_some());
}

#[test]
fn predecessors_are_ended_jobs_with_the_same_target() {
    let mut state = ControlState::default();
    for id in ["first", "open", "second", "elsewhere"] {
        submit(&mut state, id, 1);
    }
    let other = JobSubmission { path: "/y/other".to_string(), ..job("other", 1) };
    commit(&mut state, GatewayCommand::SubmitJob { job: other, keep_ms: 1_000 });
    for id in ["first", "second", "other"] {
        commit(&mut state, GatewayCommand::EndJob(JobId(id.to_string())));
    }
    submit(&mut state, "last", 1);
    let found = state.jobs.predecessors(&JobId("last".to_string()));
    let found: Vec<String> = found.map(|job| job.submission.id.0.clone()).collect();
    assert_eq!(found, ["second", "first"]);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Save { item: u8, offset: u8, length: u8 },
    List { item: u8, offset: u8, length: u8 },
    End,
    Submit,
}

impl Arbitrary for Step {
    fn arbitrary(generator: &mut Gen) -> Self {
        let small = |generator: &mut Gen| u8::arbitrary(generator) % 5;
        let (item, offset, length) = (small(generator), small(generator), small(generator));
        match u8::arbitrary(generator) % 20 {
            0 => Self::End,
            1 => Self::Submit,
            2..=9 => Self::Save { item, offset, length },
            _ => Self::List { item, offset, length },
        }
    }
}

/// In any history the results are append-only and each item is listed at most once, and a snapshot restores the state.
#[test]
fn listed_results_keep_their_positions() {
    fn check(steps: Vec<Step>) -> bool {
        let mut state = ControlState::default();
        submit(&mut state, "j", 5);
        let mut before = Vec::new();
        for step in steps {
            let text = |length: u8| "x".repeat(length.into());
            match step {
                Step::Save { item, offset, length } => {
                    let parts = vec![part(item.into(), offset.into(), &text(length))];
                    commit(&mut state, GatewayCommand::SaveTexts { job: JobId("j".to_string()), parts });
                }
                Step::List { item, offset, length } => {
                    list(&mut state, "j", part(item.into(), offset.into(), &text(length)));
                }
                Step::End => {
                    commit(&mut state, GatewayCommand::EndJob(JobId("j".to_string())));
                }
                Step::Submit => submit(&mut state, "j", 5),
            }
            let now = results(&state, "j");
            let mut items: Vec<u32> = now.iter().map(|(item, _)| *item).collect();
            items.sort_unstable();
            items.dedup();
            if !now.starts_with(&before) || items.len() != now.len() {
                return false;
            }
            before = now;
        }
        let copy: ControlState = bitcode::decode(&bitcode::encode(&state)).expect("a snapshot decodes");
        copy == state
    }
    QuickCheck::new().tests(400).quickcheck(check as fn(Vec<Step>) -> bool);
}

#[test]
fn page_starts_at_the_requested_position() {
    let mut state = ControlState::default();
    submit(&mut state, "j", 3);
    for item in [2, 0] {
        list(&mut state, "j", part(item, 0, "text"));
    }
    let page = |after| state.jobs.page(&JobId("j".to_string()), after, &LoadedTexts::default());
    let page_at = |after| page(after).expect("the job exists").expect("the texts are in memory");
    let page = page_at(1);
    assert_eq!((page.total, page.next, page.results.len()), (3, 2, 1));
    assert_eq!(page.results[0].0, ItemId("item-0".to_string()));
    let beyond = page_at(7);
    assert_eq!((beyond.next, beyond.results.len()), (7, 0));
}

#[test]
fn registration_does_not_reset_a_retirement() {
    let mut state = ControlState::default();
    let record = |replica| StoreRecord {
        name: "s".to_string(),
        replica: ReplicaId(replica),
        address: ([10, 0, 0, 1], 1).into(),
        zone: "north".to_string(),
    };
    assert_eq!(commit(&mut state, GatewayCommand::RetireStore("s".to_string())), GatewayOutcome::NotFound);
    commit(&mut state, GatewayCommand::RegisterStore(record(1)));
    assert_eq!(commit(&mut state, GatewayCommand::RetireStore("s".to_string())), GatewayOutcome::Done);
    commit(&mut state, GatewayCommand::RegisterStore(record(2)));
    assert_eq!(state.stores.unwanted_replicas().collect::<Vec<_>>(), [ReplicaId(2)]);
    assert_eq!(commit(&mut state, GatewayCommand::StoreRetired("s".to_string())), GatewayOutcome::Done);
    assert_eq!(commit(&mut state, GatewayCommand::RetireStore("s".to_string())), GatewayOutcome::Done);
    assert_eq!(state.stores.get("s").map(|store| store.retirement), Some(Retirement::Completed));
}

/// Guards against zones of machines that have left, which would hide the zone of a later machine at the same address.
#[test]
fn zones_are_those_of_machines_that_are_not_retired() {
    let mut state = ControlState::default();
    let address: std::net::SocketAddr = "10.0.0.1:7000".parse().expect("an address");
    let record = |name: &str, zone: &str| StoreRecord {
        name: name.to_string(),
        replica: ReplicaId(1),
        address,
        zone: zone.to_string(),
    };
    assert!(state.stores.zones().is_empty());
    commit(&mut state, GatewayCommand::RegisterStore(record("old", "north")));
    assert_eq!(state.stores.zones().get(&address).map(String::as_str), Some("north"));
    commit(&mut state, GatewayCommand::RetireStore("old".to_string()));
    assert_eq!(state.stores.zones().len(), 1, "a machine that is being retired may still vote");
    commit(&mut state, GatewayCommand::StoreRetired("old".to_string()));
    assert!(state.stores.zones().is_empty());
    commit(&mut state, GatewayCommand::RegisterStore(record("new", "south")));
    assert_eq!(state.stores.zones().get(&address).map(String::as_str), Some("south"));
}
