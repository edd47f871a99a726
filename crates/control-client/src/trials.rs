//! Trial leases of one process: each is the exclusive right to run one piece of suspected work. They are requested,
//! renewed while the work runs, and released afterwards.
//!
//! A lease expires [`TRIAL_LEASE`] after its last renewal, so that another process can run the work if the holder has
//! crashed, is paused or cannot reach the group. A run that the holder has started may still be in progress at an
//! engine then, but the holder starts no further run with a lease that has expired by its own clock.

use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::signal::Signal;
use saddlerelay_types::gateway::TrialRequest;
use saddlerelay_types::identity::Incarnation;
use saddlerelay_types::suspicion::{HeldTrial, TRIAL_LEASE, TRIAL_RENEWAL, TrialId, TrialResult};
use saddlerelay_types::work::WorkDigest;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// Runs are started only if the lease lasts at least this much longer, so that a crash of the engine is detected before
/// another process can run the work and lose a second engine.
const RUN_START_MARGIN: Duration = Duration::from_millis(200);

/// Pause after a failed renewal, for example while there is no leader.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Why a request about trial leases failed. The request may have been executed.
pub type CallFailure = String;

/// The control group's operations on trial leases.
pub trait TrialLeaseService: 'static {
    /// Requests a lease.
    fn begin(&self, request: TrialRequest) -> impl Future<Output = Result<TrialResult, CallFailure>>;
    /// Renews leases; returns those that are no longer held.
    fn renew(&self, trials: Vec<HeldTrial>) -> impl Future<Output = Result<Vec<HeldTrial>, CallFailure>>;
    /// Releases a lease.
    fn end(&self, trial: HeldTrial) -> impl Future<Output = Result<(), CallFailure>>;
}

/// A held lease.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    work: WorkDigest,
    /// When the last accepted request or renewal was sent, by the holder's monotonic clock.
    renewed_at: Duration,
    /// Deadline of the work. The lease is not renewed beyond it, even if the guard still exists.
    deadline: Duration,
}

/// Requests, renews and releases the trial leases of one process.
pub struct TrialLeases<P, G> {
    platform: P,
    service: G,
    /// Incarnation of this process.
    holder: Incarnation,
    /// Number of leases requested so far.
    requested: Cell<u64>,
    leases: RefCell<BTreeMap<u64, HeldLease>>,
    /// Notified when a lease has been granted.
    granted: Signal,
    /// Notified when a lease has been lost or dropped.
    lost: Signal,
}

impl<P: Runtime, G: TrialLeaseService> TrialLeases<P, G> {
    /// Starts without leases, and renews those granted by `service` until the process ends.
    pub fn start(platform: P, service: G) -> Rc<Self> {
        let trial_leases = Rc::new(Self {
            platform: platform.clone(),
            service,
            holder: Incarnation(platform.random()),
            requested: Cell::new(0),
            leases: RefCell::default(),
            granted: Signal::default(),
            lost: Signal::default(),
        });
        platform.spawn(renew(trial_leases.clone()));
        trial_leases
    }

    /// Requests the lease to run `work` for at most `limit`; `None` while another trial of it runs, or while no leader
    /// replies, as another trial may be running then.
    pub async fn begin(self: &Rc<Self>, work: WorkDigest, limit: Duration) -> Option<TrialLeaseGuard<P, G>> {
        let number = self.requested.get() + 1;
        self.requested.set(number);
        let id = TrialId { holder: self.holder, number };
        let limit_ms = limit.as_millis() as u64;
        let requested_at = self.platform.monotonic();
        let answer = self.service.begin(TrialRequest { work, id, limit_ms }).await;
        let granted = answer == Ok(TrialResult::Granted);
        spdlog::info!("trial lease requested", kv: {
            work = work.log_prefix().as_str(), number = number, granted = granted, limit_ms = limit_ms,
            answer = format!("{answer:?}").as_str()
        });
        if answer == Ok(TrialResult::Taken) {
            return None;
        }
        // A request without a reply may have been granted; dropping the guard releases the lease.
        let guard = TrialLeaseGuard { trial_leases: self.clone(), trial: HeldTrial { work, id } };
        if !granted {
            return None;
        }
        self.leases
            .borrow_mut()
            .insert(number, HeldLease { work, renewed_at: requested_at, deadline: requested_at + limit });
        self.granted.notify();
        Some(guard)
    }

