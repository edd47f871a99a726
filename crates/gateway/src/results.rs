//! Reads results of batch jobs, preferably from a control replica in the relay's own zone.
//!
//! These are linearizable follower reads: the leader returns its commit position, and the replica answers once it has
//! applied the log up to that position. Only the position crosses zones, not the results.

use crate::gateway::Gateway;
use saddlerelay_control_client::GatewayError;
use saddlerelay_types::gateway::{GatewayReply, GatewayRequest};
use saddlerelay_types::job::JobId;
use saddlerelay_types::tenancy::Caller;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a read from the leader, including retries; excludes the long-poll wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_400);

/// Timeout of one attempt of a read from the leader; excludes the long-poll wait.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout of the request for the leader's commit position, and of the read from the nearest replica; excludes the
/// long-poll wait.
const NEAREST_TIMEOUT: Duration = Duration::from_millis(350);

/// Longest long-poll wait at the nearest replica, after which the leader is read instead.
const NEAREST_MAX_WAIT: Duration = Duration::from_millis(500);

/// How long the nearest replica is skipped after it failed to respond.
const NEAREST_SKIP_TIME: Duration = Duration::from_millis(1_500);

impl Gateway {
    /// Reads a job's results from position `after`; long-polls for at most `wait` if there are none.
    pub async fn read_results(
        &self,
        job: JobId,
        after: u64,
        wait: Duration,
        caller: Caller,
    ) -> Result<GatewayReply, GatewayError> {
        let wait_until = self.now() + wait;
        if let Some(nearest) = self.nearest_replica()
            && let Some(reply) = self.read_nearest(nearest, &job, after, wait.min(NEAREST_MAX_WAIT), &caller).await
        {
            self.inner.metrics.results_read_in_zone.inc();
            return Ok(reply);
        }
        let wait = wait_until.saturating_sub(self.now());
        let request = GatewayRequest::ReadResults { job, after, wait_ms: wait.as_millis() as u64, caller };
        self.inner.control.gateway(request, CALL_TIMEOUT + wait, ATTEMPT_TIMEOUT + wait).await
    }

    /// The replica in the relay's zone, unless it is the current leader or is being skipped.
    fn nearest_replica(&self) -> Option<SocketAddr> {
        let inner = &self.inner;
        let nearest = inner.nearest_replica.get().filter(|nearest| inner.control.current_address() != Some(*nearest));
        nearest.filter(|_| self.now() >= inner.nearest_skipped_until.get())
    }

    /// Reads from the nearest replica. Returns `None` if the read failed or the page is empty; the caller then reads
    /// from the leader.
    async fn read_nearest(
        &self,
        nearest: SocketAddr,
        job: &JobId,
        after: u64,
        wait: Duration,
        caller: &Caller,
    ) -> Option<GatewayReply> {
        let inner = &self.inner;
        let position = inner.control.gateway(GatewayRequest::ReadIndex, NEAREST_TIMEOUT, NEAREST_TIMEOUT).await;
        let Ok(GatewayReply::Position(position)) = position else {
            return None;
        };
        let wait_ms = wait.as_millis() as u64;
        let (job, caller) = (job.clone(), caller.clone());
        let request = GatewayRequest::ReadResultsAt { position, job, after, wait_ms, caller };
        let reply = inner.control.call_replica(nearest, request, NEAREST_TIMEOUT + wait).await;
        if reply.is_none() {
            inner.nearest_skipped_until.set(self.now() + NEAREST_SKIP_TIME);
        }
        match reply {
            Some(GatewayReply::Results(page)) if !page.results.is_empty() => Some(GatewayReply::Results(page)),
            _ => None,
        }
    }
}
