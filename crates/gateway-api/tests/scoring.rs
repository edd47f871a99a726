//! Items whose completed texts are scored before they are listed.

mod common;

use common::engine::{EngineBehavior, ReceivedRequest, StandInEngine};
use common::{Deployment, block_on, call, document, eventually, job, rollouts, route};
use hyper::{Method, StatusCode};
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::job::{ItemEnd, JobSubmission, ResultPage, ScoringRequest};
use saddlerelay_types::routing::{RouteKind, RoutingDocument, WeightedTarget};
use saddlerelay_types::suspicion::{EngineLoss, WorkEvidence};
use std::time::Duration;

/// Maximum number of concurrent scoring calls at an engine with four slots.
const SCORING_SLOTS: u32 = 2;

struct Fixture {
    deployment: Deployment,
    model: StandInEngine,
    scorers: Vec<StandInEngine>,
}

impl Fixture {
    async fn start(name: &str, scorers: usize) -> Self {
        let deployment = Deployment::start(name).await;
        deployment.configure(&with_scorers(1)).await;
        let model = StandInEngine::start("model").await;
        deployment.register(&model, "llm").await;
        let mut engines = Vec::new();
        for index in 0..scorers {
            let engine = StandInEngine::start(&format!("scorer-{index}")).await;
            deployment.register(&engine, "web").await;
            engines.push(engine);
        }
        Self { deployment, model, scorers: engines }
    }

    fn set_behavior(&self, behavior: EngineBehavior) {
        self.scorers.iter().for_each(|engine| engine.set_behavior(behavior));
    }

    fn calls(&self) -> Vec<ReceivedRequest> {
        self.scorers.iter().flat_map(StandInEngine::received_requests).collect()
    }

    async fn listed(&self, id: &str) -> ResultPage {
        self.deployment.results(id).await.expect("the response is not a result page")
    }
}

fn with_scorers(version: u64) -> RoutingDocument {
    document(version, vec![rollouts(), route("/checks/", RouteKind::Idempotent, "web")])
}

fn scored_job(id: &str, count: u32) -> JobSubmission {
    let mut job = job(id, 1, 0, count, 3);
    for (index, item) in job.items.iter_mut().enumerate() {
        item.scorer = Some(ScoringRequest {
            id: format!("{id}-score-{index}"),
            host: common::HOST.to_string(),
            path: format!("/checks/{index}"),
            body: format!("check {index}").into_bytes(),
        });
    }
    job
}

#[test]
fn a_result_carries_the_stamp_of_its_scorer() {
    block_on(async {
        let fixture = Fixture::start("scored", 2).await;
        fixture.deployment.submit(&scored_job("j-1", 8)).await;
        let page = fixture.deployment.await_results("j-1", 8).await;
        for (_, result) in &page.results {
            let call_path = format!("/checks/{}", result.item);
            let of_item =
                |engine: &&StandInEngine| engine.received_requests().iter().any(|seen| seen.path == call_path);
            let engine = fixture.scorers.iter().find(of_item).expect("no engine received the scoring call");
            assert_eq!((result.end, result.score.as_deref()), (ItemEnd::Completed, Some(&*engine.instance().name)));
        }
        let calls = fixture.calls();
        assert_eq!(calls.len(), 8, "one call per item");
        let call = calls.iter().find(|call| call.path == "/checks/5").expect("no engine received the scoring call");
        assert_eq!((call.method.as_str(), call.header("host")), ("POST", Some(common::HOST)));
        assert_eq!((call.header("saddlerelay-request"), &call.body[..]), (Some("j-1-score-5"), &b"check 5"[..]));
    });
}

#[test]
fn an_item_is_aborted_after_its_scorer_fails_on_all_attempts() {
    block_on(async {
        let fixture = Fixture::start("score-fails", 2).await;
        fixture.set_behavior(EngineBehavior::Fail);
        fixture.deployment.submit(&scored_job("j-1", 1)).await;
        let page = fixture.deployment.await_results("j-1", 1).await;
        assert_eq!((page.results[0].1.end, page.results[0].1.score.as_deref()), (ItemEnd::Aborted, None));
        assert_eq!(fixture.calls().len(), 2, "the route's maximum number of attempts");
        assert_eq!(fixture.model.received_requests().len(), 1, "the text was generated once");
    });
}

