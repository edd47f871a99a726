//! Routing documents, instances, named versions, batch jobs and store machines in the replicated state.

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
    BatchTerms, RequestLimits, Route, RouteKind, RoutingDocument, RoutingError, Service, WeightedTarget,
};

fn commit(state: &mut ControlState, command: GatewayCommand) -> GatewayOutcome {
    match apply(state, Command::Gateway(command)) {
        CommandOutcome::Gateway(outcome) => outcome,
        other => panic!("a gateway command brought {other:?}"),
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
        batch: BatchTerms::default(),
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
fn the_highest_routing_version_wins_and_equal_ones_change_nothing() {
    let mut state = ControlState::default();
    commit(&mut state, GatewayCommand::PutRouting(document(5, vec![route("a", "/x/", "web")])));
    commit(&mut state, GatewayCommand::PutRouting(document(3, vec![])));
    commit(&mut state, GatewayCommand::PutRouting(document(5, vec![])));
    let held = state.routing.current().expect("a document is held");
    assert_eq!((held.version, held.routes.len()), (5, 1));
    commit(&mut state, GatewayCommand::PutRouting(document(9, vec![])));
    assert_eq!(state.routing.version(), Some(9));
}

#[test]
fn what_cannot_be_in_force_is_named() {
    let error = |routes| document(1, routes).error();
    assert_eq!(error(vec![route("a", "/x/", "web")]), None);
    assert_eq!(error(vec![route("a", "/x/", "none")]), Some(RoutingError::UnknownService("none".to_string())));
    let twice = vec![route("a", "/x/", "web"), route("a", "/x/", "web")];
    assert_eq!(error(twice), Some(RoutingError::SamePlace("a/x/".to_string())));
    let mut weightless = route("a", "/x/", "web");
    weightless.targets[0].weight = 0;
    assert_eq!(error(vec![weightless]), Some(RoutingError::NoWeight("a/x/".to_string())));
    let mut timeless = route("a", "/x/", "web");
    timeless.timeout_ms = 0;
    assert_eq!(error(vec![timeless]), Some(RoutingError::NoTimeout("a/x/".to_string())));
    assert_eq!(error(vec![route("a", "/x", "web")]), Some(RoutingError::BadPrefix("a/x".to_string())));
}

#[test]
fn the_longest_prefix_of_the_host_serves() {
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
        id: InstanceId::named(id),
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
    state.instances.get(&InstanceId::named(id)).map(|record| record.state)
}

#[test]
fn instances_only_go_forward() {
    let mut state = ControlState::default();
    commit(&mut state, GatewayCommand::PutRouting(document(1, vec![])));
    commit(&mut state, GatewayCommand::ReportInstances(vec![report("a", 1, 1)]));
    commit(&mut state, GatewayCommand::ReportInstances(vec![InstanceReport { leaving: true, ..report("a", 1, 2) }]));
    // A late report from before it left.
    commit(&mut state, GatewayCommand::ReportInstances(vec![report("a", 1, 1)]));
    assert_eq!(instance_state(&state, "a"), Some(InstanceState::Leaving));
    commit(&mut state, GatewayCommand::RemoveInstance(InstanceId::named("a")));
    commit(&mut state, GatewayCommand::ReportInstances(vec![report("a", 1, 9)]));
    assert_eq!(instance_state(&state, "a"), Some(InstanceState::Gone));
}

#[test]
fn a_goodbye_holds_for_an_instance_that_was_never_known() {
    let mut state = ControlState::default();
    commit(&mut state, GatewayCommand::PutRouting(document(1, vec![])));
    commit(&mut state, GatewayCommand::RemoveInstance(InstanceId::named("a")));
    commit(&mut state, GatewayCommand::ReportInstances(vec![report("a", 1, 1)]));
    assert_eq!(instance_state(&state, "a"), None);
}

#[test]
fn a_new_instance_takes_the_address_of_an_old_one() {
    let mut state = ControlState::default();
    commit(&mut state, GatewayCommand::PutRouting(document(1, vec![])));
    commit(&mut state, GatewayCommand::ReportInstances(vec![report("old", 1, 1)]));
    commit(&mut state, GatewayCommand::ReportInstances(vec![report("new", 1, 1)]));
    assert_eq!(instance_state(&state, "old"), Some(InstanceState::Gone));
    assert_eq!(instance_state(&state, "new"), Some(InstanceState::Ready));
    let changed: Vec<_> = state.instances.changed_after(1).map(|record| record.report.id.name.clone()).collect();
    assert_eq!(changed, ["old", "new"]);
    assert_eq!(
        state.instances.changed_after(0).count(),
        1,
        "one that knows nothing is not told of those that are gone"
    );
    assert!(state.instances.changed_after(state.instances.revision()).next().is_none());
}

#[test]
fn versions_only_rise() {
    let mut state = ControlState::default();
    let named = |version| LoadedModel { model: "m".to_string(), version };
    commit(&mut state, GatewayCommand::NameVersion(named(3)));
    commit(&mut state, GatewayCommand::NameVersion(named(2)));
    assert_eq!(state.weights.named().get("m"), Some(&3));
}

#[test]
fn each_order_has_a_higher_fence_than_any_before_it_of_the_same_holder_too() {
    let mut state = ControlState::default();
    let subjects = || vec![OrderSubject::UsageReports];
    let note = |id| GatewayCommand::NoteOrders { holder: ReplicaId(id), subjects: subjects() };
    let mut take = |id| match commit(&mut state, note(id)) {
        GatewayOutcome::Orders { fence, taken_over } => (fence.0, taken_over),
        other => panic!("{other:?}"),
    };
    assert_eq!(take(1), (1, false));
    assert_eq!(take(1), (2, false));
    assert_eq!(take(2), (3, true));
    assert_eq!(take(1), (4, true));
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

fn list(state: &mut ControlState, id: &str, rest: TextPart) -> GatewayOutcome {
    let outcomes = vec![ItemOutcome { end: ItemEnd::Completed, rest, score: None }];
    commit(state, GatewayCommand::ListResults { job: JobId(id.to_string()), outcomes })
}

fn results(state: &ControlState, id: &str) -> Vec<(u32, String)> {
    let page = state.jobs.page(&JobId(id.to_string()), 0, &LoadedTexts::default()).expect("the job is there");
    let text = |result: &ItemResult| String::from_utf8(result.text.clone()).expect("text");
    page.expect("in memory").results.iter().map(|(_, result)| (result.item, text(result))).collect()
}

#[test]
fn an_item_is_listed_once_and_nothing_after_the_end() {
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
fn a_job_handed_in_again_stays_as_it_is() {
    let mut state = ControlState::default();
    submit(&mut state, "j", 2);
    list(&mut state, "j", part(0, 0, "zero"));
    commit(&mut state, GatewayCommand::EndJob(JobId("j".to_string())));
    submit(&mut state, "j", 2);
    let held = state.jobs.get(&JobId("j".to_string())).expect("the job is there");
    assert!(held.is_ended());
    assert_eq!(results(&state, "j").len(), 1);
}

#[test]
fn bodies_are_given_until_their_items_are_listed_or_their_job_has_ended() {
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
fn texts_go_on_where_they_are_held_and_begin_anew_at_zero() {
    let mut state = ControlState::default();
    submit(&mut state, "j", 3);
    let keep = |state: &mut ControlState, part: TextPart| {
        commit(state, GatewayCommand::KeepTexts { job: JobId("j".to_string()), parts: vec![part] })
    };
    keep(&mut state, part(0, 0, "ab"));
    keep(&mut state, part(0, 2, "cd"));
    // The same part once more, as after an answer that was lost.
    keep(&mut state, part(0, 2, "cd"));
    assert_eq!(list(&mut state, "j", part(0, 4, "e")), GatewayOutcome::Done);
    // A text that begins anew replaces what was held.
    keep(&mut state, part(1, 0, "xyz"));
    keep(&mut state, part(1, 0, "q"));
    assert_eq!(list(&mut state, "j", part(1, 1, "r")), GatewayOutcome::Done);
    // One whose beginning is not held is not listed.
    assert_eq!(list(&mut state, "j", part(2, 5, "end")), GatewayOutcome::TextMissing(vec![2]));
    assert_eq!(results(&state, "j"), [(0, "abcde".to_string()), (1, "qr".to_string())]);
}

#[test]
fn ended_jobs_are_forgotten_after_their_time_and_open_ones_never() {
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
fn predecessors_are_ended_jobs_sent_to_the_same_place() {
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
    Keep { item: u8, offset: u8, length: u8 },
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
            2..=9 => Self::Keep { item, offset, length },
            _ => Self::List { item, offset, length },
        }
    }
}

/// Whatever happens to a job, its results only grow, each item stands in them once, and a snapshot brings it all back.
#[test]
fn results_keep_their_positions() {
    fn check(steps: Vec<Step>) -> bool {
        let mut state = ControlState::default();
        submit(&mut state, "j", 5);
        let mut before = Vec::new();
        for step in steps {
            let text = |length: u8| "x".repeat(length.into());
            match step {
                Step::Keep { item, offset, length } => {
                    let parts = vec![part(item.into(), offset.into(), &text(length))];
                    commit(&mut state, GatewayCommand::KeepTexts { job: JobId("j".to_string()), parts });
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
        let copy: ControlState = bitcode::decode(&bitcode::encode(&state)).expect("a snapshot can be read");
        copy == state
    }
    QuickCheck::new().tests(400).quickcheck(check as fn(Vec<Step>) -> bool);
}

#[test]
fn a_page_begins_where_it_is_asked_to() {
    let mut state = ControlState::default();
    submit(&mut state, "j", 3);
    for item in [2, 0] {
        list(&mut state, "j", part(item, 0, "text"));
    }
    let page = |after| state.jobs.page(&JobId("j".to_string()), after, &LoadedTexts::default());
    let page_at = |after| page(after).expect("the job is there").expect("its texts are in memory");
    let page = page_at(1);
    assert_eq!((page.total, page.next, page.results.len()), (3, 2, 1));
    assert_eq!(page.results[0].0, ItemId("item-0".to_string()));
    let beyond = page_at(7);
    assert_eq!((beyond.next, beyond.results.len()), (7, 0));
}

#[test]
fn a_retirement_stands_whatever_the_machine_says_afterwards() {
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
