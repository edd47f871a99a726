//! Requests about batch jobs: submission, reading results and bodies, ending.

use crate::large_replies::Content;
use crate::node::ControlNode;
use crate::state::ControlState;
use crate::state::jobs::Job;
use crate::state::text_archive::{LoadedTexts, SEGMENT_BYTES, TextLocation};
use saddlerelay_rpc::reply_memory::Reservation;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_types::gateway::{GatewayCommand, GatewayReply};
use saddlerelay_types::job::{ItemId, JobId, JobSubmission};
use saddlerelay_types::protocol::ControlReply;
use saddlerelay_types::tenancy::Caller;
use std::collections::BTreeSet;
use std::time::Duration;

/// Maximum time that a read of results is held open (long poll).
const MAX_READ_WAIT: Duration = Duration::from_millis(1_000);

/// Maximum time until a replica has applied the log up to the requested position.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(250);

/// Pause between checks of the applied position.
const CATCH_UP_POLL: Duration = Duration::from_millis(4);

/// Pause between checks for results at a follower, where no signal announces them.
const RESULT_POLL: Duration = Duration::from_millis(25);

/// Maximum time to build a page of results: the callers' timeout of a read.
const PAGE_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum attempts to build a page of results: texts may be evicted from memory while others are read from disk.
const MAX_PAGE_ATTEMPTS: usize = 4;

impl<P: Runtime, B: Backends> ControlNode<P, B> {
    pub(crate) async fn submit_job(&self, job: JobSubmission) -> ControlReply {
        let has_same_owner =
            self.read(|state| state.jobs.get(&job.id).map(|existing| existing.submission.owner == job.owner));
        let keep_ms = self.inner.config.job_retention.as_millis() as u64;
        match has_same_owner {
            None => self.not_leader(),
            Some(None) => self.execute_gateway(GatewayCommand::SubmitJob { job, keep_ms }).await,
            Some(Some(true)) => ControlReply::Gateway(GatewayReply::Done),
            // The id belongs to a job of another tenant.
            Some(Some(false)) => ControlReply::Gateway(GatewayReply::NotFound),
        }
    }

    /// Reads results at the leader. Replies when there is a result at `after`, when the job has ended, or after
    /// `wait_ms`.
    pub(crate) async fn read_results(
        &self,
        job: &JobId,
        after: u64,
        wait_ms: u64,
        caller: &Caller,
        reservation: &mut Option<Reservation>,
    ) -> ControlReply {
        let platform = &self.inner.platform;
        let deadline = platform.monotonic() + Duration::from_millis(wait_ms).min(MAX_READ_WAIT);
        loop {
            let notified_count = self.inner.job_results.count();
            let Some(has_more) = self.read(|state| has_more_results(state, job, after, caller)) else {
                return self.not_leader();
            };
            let Some(has_more) = has_more else {
                return ControlReply::Gateway(GatewayReply::NotFound);
            };
            let remaining = deadline.saturating_sub(platform.monotonic());
            if remaining.is_zero() || has_more {
                return self.read_page(job, after, reservation).await;
            }
            timeout(platform, remaining, self.inner.job_results.changed(notified_count)).await;
        }
    }

    /// Reads results at any replica once it has applied the log up to `position`. Replies when there is a result at
    /// `after`, when the job has ended, or after `wait_ms`. An unknown job gives `Unavailable`, as its submission may
    /// not be applied yet.
    pub(crate) async fn read_results_at(
        &self,
        position: u64,
        job: &JobId,
        after: u64,
        wait_ms: u64,
        caller: &Caller,
        reservation: &mut Option<Reservation>,
    ) -> ControlReply {
        let platform = &self.inner.platform;
        let catch_up_deadline = platform.monotonic() + CATCH_UP_TIMEOUT;
        while self.inner.replica.applied_index() < position {
            if platform.monotonic() >= catch_up_deadline {
                return ControlReply::Gateway(GatewayReply::Unavailable);
            }
            platform.sleep(CATCH_UP_POLL).await;
        }
        let deadline = platform.monotonic() + Duration::from_millis(wait_ms).min(MAX_READ_WAIT);
        loop {
            let Some(has_more) = self.read_applied(|state| has_more_results(state, job, after, caller)) else {
                return ControlReply::Gateway(GatewayReply::Unavailable);
            };
            if has_more || platform.monotonic() >= deadline {
                return self.read_page(job, after, reservation).await;
            }
            platform.sleep(RESULT_POLL).await;
        }
    }

