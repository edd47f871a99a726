//! The rights to run suspected work that one process holds: asked for, renewed while the work runs, given back.
//!
//! A right lasts [`TRIAL_LEASE`] beyond its last renewal. A holder that ends, stands still or does not reach the group does not
//! renew it, and others run the work after that. What it has left running at an engine may still run there; a holder that goes on
//! begins nothing with a right that is over by its own clock.

use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::signal::Signal;
use saddlerelay_types::gateway::TrialRequest;
use saddlerelay_types::identity::Incarnation;
use saddlerelay_types::suspicion::{HeldTrial, TRIAL_LEASE, TRIAL_RENEWAL, TrialAnswer, TrialId};
use saddlerelay_types::work::WorkDigest;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// Time for the last run that a holder begins to show what the work does to its engine, before another process may run it too:
/// two engines would end at once.
const LAST_RUN_SHOWN: Duration = Duration::from_millis(200);

/// Pause after a renewal that was refused at once: nobody leads.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Why a call about rights brought no answer; it may have been carried out.
pub type NoAnswer = String;

/// The control group, as far as rights go.
pub trait TrialGroup: 'static {
    /// Asks for a right.
    fn begin(&self, request: TrialRequest) -> impl Future<Output = Result<TrialAnswer, NoAnswer>>;
    /// Renews rights; the answer is those of them that are not held any more.
    fn renew(&self, held: Vec<HeldTrial>) -> impl Future<Output = Result<Vec<HeldTrial>, NoAnswer>>;
    /// Gives a right back.
    fn end(&self, held: HeldTrial) -> impl Future<Output = Result<(), NoAnswer>>;
}

/// A right as its holder knows it.
#[derive(Clone, Copy, Debug)]
struct Renewed {
    work: WorkDigest,
    /// When the renewal that the group took last was sent, by the holder's clock.
    at: Duration,
    /// When the work is over; the right is not renewed beyond, whatever keeps its guard.
    until: Duration,
}

/// The rights of one process.
pub struct TrialKeeper<P, G> {
    platform: P,
    group: G,
    /// This start of the process, and how many rights it has asked for.
    holder: Incarnation,
    asked: Cell<u64>,
    held: RefCell<BTreeMap<u64, Renewed>>,
    /// A right has been granted.
    granted: Signal,
    /// A right has been lost.
    lost: Signal,
}

impl<P: Runtime, G: TrialGroup> TrialKeeper<P, G> {
    /// Holds none yet. Renews those that it is granted by `group` until the process ends.
    pub fn start(platform: P, group: G) -> Rc<Self> {
        let keeper = Rc::new(Self {
            platform: platform.clone(),
            group,
            holder: Incarnation(platform.random()),
            asked: Cell::new(0),
            held: RefCell::default(),
            granted: Signal::default(),
            lost: Signal::default(),
        });
        platform.spawn(renew(keeper.clone()));
        keeper
    }

    /// Asks for the right to run `work`, for `limit` at most; `None` while another try of it runs, or while no leader answers:
    /// nobody can say then that none does.
    pub async fn begin(self: &Rc<Self>, work: WorkDigest, limit: Duration) -> Option<TrialGuard<P, G>> {
        let number = self.asked.get() + 1;
        self.asked.set(number);
        let id = TrialId { holder: self.holder, number };
        let limit_ms = limit.as_millis() as u64;
        let asked_at = self.platform.monotonic();
        let answer = self.group.begin(TrialRequest { work, id, limit_ms }).await;
        let granted = answer == Ok(TrialAnswer::Granted);
        spdlog::info!("trial of suspected work", kv: {
            work = work.shown().as_str(), number = number, granted = granted, limit_ms = limit_ms,
            answer = format!("{answer:?}").as_str()
        });
        if answer == Ok(TrialAnswer::Taken) {
            return None;
        }
        // A question without an answer may have been granted: the guard gives back what it may hold.
        let guard = TrialGuard { keeper: self.clone(), held: HeldTrial { work, id } };
        if !granted {
            return None;
        }
        self.held.borrow_mut().insert(number, Renewed { work, at: asked_at, until: asked_at + limit });
        self.granted.notify();
        Some(guard)
    }

