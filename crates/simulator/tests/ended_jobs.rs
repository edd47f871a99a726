//! A job that has ended stays known for as long as it may be sent again: the same identifier never runs twice.
//!
//! Open. An ended job is forgotten by the time of day in the log, which is that of whoever leads, and which never goes back. After a
//! leader whose time of day is an hour ahead has taken one more job, every job that has ended is forgotten, however lately. One that
//! is sent again, as its answer was lost, is taken for a new one and runs again. The log's entries have one leader's time only: a
//! group that was down for an hour looks the same.

mod control_group;

use control_group::{Deployment, REPLICAS, SECRET, named};
use saddlerelay_control_client::{ControlClient, GatewayError};
use saddlerelay_simulator::platform::SimRuntime;
use saddlerelay_types::gateway::{GatewayReply, GatewayRequest};
use saddlerelay_types::job::{ItemId, JobId, JobItem, JobSubmission};
use saddlerelay_types::tenancy::Caller;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..8;

const HOUR_MS: i64 = 3_600_000;

/// Time limit of one request.
const LIMIT: Duration = Duration::from_secs(5);

fn job(name: &str) -> JobSubmission {
    let item = JobItem {
        id: ItemId(format!("{name}-item")),
        path: "/rollouts".to_string(),
        headers: Vec::new(),
        body: b"an item".to_vec(),
        tokens: 10,
        group: "group".to_string(),
        scorer: None,
    };
    JobSubmission {
        id: JobId(name.to_string()),
        host: "host".to_string(),
        path: "/rollouts".to_string(),
        owner: None,
        model: None,
        step: 0,
        minimum_version: 1,
        wanted_groups: 1,
        items: vec![item],
    }
}

fn ask(deployment: &mut Deployment, request: GatewayRequest) -> Result<GatewayReply, GatewayError> {
    let process = deployment.world.start_process("caller", 0, 0);
    let runtime = SimRuntime { world: deployment.world.clone(), process: process.clone() };
    let answer = Rc::new(RefCell::new(None));
    let told = answer.clone();
    deployment.world.spawn(&process, async move {
        let control = ControlClient::new(runtime, &named(), SECRET);
        *told.borrow_mut() = Some(control.gateway(request, LIMIT, LIMIT).await);
    });
    let until = deployment.world.clock.now() + LIMIT;
    while answer.borrow().is_none() && deployment.world.clock.now() < until + LIMIT {
        deployment.run_for(Duration::from_millis(20));
    }
    answer.take().expect("a request is answered in time")
}

fn open_jobs(deployment: &Deployment) -> Vec<JobId> {
    let leader = deployment.leader().expect("the group is led");
    leader.read_applied(|state| state.jobs.open().map(|(id, _)| id.clone()).collect())
}

/// Every replica ends and starts again, with a time of day that is off by `clock_error` milliseconds.
fn restart_all(deployment: &mut Deployment, clock_error: i64) {
    for place in 1..=REPLICAS {
        deployment.replicas.remove(&place).expect("it runs").process.kill();
        deployment.clock_errors.insert(place, clock_error);
    }
    deployment.run_for(Duration::from_secs(1));
    (1..=REPLICAS).for_each(|place| deployment.start_replica(place, false));
    deployment.run_for(Duration::from_secs(3));
}

/// Ends a job, has the time of day go wrong by `clock_error`, takes another job, and sends the first one again.
fn is_run_again(seed: u64, clock_error: i64) -> bool {
    let mut deployment = Deployment::start(seed);
    let first = JobId("first".to_string());
    let done = Ok(GatewayReply::Done);
    assert_eq!(ask(&mut deployment, GatewayRequest::SubmitJob(job("first"))), done);
    let end = GatewayRequest::EndJob { job: first.clone(), caller: Caller::Anyone };
    assert_eq!(ask(&mut deployment, end), done);
    restart_all(&mut deployment, clock_error);
    assert_eq!(ask(&mut deployment, GatewayRequest::SubmitJob(job("second"))), done);
    let _ = ask(&mut deployment, GatewayRequest::SubmitJob(job("first")));
    open_jobs(&deployment).contains(&first)
}

#[test]
fn a_job_that_has_ended_is_not_run_again_after_a_restart() {
    for seed in SEEDS {
        assert!(!is_run_again(seed, 0), "seed {seed}");
    }
}

#[test]
fn a_job_that_has_ended_is_not_run_again_after_a_leader_whose_time_of_day_is_an_hour_ahead() {
    for seed in SEEDS {
        assert!(!is_run_again(seed, HOUR_MS), "seed {seed}");
    }
}
