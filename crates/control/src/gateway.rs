//! Answers about routed requests, engine instances, named versions, batch jobs and store machines.

use crate::node::ControlNode;
use crate::state::ControlState;
use crate::state::jobs::Job;
use crate::state::stores::Retirement;
use crate::state::text_archive::{LoadedTexts, TextPlace};
use saddlerelay_replication::ProposeError;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_runtime::signal::Signal;
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_types::gateway::{
    DutyOverview, EnginePlace, EngineStanding, FollowReply, FollowRequest, GatewayCommand, GatewayOutcome,
    GatewayReply, GatewayRequest, StoreRecord,
};
use saddlerelay_types::instance::{InstanceId, InstanceReport, LoadedModel};
use saddlerelay_types::job::{ItemId, JobId, JobSubmission};
use saddlerelay_types::protocol::{Command, CommandOutcome, ControlReply};
use saddlerelay_types::routing::RoutingDocument;
use saddlerelay_types::tenancy::Caller;
use saddlerelay_types::usage::RelayUsage;
use std::collections::BTreeSet;
use std::net::SocketAddr;
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

/// Silence after which a machine is not counted among those that are left when another is to be emptied.
const STORE_SILENCE_MS: u64 = 1_000;

/// Whether relays would act differently after `command`.
pub(crate) fn changes_what_relays_act_on(command: &GatewayCommand) -> bool {
    matches!(
        command,
        GatewayCommand::PutRouting(_) | GatewayCommand::ReportInstance(_) | GatewayCommand::RemoveInstance(_)
    )
}

/// Whether `command` changes what batch jobs are to do, and whether it changes what can be read of them.
pub(crate) fn effect_on_jobs(command: &GatewayCommand) -> (bool, bool) {
    match command {
        GatewayCommand::ListResults { .. } => (false, true),
        GatewayCommand::EndJob(_) => (true, true),
        GatewayCommand::SubmitJob { .. } | GatewayCommand::NameVersion(_) => (true, false),
        other => (changes_what_relays_act_on(other), false),
    }
}

impl<P: Runtime, B: Backends> ControlNode<P, B> {
    pub(crate) async fn answer_gateway(&self, request: GatewayRequest) -> ControlReply {
        match request {
            GatewayRequest::Follow(follow) => self.follow(follow).await,
            GatewayRequest::ReportInstance(report) => self.report_instance(report).await,
            GatewayRequest::RemoveInstance(id) => self.remove_instance(id).await,
            GatewayRequest::PutRouting(document) => self.put_routing(document).await,
            GatewayRequest::ReadRouting => self.read_routing(),
            GatewayRequest::NameVersion(named) => self.name_version(named).await,
            GatewayRequest::SubmitJob(job) => self.submit_job(job).await,
            GatewayRequest::ReadResults { job, after, wait_ms, caller } => {
                self.read_results(&job, after, wait_ms, &caller).await
            }
            GatewayRequest::ReadPosition => self.reply(self.inner.replica.read_position().map(GatewayReply::Position)),
            GatewayRequest::ReadResultsAt { position, job, after, wait_ms, caller } => {
                self.read_results_at(position, &job, after, wait_ms, &caller).await
            }
            GatewayRequest::ReadBody { job, item, caller } => self.read_body(&job, &item, &caller),
            GatewayRequest::EndJob { job, caller } => self.end_job(job, &caller).await,
            GatewayRequest::RegisterStore(record) => self.register_store(record).await,
            GatewayRequest::RetireStore(name) => self.retire_store(name).await,
            GatewayRequest::ReadRetirement(name) => self.read_retirement(&name),
            GatewayRequest::ReadDuties => self.read_duties(),
        }
    }

    fn reply(&self, reply: Option<GatewayReply>) -> ControlReply {
        reply.map_or_else(|| self.not_leader(), ControlReply::Gateway)
    }

    /// Commits a gateway command.
    pub async fn commit_gateway(&self, command: GatewayCommand) -> Result<GatewayOutcome, ProposeError> {
        match self.commit(Command::Gateway(command)).await? {
            CommandOutcome::Gateway(outcome) => Ok(outcome),
            _ => unreachable!("a gateway command has a gateway outcome"),
        }
    }

    async fn execute_gateway(&self, command: GatewayCommand) -> ControlReply {
        match self.commit_gateway(command).await {
            Ok(GatewayOutcome::NotFound) => ControlReply::Gateway(GatewayReply::NotFound),
            Ok(GatewayOutcome::Done | GatewayOutcome::TextMissing(_) | GatewayOutcome::Orders { .. }) => {
                ControlReply::Gateway(GatewayReply::Done)
            }
            Err(ProposeError::NotLeader(leader)) => ControlReply::NotLeader { leader },
            Err(ProposeError::Overloaded) => ControlReply::Gateway(GatewayReply::Unavailable),
            Err(ProposeError::Undecided) => ControlReply::Undecided,
        }
    }

