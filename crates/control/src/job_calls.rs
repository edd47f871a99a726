//! Answers about batch jobs: handing in, reading results and bodies, ending.

use crate::node::ControlNode;
use crate::state::ControlState;
use crate::state::jobs::Job;
use crate::state::text_archive::{LoadedTexts, TextPlace};
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_types::gateway::{GatewayCommand, GatewayReply};
use saddlerelay_types::job::{ItemId, JobId, JobSubmission};
use saddlerelay_types::protocol::ControlReply;
use saddlerelay_types::tenancy::Caller;
use std::collections::BTreeSet;
use std::time::Duration;

/// The longest that a read of results is held open.
const LONGEST_READ_WAIT: Duration = Duration::from_millis(1_000);

/// Longest wait for a replica to apply what the leader has committed.
const CATCH_UP_LIMIT: Duration = Duration::from_millis(250);

/// Pause between looks at how far a replica has applied the log.
const CATCH_UP_POLL: Duration = Duration::from_millis(4);

/// Pause between looks for a result at a replica that does not lead: nothing wakes whoever waits there.
const RESULT_POLL: Duration = Duration::from_millis(25);

/// Attempts to make a page of results: while some of its texts are read from disk, others may leave memory.
const PAGE_ATTEMPTS: usize = 4;

impl<P: Runtime, B: Backends> ControlNode<P, B> {
    pub(crate) async fn submit_job(&self, job: JobSubmission) -> ControlReply {
        let known = self.read(|state| state.jobs.get(&job.id).map(|known| known.submission.owner == job.owner));
        let keep_ms = self.inner.config.job_keep.as_millis() as u64;
        match known {
            None => self.not_leader(),
            Some(None) => self.execute_gateway(GatewayCommand::SubmitJob { job, keep_ms }).await,
            Some(Some(true)) => ControlReply::Gateway(GatewayReply::Done),
            // Another tenant has a job of this name.
            Some(Some(false)) => ControlReply::Gateway(GatewayReply::NotFound),
        }
    }

    /// Answers as soon as there is a result at `after`, or after a while.
    pub(crate) async fn read_results(&self, job: &JobId, after: u64, wait_ms: u64, caller: &Caller) -> ControlReply {
        let platform = &self.inner.platform;
        let until = platform.monotonic() + Duration::from_millis(wait_ms).min(LONGEST_READ_WAIT);
        loop {
            let seen = self.inner.job_results.count();
            let Some(has_more) = self.read(|state| has_more_results(state, job, after, caller)) else {
                return self.not_leader();
            };
            let Some(has_more) = has_more else {
                return ControlReply::Gateway(GatewayReply::NotFound);
            };
            let left = until.saturating_sub(platform.monotonic());
            if left.is_zero() || has_more {
                return self.read_page(job, after).await;
            }
            timeout(platform, left, self.inner.job_results.changed(seen)).await;
        }
    }

    /// Answers at a replica that need not lead, from what it has applied, as soon as that goes as far as `position` and
    /// there is a result at `after`. A job that it does not know may be one that it has not heard of.
    pub(crate) async fn read_results_at(
        &self,
        position: u64,
        job: &JobId,
        after: u64,
        wait_ms: u64,
        caller: &Caller,
    ) -> ControlReply {
        let platform = &self.inner.platform;
        let caught_up_by = platform.monotonic() + CATCH_UP_LIMIT;
        while self.inner.replica.applied_index() < position {
            if platform.monotonic() >= caught_up_by {
                return ControlReply::Gateway(GatewayReply::Unavailable);
            }
            platform.sleep(CATCH_UP_POLL).await;
        }
        let until = platform.monotonic() + Duration::from_millis(wait_ms).min(LONGEST_READ_WAIT);
        loop {
            let Some(has_more) = self.read_applied(|state| has_more_results(state, job, after, caller)) else {
                return ControlReply::Gateway(GatewayReply::Unavailable);
            };
            if has_more || platform.monotonic() >= until {
                return self.read_page(job, after).await;
            }
            platform.sleep(RESULT_POLL).await;
        }
    }

    /// A page of results as this replica has applied them; texts that memory no longer holds are read from its disk.
    async fn read_page(&self, job: &JobId, after: u64) -> ControlReply {
        let mut loaded = LoadedTexts::default();
        for _ in 0..PAGE_ATTEMPTS {
            let missing = match self.read_applied(|state| state.jobs.page(job, after, &loaded)) {
                None => return ControlReply::Gateway(GatewayReply::Unavailable),
                Some(Ok(page)) => return ControlReply::Gateway(GatewayReply::Results(page)),
                Some(Err(missing)) => missing,
            };
            // One segment at a time: a page may take texts from many, and many may read.
            for number in missing.iter().map(TextPlace::segment).collect::<BTreeSet<u64>>() {
                match self.inner.replica.read_segment(number).await {
                    Ok(bytes) => loaded.take_from(number, &bytes, &missing),
                    // The replica has logged why.
                    Err(_) => return ControlReply::Gateway(GatewayReply::Unavailable),
                }
            }
        }
        ControlReply::Gateway(GatewayReply::Unavailable)
    }

    pub(crate) fn read_body(&self, job: &JobId, item: &ItemId, caller: &Caller) -> ControlReply {
        let body = self.read(|state| {
            usable_job(state, job, caller)?;
            state.jobs.body(job, item).map(<[u8]>::to_vec)
        });
        self.reply(body.map(|body| body.map_or(GatewayReply::NotFound, GatewayReply::Body)))
    }

    pub(crate) async fn end_job(&self, job: JobId, caller: &Caller) -> ControlReply {
        let standing = self.read(|state| usable_job(state, &job, caller).map(Job::is_ended));
        match standing {
            None => self.not_leader(),
            Some(None) => ControlReply::Gateway(GatewayReply::NotFound),
            Some(Some(true)) => ControlReply::Gateway(GatewayReply::Done),
            Some(Some(false)) => self.execute_gateway(GatewayCommand::EndJob(job)).await,
        }
    }
}

/// A job, if there is such a one that the caller may use: nobody learns that another tenant has one of that name.
fn usable_job<'a>(state: &'a ControlState, job: &JobId, caller: &Caller) -> Option<&'a Job> {
    state.jobs.get(job).filter(|job| caller.may_use(job.submission.owner.as_ref()))
}

/// Whether a read of a job's results from `after` on brings all it ever will, or something; `None` without such a job.
fn has_more_results(state: &ControlState, job: &JobId, after: u64, caller: &Caller) -> Option<bool> {
    usable_job(state, job, caller).map(|job| job.is_ended() || job.results().len() as u64 > after)
}
