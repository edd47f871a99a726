//! Messages about routed requests, engine instances, named weight versions and batch jobs, between saddlerelay's own
//! processes and on the control group's log.

use crate::identity::{Fence, Incarnation, ReplicaId};
use crate::instance::{GatheredReports, InstanceId, InstanceNews, InstanceReport, LoadedModel};
use crate::job::{ItemId, ItemOutcome, JobId, JobSubmission, ResultPage, TextPart};
use crate::routing::{RoutingDocument, RoutingError};
use crate::routing_update::EncodedRoutingUpdate;
use crate::suspicion::{HeldTrial, SuspicionList, TrialAnswer, TrialId, TrialStanding, WorkEvidence};
use crate::tenancy::Caller;
use crate::usage::{RelayUsage, UsageDifference, UsageWindow};
use crate::work::WorkDigest;
use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A request to the control group's leader.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum GatewayRequest {
    /// A relay asks for what it lacks, and thereby renews its lease.
    Follow(FollowRequest),
    /// An engine instance reports itself.
    ReportInstance(InstanceReport),
    /// Engine instances have reported themselves at one machine.
    ReportInstances(GatheredReports),
    /// A replica that answers relays asks how far the log is committed, and tells what relays have told it.
    Confirm(RelayWords),
    /// An engine instance says goodbye.
    RemoveInstance(InstanceId),
    /// An operator's whole routing document.
    PutRouting(RoutingDocument),
    /// The newest routing document as it was sent.
    ReadRouting,
    /// A trainer names a model's new weight version.
    NameVersion(LoadedModel),
    /// Hands a batch job in.
    SubmitJob(JobSubmission),
    /// Reads results from a position on.
    ReadResults {
        /// The job.
        job: JobId,
        /// The first position wanted, from 0.
        after: u64,
        /// How long to wait for one, in milliseconds.
        wait_ms: u64,
        /// Who asks.
        caller: Caller,
    },
    /// Asks the leader how far the log is committed: a replica that has applied it that far answers as the leader would.
    ReadPosition,
    /// Reads results at any replica that has applied the log up to a position that the leader told.
    ReadResultsAt {
        /// The position in the log.
        position: u64,
        /// The job.
        job: JobId,
        /// The first result wanted, from 0.
        after: u64,
        /// How long to wait for one, in milliseconds.
        wait_ms: u64,
        /// Who asks.
        caller: Caller,
    },
    /// Reads the body of an item that is not listed yet.
    ReadBody {
        /// The job.
        job: JobId,
        /// The item.
        item: ItemId,
        /// Who asks.
        caller: Caller,
    },
    /// Ends a job: nothing of it runs any more.
    EndJob {
        /// The job.
        job: JobId,
        /// Who asks.
        caller: Caller,
    },
    /// A machine that keeps data introduces itself.
    RegisterStore(StoreRecord),
    /// Asks for a store machine to be emptied.
    RetireStore(String),
    /// How far that is.
    ReadRetirement(String),
    /// What is done towards the platform.
    ReadDuties,
    /// A relay has seen engines end under work, or suspected work served.
    TakeEvidence(WorkEvidence),
    /// A relay wants to run suspected work.
    BeginTrial(TrialRequest),
    /// It still runs it. The answer is [`GatewayReply::TrialsLost`].
    RenewTrials(Vec<HeldTrial>),
    /// It has run it.
    EndTrial {
        /// The work.
        work: WorkDigest,
        /// The try.
        id: TrialId,
    },
    /// The work under which engines have ended.
    ReadSuspicions,
    /// An operator wants work to be sent to engines again.
    ReleaseWork(WorkDigest),
}

/// What a relay holds already.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FollowRequest {
    /// The relay, for logs.
    pub relay: String,
    /// Where it stands.
    pub zone: String,
    /// The routing version it acts on; `None` for none.
    pub routing_version: Option<u64>,
    /// The revision of the instance table it acts on.
    pub instance_revision: u64,
    /// It was sent to this replica by the leader, and takes an answer of one that does not lead.
    pub at_follower: bool,
    /// This start of the relay.
    pub incarnation: Incarnation,
    /// The relay's time of day when it asked, in Unix milliseconds.
    pub unix_ms: u64,
    /// Requests that engines have begun since the relay last handed counts over; `None` for none.
    pub usage: Option<UsageDifference>,
    /// The revision of the list of suspected work that it acts on.
    pub suspicion_revision: u64,
}

