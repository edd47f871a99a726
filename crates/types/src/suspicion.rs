//! Requests suspected of crashing engines. A request is suspected if an engine process terminated while running it, and
//! quarantined if that happens repeatedly without a successful run in between. A quarantine ends for a few further
//! trials, soon if the engines may have terminated for another reason.
//!
//! Items of batch jobs, their score calls and samples are owed to their trainer until their deadline, however many engines have
//! terminated while running them. They are never rejected, but run on one engine at a time, with a growing pause after
//! each loss; see [`OwedVerdict`].

use crate::identity::Incarnation;
use crate::instance::InstanceId;
use crate::work::WorkDigest;
use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of engine processes terminated while running a request, without success in between, after which the request
/// is quarantined. Fewer may have been terminated by other requests on the same engines.
pub const QUARANTINE_THRESHOLD: usize = 3;

/// Pause before work that one more engine loss would quarantine is sent again. Longer than an engine takes to restart, so
/// that the next loss is not caused by the fault that ended the previous engines.
pub const LAST_TRIAL_PAUSE: Duration = Duration::from_secs(5);

/// Retry delay for a client whose suspected work is already being run by another attempt.
pub const TRIAL_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Duration of a trial lease. Bounds the wait for a failed holder; long enough to outlast a leader election and a
/// lost renewal.
pub const TRIAL_LEASE: Duration = Duration::from_secs(2);

/// Interval at which a holder renews its trial leases.
pub const TRIAL_RENEWAL: Duration = Duration::from_millis(500);

/// The decision whether work may be sent to an engine. Relays and coordinators use the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send it. Suspected work also needs a trial lease.
    Send,
    /// Don't send it for this long.
    Pause(Duration),
    /// Don't send it until its quarantine ends.
    Quarantine,
}

impl Verdict {
    /// The decision on work during which `engines` engines have terminated since it last succeeded, the last one
    /// `since_last_loss` ago. Work that one more engine loss would quarantine is paused for `last_trial_pause`.
    pub fn of(engines: usize, since_last_loss: Duration, last_trial_pause: Duration) -> Self {
        let remaining = last_trial_pause.saturating_sub(since_last_loss);
        match engines {
            terminated if terminated >= QUARANTINE_THRESHOLD => Self::Quarantine,
            terminated if terminated + 1 == QUARANTINE_THRESHOLD && !remaining.is_zero() => Self::Pause(remaining),
            _ => Self::Send,
        }
    }
}

/// Pause before owed work during which two engines have terminated is sent again; doubled with each further loss, up to a
/// maximum.
pub const OWED_PAUSE: Duration = Duration::from_millis(500);

/// Maximum pause before owed work with a deadline is sent again. Bounds the rate at which an item that does crash its
/// engines takes them down, and how long a harmless one waits after the last crash.
pub const MAX_OWED_PAUSE: Duration = Duration::from_secs(2);

/// Maximum pause before owed work without a deadline, a sample, is sent again.
pub const MAX_SAMPLE_PAUSE: Duration = Duration::from_secs(60);

/// The decision whether owed work may be sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwedVerdict {
    /// Send it. Suspected work also needs a trial lease.
    Send,
    /// Don't send it for this long.
    Pause(Duration),
    /// It is quarantined and due for another trial, which has to be allowed by a [`Retrial`] first.
    Retry,
}

impl OwedVerdict {
    /// The decision on owed work whose suspicion lists `engines` terminated engines, after `retrials` allowed retrials,
    /// the last loss `since_last_loss` ago. Pauses are at most `max_pause`.
    pub fn of(engines: usize, retrials: u32, since_last_loss: Duration, max_pause: Duration) -> Self {
        let remaining = owed_pause(engines, retrials).min(max_pause).saturating_sub(since_last_loss);
        match engines {
            _ if !remaining.is_zero() => Self::Pause(remaining),
            terminated if terminated >= QUARANTINE_THRESHOLD => Self::Retry,
            _ => Self::Send,
        }
    }
}

/// Pause after the last loss of owed work. Each retrial was allowed after its pause, and failed if the work is quarantined
/// again.
fn owed_pause(engines: usize, retrials: u32) -> Duration {
    let doublings = match engines {
        quarantined if quarantined >= QUARANTINE_THRESHOLD => retrials.saturating_add(1),
        last_trial if last_trial + 1 == QUARANTINE_THRESHOLD && retrials == 0 => 0,
        _ => return Duration::ZERO,
    };
    OWED_PAUSE.saturating_mul(2_u32.saturating_pow(doublings))
}

/// An engine process that terminated while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct EngineLoss {
    /// Digest of the request.
    pub work: WorkDigest,
    /// The engine instance that terminated.
    pub instance: InstanceId,
}

/// Observations about suspected work, collected by one process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct WorkEvidence {
    /// Engine processes that terminated while running a request.
    pub losses: Vec<EngineLoss>,
    /// Requests that an engine completed, which clears their suspicion.
    pub served: Vec<WorkDigest>,
}

impl WorkEvidence {
    /// Whether there are no observations.
    pub fn is_empty(&self) -> bool {
        self.losses.is_empty() && self.served.is_empty()
    }
}

/// A request suspected of crashing engines.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Suspicion {
    /// Digest of the request.
    pub work: WorkDigest,
    /// Distinct instances that terminated while running it since its last success, at most [`QUARANTINE_THRESHOLD`].
    pub engines: Vec<InstanceId>,
    /// When a terminated engine was last recorded or the quarantine last expired, in Unix milliseconds.
    pub last_at: u64,
}

impl Suspicion {
    /// Whether the request is quarantined and not sent to any engine.
    pub fn is_quarantined(&self) -> bool {
        self.engines.len() >= QUARANTINE_THRESHOLD
    }
}

/// Allows one more trial of quarantined work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Retrial {
    /// Digest of the request.
    pub work: WorkDigest,
    /// Number of retrials that were allowed before; the retrial is ignored if it does not match.
    pub number: u32,
}

/// Identifies an attempt to run suspected work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TrialId {
    /// Incarnation of the process that makes the attempt.
    pub holder: Incarnation,
    /// Number of the attempt within that incarnation.
    pub number: u64,
}

/// Identifies a trial lease: the request and the attempt that holds the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HeldTrial {
    /// Digest of the request.
    pub work: WorkDigest,
    /// The attempt that holds the trial lease.
    pub id: TrialId,
}

/// A trial lease, as committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TrialLease {
    /// The request and the attempt that holds the trial lease.
    pub held: HeldTrial,
    /// Number of renewals.
    pub renewals: u32,
}

/// Result of a request for a trial lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum TrialResult {
    /// The attempt may run the request, on one engine at a time, until its time limit.
    Granted,
    /// Another attempt holds the trial lease.
    Taken,
}

/// All suspected work recorded by the control group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct SuspicionList {
    /// Increases with each change.
    pub revision: u64,
    /// The suspected work.
    pub suspicions: Vec<Suspicion>,
}
