//! Messages and log commands for request routing, engine instances, published weight versions and batch jobs.

use crate::identity::{Fence, Incarnation, ReplicaId};
use crate::instance::{InstanceId, InstanceReport, InstanceUpdate, LoadedModel, ReportBatch};
use crate::job::{ItemId, ItemOutcome, JobId, JobSubmission, ResultPage, TextPart};
use crate::routing::{RoutingDocument, RoutingError};
use crate::routing_update::EncodedRoutingUpdate;
use crate::suspicion::{HeldTrial, Retrial, SuspicionList, TrialId, TrialLease, TrialResult, WorkEvidence};
use crate::tenancy::Caller;
use crate::usage::{RelayUsage, UsageDelta, UsageWindow};
use crate::work::WorkDigest;
use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A request to the control group's leader.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum GatewayRequest {
    /// A relay polls for state newer than its own; each poll renews its lease.
    Follow(FollowRequest),
    /// A status report sent by one engine instance.
    ReportInstance(InstanceReport),
    /// A batch of instance reports collected by one machine.
    ReportInstances(ReportBatch),
    /// A follower that serves relays requests the leader's commit index and forwards the clock readings and usage
    /// counts that relays have sent to it.
    Confirm(RelayData),
    /// An engine instance deregisters.
    RemoveInstance(InstanceId),
    /// Replaces the routing document.
    PutRouting(RoutingDocument),
    /// Reads the source of the newest routing document.
    ReadRouting,
    /// A trainer publishes a new weight version of a model.
    PublishVersion(LoadedModel),
    /// Submits a batch job.
    SubmitJob(JobSubmission),
    /// Reads results starting at a position.
    ReadResults {
        /// The job.
        job: JobId,
        /// The first position wanted, from 0.
        after: u64,
        /// The longest time to wait for a result, in milliseconds.
        wait_ms: u64,
        /// The caller, checked against the job's owner.
        caller: Caller,
    },
    /// Requests the leader's commit index, at which a replica can serve a linearizable read once it has applied
    /// the log up to it.
    ReadIndex,
    /// Reads results at a replica once it has applied the log up to the given index.
    ReadResultsAt {
        /// The log index, as returned for [`GatewayRequest::ReadIndex`].
        position: u64,
        /// The job.
        job: JobId,
        /// The first result wanted, from 0.
        after: u64,
        /// The longest time to wait for a result, in milliseconds.
        wait_ms: u64,
        /// The caller, checked against the job's owner.
        caller: Caller,
    },
    /// Reads the request body of an item that has no listed result yet.
    ReadBody {
        /// The job.
        job: JobId,
        /// The item.
        item: ItemId,
        /// The caller, checked against the job's owner.
        caller: Caller,
    },
    /// Cancels a job; its items are no longer run.
    EndJob {
        /// The job.
        job: JobId,
        /// The caller, checked against the job's owner.
        caller: Caller,
    },
    /// Registers a machine that stores the control group's data.
    RegisterStore(StoreRecord),
    /// Starts draining the storage machine of this name.
    RetireStore(String),
    /// Reads the drain status of the storage machine of this name.
    ReadRetirement(String),
    /// Reads the status of the leader's duties towards the platform: usage reports and engine counts.
    ReadDuties,
    /// A relay reports engine processes that terminated while running a request, or suspected work that completed.
    ReportEvidence(WorkEvidence),
    /// Requests a trial lease for suspected work.
    BeginTrial(TrialRequest),
    /// Renews trial leases; answered with [`GatewayReply::TrialsLost`].
    RenewTrials(Vec<HeldTrial>),
    /// Releases a trial lease.
    EndTrial {
        /// Digest of the suspected work.
        work: WorkDigest,
        /// The attempt that holds the trial lease.
        id: TrialId,
    },
    /// Reads the list of suspected work.
    ReadSuspicions,
    /// An operator clears the suspicion against a request.
    ReleaseWork(WorkDigest),
}

/// A relay's poll: the versions of the state that it holds.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FollowRequest {
    /// The relay's name, used in logs.
    pub relay: String,
    /// The relay's zone.
    pub zone: String,
    /// Version of the routing document in use; `None` before the first.
    pub routing_version: Option<u64>,
    /// Revision of the instance table in use.
    pub instance_revision: u64,
    /// Whether a follower may reply, because the leader has redirected the relay to it.
    pub at_follower: bool,
    /// Incarnation of the relay process.
    pub incarnation: Incarnation,
    /// The relay's wall clock when it sent the request, in Unix milliseconds.
    pub unix_ms: u64,
    /// Usage counted since the last delta that the relay sent; `None` if nothing was counted.
    pub usage: Option<UsageDelta>,
    /// Revision of the list of suspected work in use.
    pub suspicion_revision: u64,
}

/// Data from relays that a follower forwards to the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct RelayData {
    /// Wall clocks of the relays.
    pub clocks: Vec<RelayClock>,
    /// Usage counted by the relays.
    pub usage: Vec<RelayUsage>,
}