    /// Drops leases whose work has reached its deadline.
    fn drop_past_deadline(&self, now: Duration) {
        let mut leases = self.leases.borrow_mut();
        let previous_count = leases.len();
        leases.retain(|_, lease| now < lease.deadline);
        let dropped = previous_count - leases.len();
        drop(leases);
        if dropped > 0 {
            spdlog::warn!("trial leases dropped, work reached its deadline", kv: { leases = dropped });
            self.lost.notify();
        }
    }

    /// When the next lease must be renewed; `None` while none is held.
    fn next_renewal(&self) -> Option<Duration> {
        let leases = self.leases.borrow();
        leases.values().map(|lease| lease.renewed_at + TRIAL_RENEWAL).min()
    }

    /// Leases to renew at `now` when at least one is due. Includes those past half of the interval, to batch renewals
    /// in one log entry.
    fn due(&self, now: Duration) -> Vec<HeldTrial> {
        let leases = self.leases.borrow();
        let due = leases.iter().filter(|(_, lease)| now >= lease.renewed_at + TRIAL_RENEWAL / 2);
        due.map(|(number, lease)| HeldTrial { work: lease.work, id: TrialId { holder: self.holder, number: *number } })
            .collect()
    }

    /// Applies the group's reply to a renewal that was sent at `sent_at`.
    fn apply_renewal(&self, renewed: &[HeldTrial], lost: &[HeldTrial], sent_at: Duration) {
        let mut leases = self.leases.borrow_mut();
        for trial in renewed {
            if lost.contains(trial) {
                leases.remove(&trial.id.number);
            } else if let Some(lease) = leases.get_mut(&trial.id.number) {
                lease.renewed_at = sent_at;
            }
        }
        drop(leases);
        if !lost.is_empty() {
            spdlog::warn!("trial leases lost", kv: {
                lost = lost.len(), work = lost[0].work.log_prefix().as_str(), number = lost[0].id.number
            });
            self.lost.notify();
        }
    }
}

/// A trial lease, released when it is dropped.
pub struct TrialLeaseGuard<P: Runtime, G: TrialLeaseService> {
    trial_leases: Rc<TrialLeases<P, G>>,
    trial: HeldTrial,
}

impl<P: Runtime, G: TrialLeaseService> TrialLeaseGuard<P, G> {
    /// Whether a run may still be started, by this process's monotonic clock.
    pub fn is_held(&self) -> bool {
        let now = self.trial_leases.platform.monotonic();
        let leases = self.trial_leases.leases.borrow();
        leases.get(&self.trial.id.number).is_some_and(|lease| now + RUN_START_MARGIN < lease.renewed_at + TRIAL_LEASE)
    }

    /// Waits until the group reports the lease as lost, or the work has reached its deadline.
    pub async fn lost(&self) {
        loop {
            let notified_count = self.trial_leases.lost.count();
            if !self.trial_leases.leases.borrow().contains_key(&self.trial.id.number) {
                return;
            }
            self.trial_leases.lost.changed(notified_count).await;
        }
    }
}

impl<P: Runtime, G: TrialLeaseService> Drop for TrialLeaseGuard<P, G> {
    fn drop(&mut self) {
        let (trial_leases, trial) = (self.trial_leases.clone(), self.trial);
        trial_leases.leases.borrow_mut().remove(&trial.id.number);
        self.trial_leases.platform.spawn(async move {
            if let Err(reason) = trial_leases.service.end(trial).await {
                // The lease expires without a release too.
                spdlog::warn!("trial lease not released, will expire", kv: {
                    work = trial.work.log_prefix().as_str(), reason = reason.as_str()
                });
            }
        });
    }
}

/// Renews leases until the process ends.
async fn renew<P: Runtime, G: TrialLeaseService>(trial_leases: Rc<TrialLeases<P, G>>) {
    loop {
        let notified_count = trial_leases.granted.count();
        let now = trial_leases.platform.monotonic();
        trial_leases.drop_past_deadline(now);
        match trial_leases.next_renewal() {
            None => trial_leases.granted.changed(notified_count).await,
            Some(at) if now < at => trial_leases.platform.sleep(at.saturating_sub(now)).await,
            Some(_) => renew_due(&trial_leases, now).await,
        }
    }
}

async fn renew_due<P: Runtime, G: TrialLeaseService>(trial_leases: &Rc<TrialLeases<P, G>>, now: Duration) {
    let due = trial_leases.due(now);
    match trial_leases.service.renew(due.clone()).await {
        Ok(lost) => trial_leases.apply_renewal(&due, &lost, now),
        Err(reason) => {
            spdlog::warn!("trial leases not renewed, will retry", kv: { leases = due.len(), reason = reason.as_str() });
            trial_leases.platform.sleep(RETRY_PAUSE).await;
        }
    }
}