/// What relays have told a replica that does not lead, and what the leader has to know.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct RelayWords {
    /// Their times of day.
    pub clocks: Vec<RelayClock>,
    /// Requests that engines have begun.
    pub usage: Vec<RelayUsage>,
}

/// A relay's time of day.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RelayClock {
    /// The relay.
    pub relay: String,
    /// Its time of day when the words were handed on, in Unix milliseconds.
    pub unix_ms: u64,
}

/// What a relay lacks.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct FollowReply {
    /// How long the relay may act on this, in milliseconds from when it sent the request.
    pub lease_ms: u64,
    /// What makes a newer routing document of the one that the relay holds.
    pub routing: Option<EncodedRoutingUpdate>,
    /// What the relay lacks of the engines that it is told of.
    pub instances: InstanceNews,
    /// The replica that the relay is to ask from now on, while it answers; `None` for the leader.
    pub follower: Option<SocketAddr>,
    /// How long the relay is to wait before it asks another replica when none leads, in milliseconds: with many relays,
    /// longer.
    pub retry_pause_ms: u32,
    /// Where the control group's replicas listen for peers.
    pub replicas: Vec<SocketAddr>,
    /// One of them in the relay's zone.
    pub nearest_replica: Option<SocketAddr>,
    /// The time of day that most machines agree on, in Unix milliseconds, when the answer was made; `None` if the leader
    /// does not know it yet.
    pub group_unix_ms: Option<u64>,
    /// The newest difference of this start of the relay whose counts are committed; 0 for none.
    pub usage_taken: u64,
    /// The list of suspected work, if it is another one than the relay's.
    pub suspicions: Option<SuspicionList>,
}

/// An answer of the control group's leader.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum GatewayReply {
    /// Of following.
    Followed(FollowReply),
    /// It is done and will last.
    Done,
    /// The reports are taken, but nothing is known of these instances, of which only heartbeats came: whoever sent them is to
    /// send their reports whole.
    ReportsMissing(Vec<InstanceId>),
    /// The routing document is not valid.
    InvalidRouting(RoutingError),
    /// The routing document's source; `None` before the first.
    Routing(Option<Vec<u8>>),
    /// How far the log is committed.
    Position(u64),
    /// The same, for a replica that answers relays.
    Confirmed {
        /// How far the log is committed.
        position: u64,
        /// The time of day that most machines agree on, in Unix milliseconds; `None` if the leader does not know it yet.
        group_unix_ms: Option<u64>,
        /// Relays that the leader has heard of lately, also through replicas.
        relays: u32,
    },
    /// A part of a job's results.
    Results(ResultPage),
    /// An item's body.
    Body(Vec<u8>),
    /// There is no such thing.
    NotFound,
    /// Too few machines would be left.
    TooFew,
    /// A machine is being emptied, or has been.
    Retirement {
        /// Whether it may be taken away.
        completed: bool,
    },
    /// What is done towards the platform.
    Duties(DutyOverview),
    /// The work under which engines have ended.
    Suspicions(SuspicionList),
    /// Whether suspected work may be run.
    Trial(TrialAnswer),
    /// Of the rights that were to be renewed, those that are not held any more.
    TrialsLost(Vec<HeldTrial>),
    /// Nothing was done, and nothing will be; try again later.
    Unavailable,
}

/// What the group does towards the platform.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct DutyOverview {
    /// The replica that leads, and does it.
    pub leader: ReplicaId,
    /// The replica that gave the newest order.
    pub holder: Option<ReplicaId>,
    /// The newest window whose report the platform has taken.
    pub newest_reported: Option<UsageWindow>,
    /// Windows whose counts are fixed and not yet reported.
    pub unreported: Vec<UsageWindow>,
    /// Requests that came after the counts of their window were fixed.
    pub uncounted: u64,
    /// How many engines are wanted, by place.
    pub engines: Vec<EngineStanding>,
}

/// A place's engines.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct EngineStanding {
    /// The place.
    pub place: EnginePlace,
    /// How many are wanted.
    pub wanted: u32,
    /// How many report themselves and may be given work.
    pub present: u32,
}