/// A relay's wall clock.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RelayClock {
    /// The relay's name.
    pub relay: String,
    /// The relay's wall clock when the follower forwarded it, in Unix milliseconds.
    pub unix_ms: u64,
}

/// State that is newer than the relay's.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct FollowReply {
    /// Lease length in milliseconds, counted by the relay from when it sent the request.
    pub lease_ms: u64,
    /// The update from the relay's routing document to the newest one; `None` if the relay's is current.
    pub routing: Option<EncodedRoutingUpdate>,
    /// Changes to the engine instances visible to the relay.
    pub instances: InstanceUpdate,
    /// The follower that the relay should poll from now on, as long as it responds; `None` for the leader.
    pub follower: Option<SocketAddr>,
    /// Delay before the relay polls another replica while there is no leader, in milliseconds; grows with the
    /// number of relays.
    pub retry_pause_ms: u32,
    /// Addresses of the control group's replicas.
    pub replicas: Vec<SocketAddr>,
    /// A replica in the relay's zone, if there is one.
    pub nearest_replica: Option<SocketAddr>,
    /// Wall-clock time agreed on by most machines when the reply was created, in Unix milliseconds; `None` if the
    /// leader has not determined it yet.
    pub group_unix_ms: Option<u64>,
    /// Sequence number of the newest committed usage delta of this relay incarnation; 0 if there is none.
    pub committed_usage_sequence: u64,
    /// The list of suspected work, if its revision differs from the relay's.
    pub suspicions: Option<SuspicionList>,
}

/// A reply of the control group.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum GatewayReply {
    /// The reply to [`GatewayRequest::Follow`].
    Followed(FollowReply),
    /// The request was carried out and its effect is durable.
    Done,
    /// The reports were accepted, but these instances sent only heartbeats and have no recorded report; the sender
    /// must send their full reports.
    ReportsMissing(Vec<InstanceId>),
    /// The routing document is not valid.
    InvalidRouting(RoutingError),
    /// The routing document's source; `None` before the first.
    Routing(Option<Vec<u8>>),
    /// The commit index.
    Position(u64),
    /// The reply to [`GatewayRequest::Confirm`].
    Confirmed {
        /// The commit index.
        position: u64,
        /// Wall-clock time agreed on by most machines, in Unix milliseconds; `None` if the leader has not
        /// determined it yet.
        group_unix_ms: Option<u64>,
        /// Number of relays that polled recently, at the leader or at a follower.
        relays: u32,
    },
    /// A page of a job's results.
    Results(ResultPage),
    /// The request body of an item.
    Body(Vec<u8>),
    /// The named object does not exist.
    NotFound,
    /// The drain is rejected because too few storage machines would remain.
    TooFew,
    /// Drain status of a storage machine.
    Retirement {
        /// Whether the drain is complete and the machine may be removed.
        completed: bool,
    },
    /// The status of the leader's duties towards the platform.
    Duties(DutyOverview),
    /// The list of suspected work.
    Suspicions(SuspicionList),
    /// The result of a request for a trial lease.
    Trial(TrialResult),
    /// The trial leases that could not be renewed because they are no longer held.
    TrialsLost(Vec<HeldTrial>),
    /// The request was not carried out and will not be; retry later.
    Unavailable,
}

/// Status of the leader's duties towards the platform: usage reports and engine counts.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct DutyOverview {
    /// The leader, which carries out the duties.
    pub leader: ReplicaId,
    /// The replica that issued the newest order.
    pub holder: Option<ReplicaId>,
    /// The newest usage window whose report the platform has accepted.
    pub newest_reported: Option<UsageWindow>,
    /// Closed usage windows that are not yet reported.
    pub unreported: Vec<UsageWindow>,
    /// Requests left uncounted because their counts arrived after their usage window was closed.
    pub uncounted: u64,
    /// Desired and available engines by service and zone.
    pub engines: Vec<EngineCountStatus>,
}

/// Desired and available engines of a service in a zone.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct EngineCountStatus {
    /// The service and zone.
    pub place: EnginePool,
    /// Desired number of engines.
    pub wanted: u32,
    /// Number of engines that send reports and accept work.
    pub present: u32,
}

