//! Items are placed by expected completion where engines report their work time.

mod common;

use common::engine::StandInEngine;
use common::{Deployment, block_on, document, eventually, job, rollouts};
use saddlerelay_scheduling::Activation;
use std::time::Duration;

/// A load header with the work time of an engine at its usual speed.
const USUAL_LOAD: &str = "0,0,4,100";

/// Intervals between events of the fast engines and of the slow one.
const INTERVALS: [Duration; 2] = [Duration::from_millis(10), Duration::from_millis(40)];

/// Shorter intervals, with which the first job ends about a second after the engines' first reports.
const SHORT_INTERVALS: [Duration; 2] = [Duration::from_millis(5), Duration::from_millis(25)];

/// Number of items of a short job: more than the slots of the two fast engines.
const SHORT_ITEMS: u32 = 12;

struct ThreeEngines {
    deployment: Deployment,
    fast: [StandInEngine; 2],
    /// Number of the engines' newest reports.
    reports: std::cell::Cell<u64>,
    slow: StandInEngine,
}

impl ThreeEngines {
    /// Starts two fast engines and a slow one, whose paces are learned from a first job.
    async fn start(
        name: &str,
        placement: Activation,
        load: &str,
        [fast_interval, slow_interval]: [Duration; 2],
    ) -> Self {
        let deployment = Deployment::start_with_placement(name, placement).await;
        deployment.configure(&document(1, vec![rollouts()])).await;
        let fast = [StandInEngine::start("fast-0").await, StandInEngine::start("fast-1").await];
        let slow = StandInEngine::start("slow").await;
        slow.set_event_interval(slow_interval);
        for engine in &fast {
            engine.set_event_interval(fast_interval);
        }
        for engine in fast.iter().chain([&slow]) {
            engine.set_load(load);
            deployment.register(engine, "llm").await;
        }
        let engines = Self { deployment, fast, slow, reports: std::cell::Cell::new(1) };
        engines.run("warm-up", 0, SHORT_ITEMS, 30).await;
        engines
    }

    /// Runs a job; returns how many of its items were sent to the slow engine.
    async fn run(&self, id: &str, first: u32, count: u32, events: u32) -> usize {
        // Engines that don't report for a while are not sound, and the slow one is used for lack of others.
        self.reports.set(self.reports.get() + 1);
        for engine in self.fast.iter().chain([&self.slow]) {
            self.deployment.report(engine, "llm", false, self.reports.get()).await;
        }
        let before = self.slow.received_requests().len();
        self.deployment.submit(&job(id, 1, first, count, events)).await;
        self.deployment.await_results(id, count as usize).await;
        self.slow.received_requests().len() - before
    }
}

/// Guards against a steadily slow engine that counts as degraded and stays idle, and against long items on it.
#[test]
fn a_slow_engine_runs_short_items_and_no_long_ones() {
    block_on(async {
        let engines = ThreeEngines::start("uneven", Activation::Automatic, USUAL_LOAD, INTERVALS).await;
        for round in 1..=3 {
            let count = engines.run(&format!("short-{round}"), 100 * round, SHORT_ITEMS, 20).await;
            assert!(count > 0, "the slow engine received no item in round {round}");
        }
        // At the slow engine, they would take more than the 4.5 s that they have.
        assert_eq!(engines.run("long", 1_000, 2, 190).await, 0);
    });
}

/// Guards against a change of placement in deployments that don't ask for it: without the fourth figure, and where the
/// setting is off, an engine much slower than the fastest receives no item that another engine has room for soon.
#[test]
fn without_reported_work_times_or_with_the_setting_off_a_slow_engine_stays_degraded() {
    for (name, placement, load) in
        [("unreported", Activation::Automatic, "0,0,4"), ("off", Activation::Off, USUAL_LOAD)]
    {
        block_on(async {
            let engines = ThreeEngines::start(name, placement, load, SHORT_INTERVALS).await;
            assert_eq!(engines.run("short", 100, SHORT_ITEMS, 20).await, 0, "{name}");
        });
    }
}

/// Guards against items that stay at an engine where they miss their time.
#[test]
fn an_item_that_would_be_late_moves_to_an_engine_where_it_is_in_time() {
    block_on(async {
        let deployment = Deployment::start_with_placement("late", Activation::Automatic).await;
        deployment.configure(&document(1, vec![rollouts()])).await;
        let slow = StandInEngine::start("slow").await;
        slow.set_event_interval(Duration::from_millis(60));
        slow.set_load(USUAL_LOAD);
        deployment.register(&slow, "llm").await;
        deployment.submit(&job("long", 1, 0, 1, 150)).await;
        eventually("the item runs", async || slow.events_sent() > 0).await;
        let fast = StandInEngine::start("fast").await;
        fast.set_load(USUAL_LOAD);
        deployment.register(&fast, "llm").await;
        deployment.submit(&job("short", 1, 50, 4, 60)).await;
        deployment.await_results("short", 4).await;
        let page = deployment.await_results("long", 1).await;
        let lines = page.results[0].1.text.split(|byte| *byte == b'\n').count();
        let received = fast.received_requests();
        let resumed = received.iter().filter(|request| request.header("last-event-id").is_some()).count();
        assert!(lines == 150 && resumed > 0, "{lines} lines, {resumed} attempts at the fast engine");
    });
}