#[test]
fn a_response_without_a_score_does_not_count_as_an_attempt() {
    let behaviors = [
        EngineBehavior::Reject,
        EngineBehavior::Truncate,
        EngineBehavior::WrongRequestId,
        EngineBehavior::MissingStamp,
        EngineBehavior::FailUnavailable,
        EngineBehavior::FailUnprocessable,
    ];
    for behavior in behaviors {
        block_on(async move {
            let fixture = Fixture::start(&format!("no-score-{behavior:?}"), 1).await;
            fixture.set_behavior(behavior);
            fixture.deployment.submit(&scored_job("j-1", 1)).await;
            eventually("the call is retried more often than the attempts allow", async || fixture.calls().len() > 2)
                .await;
            assert_eq!(fixture.listed("j-1").await.results.len(), 0, "{behavior:?}");
            fixture.set_behavior(EngineBehavior::Respond);
            let page = fixture.deployment.await_results("j-1", 1).await;
            assert_eq!(page.results[0].1.score.as_deref(), Some("scorer-0"), "{behavior:?}");
            assert_eq!(fixture.model.received_requests().len(), 1, "{behavior:?}");
        });
    }
}

#[test]
fn a_completed_text_waits_for_a_route_and_a_scorer() {
    block_on(async {
        let fixture = Fixture::start("score-waits", 0).await;
        let without_route = document(2, vec![rollouts()]);
        fixture.deployment.configure(&without_route).await;
        fixture.deployment.submit(&scored_job("j-1", 2)).await;
        eventually("the texts are generated", async || fixture.model.received_requests().len() == 2).await;
        compio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(fixture.listed("j-1").await.results.len(), 0);
        fixture.deployment.configure(&with_scorers(3)).await;
        let engine = StandInEngine::start("late-scorer").await;
        fixture.deployment.register(&engine, "web").await;
        let page = fixture.deployment.await_results("j-1", 2).await;
        assert!(page.results.iter().all(|(_, result)| result.score.as_deref() == Some("late-scorer")));
        assert_eq!(fixture.model.received_requests().len(), 2, "each text was generated once");
    });
}

#[test]
fn a_text_of_an_earlier_job_is_scored_for_the_later_one() {
    block_on(async {
        let fixture = Fixture::start("score-again", 1).await;
        fixture.deployment.submit(&scored_job("j-1", 2)).await;
        fixture.deployment.await_results("j-1", 2).await;
        call(fixture.deployment.client_address, Method::DELETE, "/v1/jobs/j-1", &[], "").await;
        fixture.deployment.submit(&scored_job("j-2", 2)).await;
        let page = fixture.deployment.await_results("j-2", 2).await;
        assert!(page.results.iter().all(|(_, result)| result.score.is_some()));
        assert_eq!((fixture.model.received_requests().len(), fixture.calls().len()), (2, 4));
        assert!(fixture.calls()[2..].iter().all(|call| call.header("saddlerelay-request").unwrap().starts_with("j-2")));
    });
}

#[test]
fn nothing_is_scored_after_the_end_of_the_job() {
    block_on(async {
        let fixture = Fixture::start("score-ended", 1).await;
        fixture.set_behavior(EngineBehavior::Hang);
        fixture.deployment.submit(&scored_job("j-1", 6)).await;
        eventually("calls are in progress", async || fixture.calls().len() as u32 == SCORING_SLOTS).await;
        let answer = call(fixture.deployment.client_address, Method::DELETE, "/v1/jobs/j-1", &[], "").await;
        assert_eq!(answer.status, StatusCode::OK);
        eventually("the calls are cancelled", async || fixture.scorers[0].cancelled() == SCORING_SLOTS).await;
        compio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(fixture.calls().len() as u32, SCORING_SLOTS);
        assert_eq!(fixture.listed("j-1").await.results.len(), 0);
    });
}

#[test]
fn scoring_calls_leave_slots_for_callers() {
    block_on(async {
        let fixture = Fixture::start("score-slots", 1).await;
        fixture.set_behavior(EngineBehavior::RespondAfter(Duration::from_millis(20)));
        fixture.deployment.submit(&scored_job("j-1", 12)).await;
        fixture.deployment.await_results("j-1", 12).await;
        assert_eq!(fixture.scorers[0].max_concurrent(), SCORING_SLOTS);
    });
}

#[test]
fn scoring_calls_are_split_among_the_targets_of_their_route() {
    block_on(async {
        let fixture = Fixture::start("score-split", 1).await;
        let mut checks = route("/checks/", RouteKind::Idempotent, "web");
        checks.targets[0].weight = 3;
        checks.targets.push(WeightedTarget { service: "other".to_string(), weight: 1 });
        fixture.deployment.configure(&document(2, vec![rollouts(), checks])).await;
        let other = StandInEngine::start("other").await;
        fixture.deployment.register(&other, "other").await;
        fixture.deployment.submit(&scored_job("j-1", 24)).await;
        fixture.deployment.await_results("j-1", 24).await;
        assert_eq!((fixture.calls().len(), other.received_requests().len()), (18, 6));
    });
}