/// What the control group commits of all this.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum GatewayCommand {
    /// Take a routing document if its version is higher than the one held.
    PutRouting(RoutingDocument),
    /// Take instances' reports.
    ReportInstances(Vec<InstanceReport>),
    /// The reports of instances have ceased, or have come again.
    NoteSilence {
        /// Those whose reports have ceased.
        silent: Vec<InstanceId>,
        /// Those that are heard again.
        heard: Vec<InstanceId>,
    },
    /// An instance is gone.
    RemoveInstance(InstanceId),
    /// Note a model's version.
    NameVersion(LoadedModel),
    /// Keep a job.
    SubmitJob {
        /// The job.
        job: JobSubmission,
        /// How long it stays readable, in milliseconds; an open job stays longer.
        keep_ms: u64,
    },
    /// Keep parts of texts of items that still run.
    KeepTexts {
        /// The job.
        job: JobId,
        /// The parts.
        parts: Vec<TextPart>,
    },
    /// List results at the next positions.
    ListResults {
        /// The job.
        job: JobId,
        /// The outcomes; those of items already listed are dropped.
        outcomes: Vec<ItemOutcome>,
    },
    /// End a job.
    EndJob(JobId),
    /// A machine that keeps data introduces itself.
    RegisterStore(StoreRecord),
    /// Empty a machine.
    RetireStore(String),
    /// A machine has been emptied.
    StoreRetired(String),
    /// Orders are about to be given.
    NoteOrders {
        /// By whom.
        holder: ReplicaId,
        /// About these.
        subjects: Vec<OrderSubject>,
    },
    /// Add what relays have counted.
    AddUsage(Vec<RelayUsage>),
    /// The counts of windows up to this one change no more.
    FixUsage(UsageWindow),
    /// The platform has taken the report of a window.
    UsageReported(UsageWindow),
    /// Engines are wanted in these numbers.
    WantEngines(Vec<WantedEngines>),
    /// Take what has been seen of work under which engines end.
    TakeEvidence(WorkEvidence),
    /// Give a try the right to run suspected work.
    BeginTrial(TrialRequest),
    /// The holders of these rights still run the work.
    RenewTrials(Vec<HeldTrial>),
    /// End these rights, unless they have been renewed since: their holders have not been heard for a lease.
    ExpireTrials(Vec<TrialStanding>),
    /// The try is over.
    EndTrial {
        /// The work.
        work: WorkDigest,
        /// The try.
        id: TrialId,
    },
    /// Forget what was seen of such work long ago.
    ExpireSuspicions,
    /// Forget what is known of this work.
    ReleaseWork(WorkDigest),
}

/// A try of suspected work that wants to be the only one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TrialRequest {
    /// The work.
    pub work: WorkDigest,
    /// The try.
    pub id: TrialId,
    /// How long it may take, in milliseconds.
    pub limit_ms: u64,
}

/// What orders are about. Only one replica at a time gives orders about a subject.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum OrderSubject {
    /// The engine of this name, whichever of its starts: an order may reach a later one than it was given for.
    Engine(String),
    /// The usage reports of all windows.
    UsageReports,
    /// The number of engines of a service in a zone.
    EngineCount(EnginePlace),
}

impl OrderSubject {
    /// The engine that an instance is a start of.
    pub fn engine(instance: &InstanceId) -> Self {
        Self::Engine(instance.name.clone())
    }
}

/// A service in a zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode, Serialize, Deserialize)]
pub struct EnginePlace {
    /// The service.
    pub service: String,
    /// The zone.
    pub zone: String,
}

/// How many engines are wanted in a place.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct WantedEngines {
    /// The place.
    pub place: EnginePlace,
    /// How many.
    pub count: u32,
}

/// A machine that keeps the group's data.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct StoreRecord {
    /// Its name.
    pub name: String,
    /// Its replica.
    pub replica: ReplicaId,
    /// Where the replica listens.
    pub address: SocketAddr,
    /// Where the machine stands.
    pub zone: String,
}

/// What such a command brings.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum GatewayOutcome {
    /// It holds now.
    Done,
    /// There is no such thing.
    NotFound,
    /// The rest of these items' texts does not follow what is held; they are not listed.
    TextMissing(Vec<u32>),
    /// Whether suspected work may be run.
    Trial(TrialAnswer),
    /// Of the rights that were to be renewed, those that are not held any more.
    TrialsLost(Vec<HeldTrial>),
    /// The right to give the orders that were noted.
    Orders {
        /// The fence for them.
        fence: Fence,
        /// Whether another replica gave orders before.
        taken_over: bool,
    },
}
