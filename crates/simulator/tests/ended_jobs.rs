//! The record of an ended job is kept for as long as the job may be retried, so that a job never runs twice.

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

/// Seeds of tests that run for several retention periods.
const LONG_SEEDS: std::ops::Range<u64> = 0..2;

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

/// Number of leaders that are lost, each within the retention of a job.
const LOST_LEADERS: u64 = 12;

/// Time between losses of the leader.
const LEADER_LIFETIME: Duration = Duration::from_secs(60);

/// Maximum number of retained records: those of one retention period and of the restarts in it.
const MAX_RETAINED_JOBS: usize = 6;

/// Restarts the leader.
fn restart_leader(deployment: &mut Deployment) {
    let index = deployment.leader_index().expect("there is a leader");
    deployment.replicas.remove(&index).expect("the replica is running").process.kill();
    deployment.run_for(Duration::from_secs(5));
    deployment.start_replica(index, false);
}

/// Leaders that change more often than a job's record is retained must not keep all records.
#[test]
fn records_of_ended_jobs_are_dropped_while_leaders_change() {
    for seed in LONG_SEEDS {
        let mut deployment = Deployment::start(seed);
        let mut most_retained = 0;
        for number in 0..LOST_LEADERS {
            let name = format!("job-{number}");
            let done = Ok(GatewayReply::Done);
            assert_eq!(send_request(&mut deployment, GatewayRequest::SubmitJob(job(&name))), done, "seed {seed}");
            let end = GatewayRequest::EndJob { job: JobId(name), caller: Caller::Anyone };
            assert_eq!(send_request(&mut deployment, end), done, "seed {seed}");
            deployment.run_for(LEADER_LIFETIME);
            restart_leader(&mut deployment);
            deployment.run_for(Duration::from_secs(5));
            let leader = deployment.leader().expect("there is a leader");
            let retained = leader.read_applied(|state| {
                (0..=number).filter(|number| state.jobs.get(&JobId(format!("job-{number}"))).is_some()).count()
            });
            most_retained = most_retained.max(retained);
        }
        assert!(most_retained <= MAX_RETAINED_JOBS, "seed {seed}: {most_retained} records of ended jobs were retained");
    }
}

/// After a leader whose wall clock is an hour ahead, the log's time does not advance for an hour.
#[test]
fn records_of_ended_jobs_are_dropped_after_a_leader_whose_wall_clock_is_an_hour_ahead() {
    for seed in LONG_SEEDS {
        let mut deployment = Deployment::start(seed);
        restart_all(&mut deployment, HOUR_MS);
        let done = Ok(GatewayReply::Done);
        let first = JobId("first".to_string());
        assert_eq!(send_request(&mut deployment, GatewayRequest::SubmitJob(job("first"))), done, "seed {seed}");
        let end = GatewayRequest::EndJob { job: first.clone(), caller: Caller::Anyone };
        assert_eq!(send_request(&mut deployment, end), done, "seed {seed}");
        restart_all(&mut deployment, 0);
        deployment.run_for(LEADER_LIFETIME * 4);
        let leader = deployment.leader().expect("there is a leader");
        let is_retained = leader.read_applied(|state| state.jobs.get(&first).is_some());
        assert!(!is_retained, "seed {seed}: the record of an ended job was retained for longer than its retention");
    }
}
