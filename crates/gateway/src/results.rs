//! Reads results of batch jobs, by preference at a replica in the relay's own zone.
//!
//! The leader tells how far the log is committed, in a few bytes; a replica that has applied it that far answers as the
//! leader would. Results are read far more often than they are made: only the leader's word crosses zones then.

use crate::gateway::Gateway;
use saddlerelay_control_client::GatewayError;
use saddlerelay_types::gateway::{GatewayReply, GatewayRequest};
use saddlerelay_types::job::JobId;
use saddlerelay_types::tenancy::Caller;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest time for a call, beside the time that it waits for results.
const CALL_LIMIT: Duration = Duration::from_millis(2_400);

/// Longest wait for one control replica, beside the time that it waits for results.
const ATTEMPT_LIMIT: Duration = Duration::from_millis(800);

/// Longest wait for the leader's word and for the nearest replica, beside the time that it waits for results.
const NEAREST_LIMIT: Duration = Duration::from_millis(350);

/// Longest wait for results at the nearest replica: what it does not get to know in that time, the leader is asked for.
const LONGEST_WAIT: Duration = Duration::from_millis(500);

/// How long a replica that did not answer is not asked.
const PASSED_OVER: Duration = Duration::from_millis(1_500);

impl Gateway {
    /// Reads a job's results from position `after` on, waiting for one for at most `wait`.
    pub async fn read_results(
        &self,
        job: JobId,
        after: u64,
        wait: Duration,
        caller: Caller,
    ) -> Result<GatewayReply, GatewayError> {
        let until = self.now() + wait;
        if let Some(nearest) = self.nearest_replica()
            && let Some(reply) = self.read_nearest(nearest, &job, after, wait.min(LONGEST_WAIT), &caller).await
        {
            self.inner.metrics.results_read_nearby.inc();
            return Ok(reply);
        }
        let wait = until.saturating_sub(self.now());
        let question = GatewayRequest::ReadResults { job, after, wait_ms: wait.as_millis() as u64, caller };
        self.inner.control.gateway(question, CALL_LIMIT + wait, ATTEMPT_LIMIT + wait).await
    }

    /// The replica in the own zone, unless it leads or has not answered lately.
    fn nearest_replica(&self) -> Option<SocketAddr> {
        let inner = &self.inner;
        let nearest = inner.nearest_replica.get().filter(|nearest| inner.control.current_address() != Some(*nearest));
        nearest.filter(|_| self.now() >= inner.nearest_passed_over_until.get())
    }

    /// A page that holds results, or that of a job with nothing more to come; `None` when the leader has to be asked.
    async fn read_nearest(
        &self,
        nearest: SocketAddr,
        job: &JobId,
        after: u64,
        wait: Duration,
        caller: &Caller,
    ) -> Option<GatewayReply> {
        let inner = &self.inner;
        let position = inner.control.gateway(GatewayRequest::ReadPosition, NEAREST_LIMIT, NEAREST_LIMIT).await;
        let Ok(GatewayReply::Position(position)) = position else {
            return None;
        };
        let wait_ms = wait.as_millis() as u64;
        let (job, caller) = (job.clone(), caller.clone());
        let question = GatewayRequest::ReadResultsAt { position, job, after, wait_ms, caller };
        let answer = inner.control.gateway_at(nearest, question, NEAREST_LIMIT + wait).await;
        if answer.is_none() {
            inner.nearest_passed_over_until.set(self.now() + PASSED_OVER);
        }
        match answer {
            Some(GatewayReply::Results(page)) if !page.results.is_empty() => Some(GatewayReply::Results(page)),
            _ => None,
        }
    }
}
