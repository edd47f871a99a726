//! The record of an ended job is kept for as long as the job may be retried, so that a job never runs twice.
//!
//! Known fault: these records expire by the wall clock of the leader, which the log carries. A leader whose wall clock
//! is an hour ahead expires all of them with the next job that it accepts, and a retried job then runs again.

mod control_group;

use control_group::{Deployment, REPLICAS, SECRET, configured_addresses};
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

/// Timeout of a request to the group.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

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

fn send_request(deployment: &mut Deployment, request: GatewayRequest) -> Result<GatewayReply, GatewayError> {
    let process = deployment.world.start_process("caller", 0, 0);
    let runtime = SimRuntime { world: deployment.world.clone(), process: process.clone() };
    let reply = Rc::new(RefCell::new(None));
    let result = reply.clone();
    deployment.world.spawn(&process, async move {
        let control = ControlClient::new(runtime, &configured_addresses(), SECRET);
        *result.borrow_mut() = Some(control.gateway(request, REQUEST_TIMEOUT, REQUEST_TIMEOUT).await);
    });
    let until = deployment.world.clock.now() + REQUEST_TIMEOUT;
    while reply.borrow().is_none() && deployment.world.clock.now() < until + REQUEST_TIMEOUT {
        deployment.run_for(Duration::from_millis(20));
    }
    reply.take().expect("the request completed in time")
}

fn open_jobs(deployment: &Deployment) -> Vec<JobId> {
    let leader = deployment.leader().expect("there is a leader");
    leader.read_applied(|state| state.jobs.open().map(|(id, _)| id.clone()).collect())
}

/// Restarts every replica with a wall clock offset of `clock_error` milliseconds.
fn restart_all(deployment: &mut Deployment, clock_error: i64) {
    for index in 1..=REPLICAS {
        deployment.replicas.remove(&index).expect("the replica is running").process.kill();
        deployment.clock_errors.insert(index, clock_error);
    }
    deployment.run_for(Duration::from_secs(1));
    (1..=REPLICAS).for_each(|index| deployment.start_replica(index, false));
    deployment.run_for(Duration::from_secs(3));
}

/// Ends a job, restarts the replicas with the clock offset, submits another job and retries the first. Returns whether
/// it is open again.
fn is_run_again(seed: u64, clock_error: i64) -> bool {
    let mut deployment = Deployment::start(seed);
    let first = JobId("first".to_string());
    let done = Ok(GatewayReply::Done);
    assert_eq!(send_request(&mut deployment, GatewayRequest::SubmitJob(job("first"))), done);
    let end = GatewayRequest::EndJob { job: first.clone(), caller: Caller::Anyone };
    assert_eq!(send_request(&mut deployment, end), done);
    restart_all(&mut deployment, clock_error);
    assert_eq!(send_request(&mut deployment, GatewayRequest::SubmitJob(job("second"))), done);
    let _ = send_request(&mut deployment, GatewayRequest::SubmitJob(job("first")));
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