    /// A page of results from the locally applied state; texts evicted from memory are read from disk.
    async fn read_page(&self, job: &JobId, after: u64, reservation: &mut Option<Reservation>) -> ControlReply {
        let bytes = self.read_applied(|state| state.jobs.page_bytes(job, after)).unwrap_or_default();
        if !self.reserve_reply(reservation, Content::Results, bytes, SEGMENT_BYTES).await {
            return ControlReply::Gateway(GatewayReply::Unavailable);
        }
        let page = timeout(&self.inner.platform, PAGE_TIMEOUT, self.load_page(job, after)).await;
        page.unwrap_or(ControlReply::Gateway(GatewayReply::Unavailable))
    }

    async fn load_page(&self, job: &JobId, after: u64) -> ControlReply {
        let mut loaded = LoadedTexts::default();
        for _ in 0..MAX_PAGE_ATTEMPTS {
            let missing = match self.read_applied(|state| state.jobs.page(job, after, &loaded)) {
                None => return ControlReply::Gateway(GatewayReply::Unavailable),
                Some(Ok(page)) => return ControlReply::Gateway(GatewayReply::Results(page)),
                Some(Err(missing)) => missing,
            };
            // One segment at a time limits memory, as a page may need many segments and many reads may run.
            for number in missing.iter().map(TextLocation::segment).collect::<BTreeSet<u64>>() {
                match self.inner.replica.read_segment(number).await {
                    Ok(bytes) => loaded.copy_from_segment(number, &bytes, &missing),
                    // The replica has logged the error.
                    Err(_) => return ControlReply::Gateway(GatewayReply::Unavailable),
                }
            }
        }
        ControlReply::Gateway(GatewayReply::Unavailable)
    }

    pub(crate) fn read_body(&self, job: &JobId, item: &ItemId, caller: &Caller) -> ControlReply {
        let body = self.read(|state| {
            job_for_caller(state, job, caller)?;
            state.jobs.body(job, item).map(<[u8]>::to_vec)
        });
        self.reply(body.map(|body| body.map_or(GatewayReply::NotFound, GatewayReply::Body)))
    }

    pub(crate) async fn end_job(&self, job: JobId, caller: &Caller) -> ControlReply {
        let is_ended = self.read(|state| job_for_caller(state, &job, caller).map(Job::is_ended));
        match is_ended {
            None => self.not_leader(),
            Some(None) => ControlReply::Gateway(GatewayReply::NotFound),
            Some(Some(true)) => ControlReply::Gateway(GatewayReply::Done),
            Some(Some(false)) => self.execute_gateway(GatewayCommand::EndJob(job)).await,
        }
    }
}

/// A job that the caller may use. Jobs of other tenants are reported as missing.
fn job_for_caller<'a>(state: &'a ControlState, job: &JobId, caller: &Caller) -> Option<&'a Job> {
    state.jobs.get(job).filter(|job| caller.may_use(job.submission.owner.as_ref()))
}

/// Whether a read of results from position `after` on can be answered now: there are more results, or the job has
/// ended. `None` if the caller has no such job.
fn has_more_results(state: &ControlState, job: &JobId, after: u64, caller: &Caller) -> Option<bool> {
    job_for_caller(state, job, caller).map(|job| job.is_ended() || job.results().len() as u64 > after)
}
