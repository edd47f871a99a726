//! Running items move to a faster engine if that lets their job complete earlier.

mod common;

use common::engine::StandInEngine;
use common::{Deployment, block_on, document, eventually, job, rollouts};
use saddlerelay_types::job::JobSubmission;
use saddlerelay_types::routing::Route;
use std::time::Duration;

/// Interval between events of the slow engine.
const SLOW_EVENT_INTERVAL: Duration = Duration::from_millis(60);

/// Number of events for which the slow engine needs much longer than the job's due time.
const LONG_EVENTS: u32 = 150;

struct TwoEngines {
    deployment: Deployment,
    slow: StandInEngine,
    fast: StandInEngine,
}

impl TwoEngines {
    /// Starts a slow engine, which runs the items of the first job, and then a fast one.
    async fn start(name: &str, first: &JobSubmission) -> Self {
        Self::start_in(Deployment::start(name).await, first, rollouts()).await
    }

    async fn start_in(deployment: Deployment, first: &JobSubmission, route: Route) -> Self {
        deployment.configure(&document(1, vec![route])).await;
        let slow = StandInEngine::start("slow").await;
        slow.set_event_interval(SLOW_EVENT_INTERVAL);
        deployment.register(&slow, "llm").await;
        deployment.submit(first).await;
        eventually("the items run", async || slow.received_requests().len() == first.items.len()).await;
        let fast = StandInEngine::start("fast").await;
        deployment.register(&fast, "llm").await;
        Self { deployment, slow, fast }
    }

    /// Runs a short job, so that the coordinator measures the fast engine's speed.
    async fn measure_fast_engine(&self) {
        self.deployment.submit(&job("short", 1, 50, 4, 60)).await;
        self.deployment.await_results("short", 4).await;
    }

    /// Paths of the items of `job` that were resumed at the fast engine.
    fn resumed(&self, job: &JobSubmission) -> Vec<String> {
        let belongs_to_job = |path: &String| job.items.iter().any(|item| item.path == *path);
        let request =
            self.fast.received_requests().into_iter().filter(|request| request.header("last-event-id").is_some());
        request.map(|request| request.path).filter(belongs_to_job).collect()
    }
}

/// Adds a token count header with the maximum `limit` to the items of `job`.
fn with_token_limit(mut job: JobSubmission, limit: u32) -> JobSubmission {
    for item in &mut job.items {
        item.headers.push(("saddlerelay-token-count".to_string(), format!("10,{limit}")));
    }
    job
}

#[test]
fn an_item_that_delays_its_job_moves_to_the_faster_engine() {
    block_on(async {
        let long = job("long", 1, 0, 1, LONG_EVENTS);
        let engines = TwoEngines::start("moved", &long).await;
        engines.measure_fast_engine().await;
        let page = engines.deployment.await_results("long", 1).await;
        let lines = page.results[0].1.text.split(|byte| *byte == b'\n').count();
        assert_eq!((lines, engines.resumed(&long)), (LONG_EVENTS as usize, vec!["/rollouts/0".to_string()]));
    });
}

#[test]
fn an_item_is_not_moved_if_its_job_will_be_done_in_time() {
    block_on(async {
        // Generous due time and event timeout: on an overloaded test machine the defaults would justify a move.
        let mut route = rollouts();
        route.batch.due_after_ms = 60_000;
        let long = job("long", 1, 0, 1, 30);
        let deployment = Deployment::start_with_event_timeout("in-time", Duration::from_secs(20)).await;
        let engines = TwoEngines::start_in(deployment, &long, route).await;
        engines.measure_fast_engine().await;
        engines.deployment.await_results("long", 1).await;
        assert_eq!(engines.resumed(&long), Vec::<String>::new());
    });
}

#[test]
fn an_item_close_to_its_token_limit_is_not_moved() {
    block_on(async {
        // The length hint suggests a long remainder, but the token limit leaves a short one.
        let mut long = with_token_limit(job("long", 1, 0, 1, 60), 60);
        long.items[0].headers.push(("saddlerelay-length-hint".to_string(), "400".to_string()));
        let engines = TwoEngines::start("capped", &long).await;
        // The remainder is too short for a move to save time.
        eventually("most events are sent", async || engines.slow.events_sent() >= 54).await;
        engines.measure_fast_engine().await;
        engines.deployment.await_results("long", 1).await;
        assert_eq!(engines.resumed(&long), Vec::<String>::new());
    });
}

#[test]
fn an_item_of_a_group_that_the_trainer_does_not_need_is_not_moved() {
    block_on(async {
        // Two groups of two items, of which the trainer needs one. The items of the second group are longer.
        let mut two_groups = job("long", 1, 0, 4, LONG_EVENTS);
        for item in &mut two_groups.items[..2] {
            item.headers[0].1 = "100".to_string();
            item.headers.push(("saddlerelay-length-hint".to_string(), "100".to_string()));
        }
        for item in &mut two_groups.items[2..] {
            item.headers.push(("saddlerelay-length-hint".to_string(), LONG_EVENTS.to_string()));
        }
        let engines = TwoEngines::start("unawaited", &two_groups).await;
        engines.measure_fast_engine().await;
        engines.deployment.await_results("long", 2).await;
        let moved = engines.resumed(&two_groups);
        assert!(
            !moved.is_empty() && moved.iter().all(|path| path == "/rollouts/0" || path == "/rollouts/1"),
            "{moved:?}"
        );
    });
}