    /// Answers as soon as there is something new, or after a while.
    async fn follow(&self, mut follow: FollowRequest) -> ControlReply {
        let platform = &self.inner.platform;
        self.inner.group_clock.borrow_mut().hear(&follow.relay, follow.unix_ms, platform.monotonic());
        if let Some(difference) = follow.usage.take() {
            self.take_usage(RelayUsage { relay: follow.incarnation, difference });
        }
        let until = platform.monotonic() + self.inner.config.renewal_wait;
        loop {
            let seen = self.inner.news.count();
            let Some(reply) = self.read(|state| self.follow_reply(state, &follow)) else {
                return self.not_leader();
            };
            let left = until.saturating_sub(platform.monotonic());
            if left.is_zero() || brings_news(&reply, &follow) {
                return ControlReply::Gateway(GatewayReply::Followed(reply));
            }
            timeout(platform, left, self.inner.news.changed(seen)).await;
        }
    }

    /// Takes a relay's counts, unless they are committed or wait already.
    fn take_usage(&self, usage: RelayUsage) {
        let committed = self.read(|state| state.usage.taken_from(usage.relay) >= usage.difference.sequence);
        let mut inbox = self.inner.usage_inbox.borrow_mut();
        if committed == Some(false) && !inbox.contains(&usage) {
            inbox.push(usage);
        }
    }

    /// The time of day that most machines agree on, in Unix milliseconds; `None` until relays have been heard for a while.
    pub fn group_unix_ms(&self) -> Option<u64> {
        let platform = &self.inner.platform;
        self.inner.group_clock.borrow().unix_ms(platform.unix_milliseconds(), platform.monotonic())
    }

    fn follow_reply(&self, state: &ControlState, follow: &FollowRequest) -> FollowReply {
        let mut updates = self.inner.routing_updates.borrow_mut();
        let routing = state.routing.current().and_then(|current| updates.update(current, follow.routing_version));
        let replicas = self.inner.replica.member_addresses();
        let nearest_replica = nearest_replica(state, &replicas, follow);
        FollowReply {
            lease_ms: self.inner.config.follow_lease.as_millis() as u64,
            routing,
            instance_revision: state.instances.revision(),
            instances: state.instances.changed_after(follow.instance_revision),
            silent: self.silent_instances(state),
            replicas,
            nearest_replica,
            group_unix_ms: self.group_unix_ms(),
            usage_taken: state.usage.taken_from(follow.incarnation),
        }
    }

    /// Ready instances whose reports have ceased.
    pub fn silent_instances(&self, state: &ControlState) -> Vec<InstanceId> {
        let now = self.inner.platform.monotonic();
        self.follow_instance_term(now);
        self.inner.instance_watch.borrow().silent(&state.instances, now, self.inner.config.instance_silence)
    }

    /// Notified when batch jobs, engines or routes change.
    pub fn job_work(&self) -> &Signal {
        &self.inner.job_work
    }

    /// What an instance last told this leader that it has loaded, and when.
    pub fn reported_models(&self, id: &InstanceId) -> Option<(Duration, Vec<LoadedModel>)> {
        let watch = self.inner.instance_watch.borrow();
        watch.models(id).map(|(at, models)| (at, models.to_vec()))
    }

    fn follow_instance_term(&self, now: Duration) {
        if let Some(term) = self.inner.replica.leading_term() {
            self.inner.instance_watch.borrow_mut().follow_term(term, now);
        }
    }

    async fn report_instance(&self, report: InstanceReport) -> ControlReply {
        let now = self.inner.platform.monotonic();
        let Some(news) = self.read(|state| state.instances.is_news(&report)) else {
            return self.not_leader();
        };
        self.follow_instance_term(now);
        self.inner.instance_watch.borrow_mut().hear(&report, now);
        if !news {
            return ControlReply::Gateway(GatewayReply::Done);
        }
        self.execute_gateway(GatewayCommand::ReportInstance(report)).await
    }

    async fn remove_instance(&self, id: InstanceId) -> ControlReply {
        self.execute_gateway(GatewayCommand::RemoveInstance(id)).await
    }

    async fn put_routing(&self, document: RoutingDocument) -> ControlReply {
        if let Some(error) = document.error() {
            return ControlReply::Gateway(GatewayReply::InvalidRouting(error));
        }
        let overtaken = self.read(|state| state.routing.version().is_some_and(|held| document.version <= held));
        match overtaken {
            None => self.not_leader(),
            Some(true) => ControlReply::Gateway(GatewayReply::Done),
            Some(false) => self.execute_gateway(GatewayCommand::PutRouting(document)).await,
        }
    }

    fn read_routing(&self) -> ControlReply {
        let source = self.read(|state| state.routing.current().map(|document| document.source.clone()));
        self.reply(source.map(GatewayReply::Routing))
    }

    async fn name_version(&self, named: LoadedModel) -> ControlReply {
        let held =
            self.read(|state| state.weights.named().get(&named.model).is_some_and(|held| *held >= named.version));
        match held {
            None => self.not_leader(),
            Some(true) => ControlReply::Gateway(GatewayReply::Done),
            Some(false) => self.execute_gateway(GatewayCommand::NameVersion(named)).await,
        }
    }