/// Duration of a scoring call in tests of mutual exclusion; longer than generating a text and starting its call.
const LONG_CALL: Duration = Duration::from_millis(700);

/// Records that an engine crashed during a scoring call, and waits until the gateway has the record.
async fn record_crash(fixture: &Fixture, request: &ScoringRequest) {
    let loss = EngineLoss {
        work: request.work_digest(None),
        instance: InstanceId::without_start_time("a scorer that has ended"),
    };
    let evidence = WorkEvidence { losses: vec![loss], served: Vec::new() };
    fixture.deployment.node.commit_evidence(evidence).await.expect("the command was not committed");
    eventually("the gateway has the record", async || fixture.deployment.gateway.suspected_work_count() == 1).await;
}

#[test]
fn identical_suspected_scoring_calls_of_two_items_run_one_at_a_time() {
    block_on(async {
        let fixture = Fixture::start("score-alone", 1).await;
        fixture.set_behavior(EngineBehavior::RespondAfter(LONG_CALL));
        let mut job = scored_job("j-1", 2);
        let first = job.items[0].scorer.clone().expect("the item has no scorer");
        job.items[1].scorer = Some(ScoringRequest { id: "j-1-score-1".to_string(), ..first.clone() });
        record_crash(&fixture, &first).await;
        fixture.deployment.submit(&job).await;
        let page = fixture.deployment.await_results("j-1", 2).await;
        assert!(page.results.iter().all(|(_, result)| result.score.as_deref() == Some("scorer-0")));
        assert_eq!((fixture.calls().len(), fixture.scorers[0].max_concurrent()), (2, 1));
    });
}

#[test]
fn a_suspected_scoring_call_waits_for_the_same_work_of_a_caller() {
    block_on(async {
        let fixture = Fixture::start("score-and-caller", 1).await;
        fixture.set_behavior(EngineBehavior::RespondAfter(LONG_CALL));
        fixture.deployment.await_engines("web", 1).await;
        let job = scored_job("j-1", 1);
        let scorer = job.items[0].scorer.as_ref().expect("the item has no scorer");
        record_crash(&fixture, scorer).await;
        let body = String::from_utf8_lossy(&scorer.body).into_owned();
        let headers = [("saddlerelay-request", "a-caller")];
        let caller = fixture.deployment.request(Method::POST, &scorer.path, &headers, &body);
        let submitted = async {
            eventually("the caller's request runs", async || fixture.calls().len() == 1).await;
            fixture.deployment.submit(&job).await;
        };
        let (answer, ()) = futures::join!(caller, submitted);
        assert_eq!(answer.status, StatusCode::OK);
        let page = fixture.deployment.await_results("j-1", 1).await;
        assert_eq!(page.results[0].1.score.as_deref(), Some("scorer-0"));
        assert_eq!((fixture.calls().len(), fixture.scorers[0].max_concurrent()), (2, 1));
    });
}

#[test]
fn a_job_with_an_invalid_scorer_is_rejected_with_the_reason() {
    block_on(async {
        let fixture = Fixture::start("score-rejected", 0).await;
        let broken = |change: fn(&mut ScoringRequest)| {
            let mut job = scored_job("j-1", 2);
            change(job.items[1].scorer.as_mut().expect("the item has no scorer"));
            serde_json::to_string(&job).expect("failed to serialize JSON")
        };
        let cases = [
            (broken(|scorer| scorer.host.clear()), "the scorer of item `item-1` has no host"),
            (broken(|scorer| scorer.id.clear()), "the scorer of item `item-1` has no id"),
            (broken(|scorer| scorer.path.clear()), "the path of the scorer of item `item-1` must begin with a slash"),
            (broken(|scorer| scorer.path.insert(1, ' ')), "the path of the scorer of item `item-1` must begin"),
            (broken(|_| ()).replace("Y2hlY2sgMQ==", "!"), "Invalid"),
        ];
        for (body, expected_reason) in cases {
            let headers = [("saddlerelay-request", "j-1")];
            let answer = fixture.deployment.request(Method::POST, "/rollouts/j-1", &headers, &body).await;
            let reason = String::from_utf8_lossy(&answer.body).into_owned();
            assert_eq!(answer.status, StatusCode::BAD_REQUEST, "{expected_reason}");
            assert!(reason.contains(expected_reason), "{reason}");
        }
        assert!(fixture.deployment.results("j-1").await.is_none());
    });
}