/// Commands that the control group commits to its log.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum GatewayCommand {
    /// Replaces the routing document if the new version is higher.
    PutRouting(RoutingDocument),
    /// Records reports of instances.
    ReportInstances(Vec<InstanceReport>),
    /// Records that reports of instances have stopped or resumed.
    RecordSilence {
        /// Instances whose reports have stopped.
        silent: Vec<InstanceId>,
        /// Instances whose reports have resumed.
        resumed: Vec<InstanceId>,
    },
    /// Deregisters an instance.
    RemoveInstance(InstanceId),
    /// Records a published weight version of a model.
    PublishVersion(LoadedModel),
    /// Stores a submitted job.
    SubmitJob {
        /// The job.
        job: JobSubmission,
        /// Retention in milliseconds; an unfinished job is kept longer.
        keep_ms: u64,
    },
    /// Stores partial texts of running items.
    SaveTexts {
        /// The job.
        job: JobId,
        /// The partial texts.
        parts: Vec<TextPart>,
    },
    /// Appends results to the job's result list.
    ListResults {
        /// The job.
        job: JobId,
        /// Outcomes of items; an outcome of an item that is already listed is ignored.
        outcomes: Vec<ItemOutcome>,
    },
    /// Cancels a job; its items are no longer run.
    EndJob(JobId),
    /// Registers a machine that stores the control group's data.
    RegisterStore(StoreRecord),
    /// Starts draining a storage machine.
    RetireStore(String),
    /// Records that a storage machine is drained.
    StoreRetired(String),
    /// Records which replica may issue orders for the subjects, before it sends the orders.
    RecordOrderIntents {
        /// The replica that issues the orders.
        holder: ReplicaId,
        /// The subjects of the orders.
        subjects: Vec<OrderSubject>,
    },
    /// Adds usage counted by relays.
    AddUsage(Vec<RelayUsage>),
    /// Closes all usage windows up to and including this one.
    CloseUsageWindows(UsageWindow),
    /// Records that the platform accepted the report of a usage window.
    UsageReported(UsageWindow),
    /// Sets the desired numbers of engines.
    SetWantedEngines(Vec<WantedEngines>),
    /// Records evidence for or against suspected work.
    RecordEvidence(WorkEvidence),
    /// Grants an attempt a trial lease for suspected work.
    BeginTrial(TrialRequest),
    /// Renews trial leases.
    RenewTrials(Vec<HeldTrial>),
    /// Removes trial leases that have expired, unless they were renewed meanwhile.
    ExpireTrials(Vec<TrialLease>),
    /// Releases a trial lease.
    EndTrial {
        /// Digest of the suspected work.
        work: WorkDigest,
        /// The attempt that holds the trial lease.
        id: TrialId,
    },
    /// Removes expired suspicions; an expired quarantine is lowered to a suspicion.
    ExpireSuspicions,
    /// Clears the suspicion against a request.
    ReleaseWork(WorkDigest),
    /// Advances the group's uptime and removes the jobs that expire by it. Since feature level three.
    ExpireJobs(UptimeAdvance),
    /// Allows retrials of quarantined work. Since feature level four.
    AllowRetrials(Vec<Retrial>),
}

/// An advance of the group's uptime, by which ended jobs expire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct UptimeAdvance {
    /// Uptime from which the leader measured, in milliseconds. The advance has no effect at any other uptime.
    pub since_ms: u64,
    /// Time since then by the leader's monotonic clock, in milliseconds.
    pub elapsed_ms: u64,
    /// Uptime for which an ended job is kept, in milliseconds.
    pub keep_ms: u64,
}

/// A request for a trial lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TrialRequest {
    /// Digest of the suspected work.
    pub work: WorkDigest,
    /// The attempt that requests the trial lease.
    pub id: TrialId,
    /// The longest time that the attempt may take, in milliseconds.
    pub limit_ms: u64,
}

/// Subject of orders. Only one replica at a time may issue orders for a subject.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum OrderSubject {
    /// The engine of this name, in any incarnation, as an order may reach a later incarnation than intended.
    Engine(String),
    /// The usage reports of all windows.
    UsageReports,
    /// The number of engines of a service in a zone.
    EngineCount(EnginePool),
}

impl OrderSubject {
    /// The subject for an instance's engine.
    pub fn engine(instance: &InstanceId) -> Self {
        Self::Engine(instance.name.clone())
    }
}

/// Identifies the engines of a service in a zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode, Serialize, Deserialize)]
pub struct EnginePool {
    /// The service.
    pub service: String,
    /// The zone.
    pub zone: String,
}

/// Desired number of engines of a service in a zone.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct WantedEngines {
    /// The service and zone.
    pub pool: EnginePool,
    /// The desired number.
    pub count: u32,
}

/// A machine that stores the control group's data.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct StoreRecord {
    /// The machine's name.
    pub name: String,
    /// The replica on the machine.
    pub replica: ReplicaId,
    /// Address of the replica.
    pub address: SocketAddr,
    /// The machine's zone.
    pub zone: String,
}

/// Result of applying a [`GatewayCommand`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum GatewayOutcome {
    /// The command was applied.
    Done,
    /// The named object does not exist.
    NotFound,
    /// Results of these items (by index) were not listed, as their texts start beyond the end of the stored text.
    TextMissing(Vec<u32>),
    /// The result of a request for a trial lease.
    Trial(TrialResult),
    /// The trial leases that could not be renewed because they are no longer held.
    TrialsLost(Vec<HeldTrial>),
    /// Permission to send the recorded orders.
    Orders {
        /// The fencing token for the orders.
        fence: Fence,
        /// Whether another replica issued orders before.
        holder_changed: bool,
    },
}