    async fn submit_job(&self, job: JobSubmission) -> ControlReply {
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
    async fn read_results(&self, job: &JobId, after: u64, wait_ms: u64, caller: &Caller) -> ControlReply {
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
    async fn read_results_at(
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

    fn read_body(&self, job: &JobId, item: &ItemId, caller: &Caller) -> ControlReply {
        let body = self.read(|state| {
            usable_job(state, job, caller)?;
            state.jobs.body(job, item).map(<[u8]>::to_vec)
        });
        self.reply(body.map(|body| body.map_or(GatewayReply::NotFound, GatewayReply::Body)))
    }

    async fn end_job(&self, job: JobId, caller: &Caller) -> ControlReply {
        let standing = self.read(|state| usable_job(state, &job, caller).map(Job::is_ended));
        match standing {
            None => self.not_leader(),
            Some(None) => ControlReply::Gateway(GatewayReply::NotFound),
            Some(Some(true)) => ControlReply::Gateway(GatewayReply::Done),
            Some(Some(false)) => self.execute_gateway(GatewayCommand::EndJob(job)).await,
        }
    }

    async fn register_store(&self, record: StoreRecord) -> ControlReply {
        match self.read(|state| state.stores.holds(&record)) {
            None => self.not_leader(),
            Some(true) => ControlReply::Gateway(GatewayReply::Done),
            Some(false) => self.execute_gateway(GatewayCommand::RegisterStore(record)).await,
        }
    }

    async fn retire_store(&self, name: String) -> ControlReply {
        let standing = self.read(|state| state.stores.get(&name).map(|store| (store.retirement, store.record.clone())));
        match standing {
            None => self.not_leader(),
            Some(None) => ControlReply::Gateway(GatewayReply::NotFound),
            Some(Some((Retirement::None, record))) if !self.enough_without(&record) => {
                ControlReply::Gateway(GatewayReply::TooFew)
            }
            Some(Some((Retirement::None, _))) => self.execute_gateway(GatewayCommand::RetireStore(name)).await,
            Some(Some(_)) => ControlReply::Gateway(GatewayReply::Done),
        }
    }

    /// Whether as many replicas as the group wants would be left without this machine.
    fn enough_without(&self, record: &StoreRecord) -> bool {
        let Some(view) = self.inner.replica.view() else {
            return false;
        };
        let unwanted: Vec<_> = self.read(|state| state.stores.unwanted_replicas().collect()).unwrap_or_default();
        let counts = |replica: &&saddlerelay_types::protocol::ReplicaView| {
            replica.heard_milliseconds_ago < STORE_SILENCE_MS
                && replica.id != record.replica
                && !unwanted.contains(&replica.id)
        };
        view.replicas.iter().filter(counts).count() >= self.inner.replica.target_voters()
    }

    fn read_duties(&self) -> ControlReply {
        let overview = self.read(|state| {
            let silent = self.silent_instances(state);
            let standing = |(place, wanted): (&EnginePlace, &u32)| EngineStanding {
                place: place.clone(),
                wanted: *wanted,
                present: state.instances.present(place, &silent),
            };
            DutyOverview {
                leader: self.inner.replica.id(),
                holder: state.orders.holder(),
                newest_reported: state.usage.newest_reported(),
                unreported: state.usage.unreported().map(|report| report.window).collect(),
                uncounted: state.usage.uncounted(),
                engines: state.engine_counts.wanted().iter().map(standing).collect(),
            }
        });
        self.reply(overview.map(GatewayReply::Duties))
    }

    fn read_retirement(&self, name: &str) -> ControlReply {
        let retirement = self.read(|state| state.stores.get(name).map(|store| store.retirement));
        let reply = retirement.map(|retirement| match retirement {
            None | Some(Retirement::None) => GatewayReply::NotFound,
            Some(Retirement::Running) => GatewayReply::Retirement { completed: false },
            Some(Retirement::Completed) => GatewayReply::Retirement { completed: true },
        });
        self.reply(reply)
    }
}

/// A member in the relay's zone; relays of one zone are shared out among several.
fn nearest_replica(state: &ControlState, members: &[SocketAddr], follow: &FollowRequest) -> Option<SocketAddr> {
    let near: Vec<SocketAddr> =
        state.stores.addresses_in(&follow.zone).filter(|address| members.contains(address)).collect();
    let hash = xxhash_rust::xxh3::xxh3_64(follow.relay.as_bytes());
    near.get(hash as usize % near.len().max(1)).copied()
}

/// A job, if there is such a one that the caller may use: nobody learns that another tenant has one of that name.
fn usable_job<'a>(state: &'a ControlState, job: &JobId, caller: &Caller) -> Option<&'a Job> {
    state.jobs.get(job).filter(|job| caller.may_use(job.submission.owner.as_ref()))
}

/// Whether a read of a job's results from `after` on brings all it ever will, or something; `None` without such a job.
fn has_more_results(state: &ControlState, job: &JobId, after: u64, caller: &Caller) -> Option<bool> {
    usable_job(state, job, caller).map(|job| job.is_ended() || job.results().len() as u64 > after)
}

fn brings_news(reply: &FollowReply, follow: &FollowRequest) -> bool {
    reply.routing.is_some() || reply.instance_revision != follow.instance_revision || reply.silent != follow.silent
}