    /// Lets go of rights whose work is over by its time.
    fn drop_overdue(&self, now: Duration) {
        let mut held = self.held.borrow_mut();
        let before = held.len();
        held.retain(|_, renewed| now < renewed.until);
        let dropped = before - held.len();
        drop(held);
        if dropped > 0 {
            spdlog::warn!("rights to run suspected work not renewed, their time is over", kv: { rights = dropped });
            self.lost.notify();
        }
    }

    /// When the next right is to be renewed; `None` while none is held.
    fn next_renewal(&self) -> Option<Duration> {
        let held = self.held.borrow();
        held.values().map(|renewed| renewed.at + TRIAL_RENEWAL).min()
    }

    /// Rights that are renewed at `now` if one of them is due: those that would soon be go with it, in one log entry.
    fn due(&self, now: Duration) -> Vec<HeldTrial> {
        let held = self.held.borrow();
        let due = held.iter().filter(|(_, renewed)| now >= renewed.at + TRIAL_RENEWAL / 2);
        due.map(|(number, renewed)| HeldTrial {
            work: renewed.work,
            id: TrialId { holder: self.holder, number: *number },
        })
        .collect()
    }

    /// The group has answered a renewal that was sent at `sent_at`.
    fn take_renewal(&self, renewed: &[HeldTrial], lost: &[HeldTrial], sent_at: Duration) {
        let mut held = self.held.borrow_mut();
        for right in renewed {
            if lost.contains(right) {
                held.remove(&right.id.number);
            } else if let Some(known) = held.get_mut(&right.id.number) {
                known.at = sent_at;
            }
        }
        drop(held);
        if !lost.is_empty() {
            spdlog::warn!("rights to run suspected work lost", kv: {
                lost = lost.len(), work = lost[0].work.shown().as_str(), number = lost[0].id.number
            });
            self.lost.notify();
        }
    }
}

/// The right to run suspected work; given back when it is dropped.
pub struct TrialGuard<P: Runtime, G: TrialGroup> {
    keeper: Rc<TrialKeeper<P, G>>,
    held: HeldTrial,
}

impl<P: Runtime, G: TrialGroup> TrialGuard<P, G> {
    /// Whether a run may still begin, by this process's clock: another process may have the right at the end of the lease.
    pub fn holds(&self) -> bool {
        let now = self.keeper.platform.monotonic();
        let held = self.keeper.held.borrow();
        held.get(&self.held.id.number).is_some_and(|renewed| now + LAST_RUN_SHOWN < renewed.at + TRIAL_LEASE)
    }

    /// Waits until the group says that the right is another's, or the time of the work is over.
    pub async fn lost(&self) {
        loop {
            let seen = self.keeper.lost.count();
            if !self.keeper.held.borrow().contains_key(&self.held.id.number) {
                return;
            }
            self.keeper.lost.changed(seen).await;
        }
    }
}

impl<P: Runtime, G: TrialGroup> Drop for TrialGuard<P, G> {
    fn drop(&mut self) {
        let (keeper, held) = (self.keeper.clone(), self.held);
        keeper.held.borrow_mut().remove(&held.id.number);
        self.keeper.platform.spawn(async move {
            if let Err(reason) = keeper.group.end(held).await {
                // Its lease runs out all the same.
                spdlog::warn!("trial not given back", kv: {
                    work = held.work.shown().as_str(), reason = reason.as_str()
                });
            }
        });
    }
}

/// Renews rights until the process ends.
async fn renew<P: Runtime, G: TrialGroup>(keeper: Rc<TrialKeeper<P, G>>) {
    loop {
        let seen = keeper.granted.count();
        let now = keeper.platform.monotonic();
        keeper.drop_overdue(now);
        match keeper.next_renewal() {
            None => keeper.granted.changed(seen).await,
            Some(at) if now < at => keeper.platform.sleep(at.saturating_sub(now)).await,
            Some(_) => renew_due(&keeper, now).await,
        }
    }
}

async fn renew_due<P: Runtime, G: TrialGroup>(keeper: &Rc<TrialKeeper<P, G>>, now: Duration) {
    let due = keeper.due(now);
    match keeper.group.renew(due.clone()).await {
        Ok(lost) => keeper.take_renewal(&due, &lost, now),
        Err(reason) => {
            spdlog::warn!("trials not renewed", kv: { rights = due.len(), reason = reason.as_str() });
            keeper.platform.sleep(RETRY_PAUSE).await;
        }
    }
}
