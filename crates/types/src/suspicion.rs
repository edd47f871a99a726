//! Work under which engines have ended. A request may crash each engine that begins to run it; what tells it from its
//! neighbours, which end with the engine too, is that it does so again and again and is never served.

use crate::identity::Incarnation;
use crate::instance::InstanceId;
use crate::work::WorkDigest;
use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Engines that may end under the same work, without its being served in between, before it is sent to no more. Two can
/// end by chance while they run the same innocent request, each with its neighbours; the users allow three.
pub const MOST_ENGINES_ENDED: usize = 3;

/// When a client may come back whose work runs elsewhere at the moment: some times as long as most requests run (25 ms in
/// the mean, 190 ms at most).
pub const TRIAL_RETRY_AFTER: Duration = Duration::from_millis(250);

/// How long the right to run suspected work outlasts its last renewal. It bounds how long others wait for a holder that has
/// ended, stands still, leads no more or whose giving back was lost: 2 s, where a right that lasted as long as the work may
/// (20 to 42 s for an item) kept accepted items from engines with room until their step was over. Long enough for a holder
/// that lives to keep its right over the loss of the leader (up to 1.2 s without one) and a lost renewal.
pub const TRIAL_LEASE: Duration = Duration::from_secs(2);

/// How often a holder renews its rights: four times in a lease. Most requests (190 ms at most) are over before the first.
pub const TRIAL_RENEWAL: Duration = Duration::from_millis(500);

/// An engine has ended while it ran certain work.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct EngineLoss {
    /// The work.
    pub work: WorkDigest,
    /// The engine.
    pub instance: InstanceId,
}

/// What a process has seen of suspected work.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct WorkEvidence {
    /// Engines that have ended under work.
    pub losses: Vec<EngineLoss>,
    /// Work that an engine has served to its end, so that it does not crash whatever runs it.
    pub served: Vec<WorkDigest>,
}

impl WorkEvidence {
    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.losses.is_empty() && self.served.is_empty()
    }
}

/// Work under which engines have ended.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Suspicion {
    /// The work.
    pub work: WorkDigest,
    /// The engines that have ended under it since it was last served; each once, [`MOST_ENGINES_ENDED`] at most.
    pub engines: Vec<InstanceId>,
    /// When the last of them ended, in Unix milliseconds.
    pub last_at: u64,
}

impl Suspicion {
    /// Whether the work is sent to no engine.
    pub fn is_quarantined(&self) -> bool {
        self.engines.len() >= MOST_ENGINES_ENDED
    }
}

/// One try of suspected work that wants to be the only one anywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TrialId {
    /// The start of the process that wants to run it.
    pub holder: Incarnation,
    /// Its number there.
    pub number: u64,
}

/// A right that a process says it still holds, or no longer does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HeldTrial {
    /// The work.
    pub work: WorkDigest,
    /// The try.
    pub id: TrialId,
}

/// A right to run suspected work as the log has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TrialStanding {
    /// What is held, and by whom.
    pub held: HeldTrial,
    /// How often it has been renewed.
    pub renewals: u32,
}

/// Whether a try of suspected work may go to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum TrialAnswer {
    /// It may, to one engine at a time, until its time is over.
    Granted,
    /// Another try of the same work is under way.
    Taken,
}

/// All suspected work that the control group knows of.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct SuspicionList {
    /// Rises with each change.
    pub revision: u64,
    /// The work.
    pub suspicions: Vec<Suspicion>,
}
