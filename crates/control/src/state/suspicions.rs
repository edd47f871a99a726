//! Work that was running on engines when they failed. Work is suspected after the first engine failure, and quarantined
//! after failures of [`QUARANTINE_THRESHOLD`] different engines. The table is bounded in size, and its entries expire.
//!
//! Since feature level four, a quarantine ends for a few single trials: soon if the losses are inconclusive, see
//! [`LossHistory`], else after an hour each. Work that still fails then stays quarantined for a day.

use crate::state::loss_history::LossHistory;
use bitcode::{Decode, Encode};
use saddlerelay_types::suspicion::{
    EngineLoss, HeldTrial, QUARANTINE_THRESHOLD, Retrial, Suspicion, SuspicionList, TrialId, TrialLease, TrialResult,
    WorkEvidence,
};
use saddlerelay_types::work::WorkDigest;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of suspicions. The one with the weakest evidence is evicted, the oldest first. Every change sends the
/// whole table to each relay; 512 suspicions take about 30 KB.
const MAX_SUSPICIONS: usize = 512;

/// How long work is suspected after the last engine failure, in milliseconds. Longer than an engine restart and the
/// retries of a client take.
const SUSPICION_TTL_MS: u64 = 10 * 60 * 1_000;

/// How long work stays quarantined after the last engine failure below feature level four, in milliseconds. Afterwards
/// it may be tried on one engine, as the fault of the engines may have been fixed.
const QUARANTINE_TTL_MS: u64 = 60 * 60 * 1_000;

/// How long work that was ever quarantined is remembered after the last engine failure, in milliseconds. Bounds the
/// engines that one piece of work crashes in a day. Since feature level four.
const QUARANTINE_MEMORY_MS: u64 = 24 * 60 * 60 * 1_000;

/// Number of recorded leases from which a trial of work without committed evidence is granted without recording its
/// lease.
const MAX_UNSUSPECTED_TRIALS: usize = 2 * MAX_SUSPICIONS;

/// A lease to run suspected work.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
struct Trial {
    id: TrialId,
    /// Latest end of the work as stated by the holder, in Unix milliseconds. Shown to operators; does not end the
    /// lease.
    until: u64,
    /// Number of renewals. The lease expires if the count does not change for a lease duration by a replica's own
    /// clock.
    renewals: u32,
}

/// The replicated suspicions and trial leases. Each change of a suspicion increments the revision.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct SuspicionTable {
    by_work: BTreeMap<WorkDigest, Suspicion>,
    /// Current trial leases, by work.
    trials: BTreeMap<WorkDigest, Trial>,
    revision: u64,
    /// What the losses tell; `None` below feature level four, whose layout lacks it.
    #[bitcode(skip)]
    history: Option<LossHistory>,
}

/// Strength of the evidence against work, weakest first: retrials that failed, independent losses, all losses, and
/// when the last one was recorded.
type EvidenceStrength = (u32, usize, usize, u64);

impl SuspicionTable {
    /// The loss history; `None` below feature level four.
    pub fn history(&self) -> Option<&LossHistory> {
        self.history.as_ref()
    }

    /// Number of retrials of `work` since it last succeeded; 0 below feature level four.
    pub fn retrials(&self, work: &WorkDigest) -> u32 {
        self.history.as_ref().map_or(0, |history| history.retrials(work))
    }

    /// Number of independent losses of `work`, see [`LossHistory`]; 0 below feature level four.
    pub fn independent_losses(&self, work: &WorkDigest) -> usize {
        self.history.as_ref().map_or(0, |history| history.independent_losses(work))
    }

    /// Replaces the loss history by the one of a snapshot.
    pub fn restore_history(&mut self, history: LossHistory) {
        self.history = Some(history);
    }

    /// Switches the weighing of losses on or off. Losses recorded before count as independent ones.
    pub fn set_weighs_losses(&mut self, weighs_losses: bool) {
        if !weighs_losses {
            self.history = None;
        } else if self.history.is_none() {
            self.history = Some(LossHistory::of(self.by_work.values()));
        }
    }

    /// The revision of the newest change of a suspicion.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether no work is suspected.
    pub fn is_empty(&self) -> bool {
        self.by_work.is_empty()
    }

    /// The suspicion of `work`, if there is one.
    pub fn get(&self, work: &WorkDigest) -> Option<&Suspicion> {
        self.by_work.get(work)
    }

    /// Whether `work` must not be sent to any engine.
    pub fn is_quarantined(&self, work: &WorkDigest) -> bool {
        self.get(work).is_some_and(Suspicion::is_quarantined)
    }

    /// All suspicions with the current revision.
    pub fn list(&self) -> SuspicionList {
        SuspicionList { revision: self.revision, suspicions: self.by_work.values().cloned().collect() }
    }

    /// All suspicions, if any changed after `revision`.
    pub fn newer_than(&self, revision: u64) -> Option<SuspicionList> {
        (self.revision > revision).then(|| self.list())
    }

    /// Whether evidence would change the state.
    pub fn would_change(&self, evidence: &WorkEvidence) -> bool {
        let is_new_termination =
            |loss: &EngineLoss| self.history.as_ref().is_some_and(|history| !history.has_terminated(&loss.instance));
        evidence.losses.iter().any(is_new_termination) || self.changes_suspicions(evidence)
    }

    /// Whether evidence would change what relays are sent.
    fn changes_suspicions(&self, evidence: &WorkEvidence) -> bool {
        let is_new = |loss: &EngineLoss| self.is_new_loss(loss);
        evidence.losses.iter().any(is_new) || evidence.served.iter().any(|work| self.by_work.contains_key(work))
    }

    /// Whether a loss would be added to the suspicion of its work.
    fn is_new_loss(&self, loss: &EngineLoss) -> bool {
        let was_recorded = self.history.as_ref().is_some_and(|history| history.includes(&loss.work, &loss.instance));
        let is_new = |suspicion: &Suspicion| {
            !suspicion.is_quarantined() && !was_recorded && !suspicion.engines.contains(&loss.instance)
        };
        self.get(&loss.work).is_none_or(is_new)
    }

    /// Applies evidence at `now`, in Unix milliseconds. Successfully served work is no longer suspected.
    pub fn record_evidence(&mut self, evidence: WorkEvidence, now: u64) {
        if !self.would_change(&evidence) {
            return;
        }
        self.revision += u64::from(self.changes_suspicions(&evidence));
        for work in &evidence.served {
            self.remove(work);
        }
        for loss in evidence.losses {
            self.record_termination(&loss, now);
            self.add_loss(loss, now);
        }
        self.evict_weakest(self.by_work.len().saturating_sub(MAX_SUSPICIONS));
    }

    fn record_termination(&mut self, loss: &EngineLoss, now: u64) {
        if let Some(history) = &mut self.history {
            history.record_termination(&loss.instance, now);
        }
    }

    fn add_loss(&mut self, loss: EngineLoss, now: u64) {
        if self.history.is_some() && !self.is_new_loss(&loss) {
            return;
        }
        if let Some(history) = &mut self.history {
            let is_leased = self.trials.contains_key(&loss.work);
            history.record_loss(loss.work, loss.instance.clone(), is_leased, now);
        }
        let work = loss.work;
        let new_suspicion = Suspicion { work, engines: Vec::new(), last_at: now };
        let suspicion = self.by_work.entry(work).or_insert(new_suspicion);
        if suspicion.engines.contains(&loss.instance) {
            return;
        }
        suspicion.last_at = now;
        if !suspicion.is_quarantined() {
            suspicion.engines.push(loss.instance);
        }
    }

    fn evict_weakest(&mut self, count: usize) {
        if count == 0 {
            return;
        }
        let strength = |suspicion: &Suspicion| (self.evidence_strength(suspicion), suspicion.work);
        let mut by_strength: Vec<_> = self.by_work.values().map(strength).collect();
        by_strength.sort_unstable();
        by_strength.truncate(count);
        for (_, work) in by_strength {
            self.remove(&work);
        }
    }

    fn evidence_strength(&self, suspicion: &Suspicion) -> EvidenceStrength {
        let (retrials, independent) = (self.retrials(&suspicion.work), self.independent_losses(&suspicion.work));
        (retrials, independent, suspicion.engines.len(), suspicion.last_at)
    }

    /// Removes a suspicion with its history; returns whether there was one.
    fn remove(&mut self, work: &WorkDigest) -> bool {
        if let Some(history) = &mut self.history {
            history.remove(work);
        }
        self.by_work.remove(work).is_some()
    }

    /// Grants the exclusive lease to run suspected work. It is exclusive because parallel trials could crash several
    /// engines before the first failure is reported.
    ///
    /// A lease ends by [`Self::end_trial`], or by [`Self::expire_trials`] if it is not renewed. The time in the log
    /// does not end it, as a leader with a wrong clock may advance that time too far. `limit_ms` is the holder's own
    /// time limit for the work, shown to operators.
    pub fn begin_trial(&mut self, work: WorkDigest, id: TrialId, now: u64, limit_ms: u64) -> TrialResult {
        if self.is_trial_rejected(&work, id) {
            return TrialResult::Taken;
        }
        // The evidence for a suspicion may not be committed yet; the lease is recorded before it.
        if self.by_work.contains_key(&work) || self.trials.len() < MAX_UNSUSPECTED_TRIALS {
            let until = now.saturating_add(limit_ms);
            let is_new = !self.trials.contains_key(&work);
            self.trials.entry(work).or_insert(Trial { id, until, renewals: 0 });
            if let Some(history) = self.history.as_mut().filter(|_| is_new) {
                history.record_trial(&work);
            }
        }
        TrialResult::Granted
    }

    /// Whether trial `id` of `work` must not start: the work is quarantined, or suspected and leased to another trial.
    pub fn is_trial_rejected(&self, work: &WorkDigest, id: TrialId) -> bool {
        let suspected = self.by_work.contains_key(work);
        let is_leased = || self.trials.get(work).is_some_and(|trial| trial.id != id);
        self.is_quarantined(work) || suspected && is_leased()
    }

    /// Renews the leases of trials that still run; returns those that their holders have lost.
    pub fn renew_trials(&mut self, leases: Vec<HeldTrial>) -> Vec<HeldTrial> {
        let mut lost = Vec::new();
        for lease in leases {
            match self.trials.get_mut(&lease.work).filter(|trial| trial.id == lease.id) {
                Some(trial) => trial.renewals += 1,
                // Work that is no longer suspected needs no lease.
                None if !self.by_work.contains_key(&lease.work) => {}
                None => lost.push(lease),
            }
        }
        lost
    }

    /// Ends leases that have not been renewed since they were observed with these renewal counts.
    pub fn expire_trials(&mut self, leases: &[TrialLease]) {
        for lease in leases {
            let is_unchanged = |trial: &Trial| trial.id == lease.held.id && trial.renewals == lease.renewals;
            if self.trials.get(&lease.held.work).is_some_and(is_unchanged) {
                self.trials.remove(&lease.held.work);
            }
        }
    }

    /// The current trial leases.
    pub fn trials(&self) -> impl Iterator<Item = TrialLease> {
        self.trials
            .iter()
            .map(|(work, trial)| TrialLease { held: HeldTrial { work: *work, id: trial.id }, renewals: trial.renewals })
    }

    /// The trial that holds the lease for `work`, and the latest end of the work as reported by the holder, in Unix
    /// milliseconds.
    pub fn trial(&self, work: &WorkDigest) -> Option<(TrialId, u64)> {
        self.trials.get(work).map(|trial| (trial.id, trial.until))
    }

    /// Number of current trial leases.
    pub fn trial_lease_count(&self) -> usize {
        self.trials.len()
    }

    /// Releases the lease of a trial that has ended, with or without success.
    pub fn end_trial(&mut self, work: &WorkDigest, id: TrialId) {
        if self.trials.get(work).is_some_and(|trial| trial.id == id) {
            self.trials.remove(work);
        }
    }

    /// Time from the quarantine of `work` to its next retrial; `None` if it is not quarantined or no further retrial is
    /// allowed, and below feature level four.
    pub fn retrial_after(&self, work: &WorkDigest) -> Option<Duration> {
        self.history.as_ref().filter(|_| self.is_quarantined(work))?.retrial_after(work)
    }

    /// Allows one more trial of quarantined work, unless the retrial was allowed before. One more engine failure
    /// quarantines the work again.
    pub fn allow_retrial(&mut self, retrial: &Retrial) {
        let work = &retrial.work;
        let Some(history) = self.history.as_mut().filter(|history| history.retrials(work) == retrial.number) else {
            return;
        };
        if let Some(suspicion) = self.by_work.get_mut(work).filter(|suspicion| suspicion.is_quarantined()) {
            suspicion.engines.truncate(QUARANTINE_THRESHOLD - 1);
            history.record_retrial(work);
            self.revision += 1;
        }
    }

    /// All suspicions.
    pub fn iter(&self) -> impl Iterator<Item = &Suspicion> {
        self.by_work.values()
    }

    /// Suspicions and quarantines that have expired at `now`, in Unix milliseconds, with their time to live.
    pub fn due(&self, now: u64) -> impl Iterator<Item = (&Suspicion, Duration)> {
        let due = self.by_work.values().filter(move |suspicion| self.is_expired(suspicion, now));
        due.map(|suspicion| (suspicion, Duration::from_millis(self.ttl_ms(suspicion))))
    }

    /// Whether any suspicion or quarantine has expired at `now`, in Unix milliseconds.
    pub fn has_expired(&self, now: u64) -> bool {
        self.by_work.values().any(|suspicion| self.is_expired(suspicion, now))
    }

    /// Removes expired suspicions. Below feature level four, an expired quarantine becomes a suspicion that one more
    /// engine failure quarantines again.
    pub fn expire(&mut self, now: u64) {
        let expired: Vec<WorkDigest> = self.due(now).map(|(suspicion, _)| suspicion.work).collect();
        if expired.is_empty() {
            return;
        }
        self.revision += 1;
        for work in expired {
            let lowered = self.by_work.get_mut(&work).filter(|suspicion| suspicion.is_quarantined());
            match lowered.filter(|_| self.history.is_none()) {
                Some(suspicion) => {
                    suspicion.engines.truncate(QUARANTINE_THRESHOLD - 1);
                    suspicion.last_at = now;
                }
                None => {
                    self.remove(&work);
                }
            }
        }
    }

    fn is_expired(&self, suspicion: &Suspicion, now: u64) -> bool {
        now >= suspicion.last_at.saturating_add(self.ttl_ms(suspicion))
    }

    fn ttl_ms(&self, suspicion: &Suspicion) -> u64 {
        let has_retrials = self.retrials(&suspicion.work) > 0;
        match (suspicion.is_quarantined(), &self.history) {
            (true, None) => QUARANTINE_TTL_MS,
            (true, Some(_)) => QUARANTINE_MEMORY_MS,
            (false, _) if has_retrials => QUARANTINE_MEMORY_MS,
            (false, _) => SUSPICION_TTL_MS,
        }
    }

    /// Removes the suspicion of `work` on an operator's request; returns whether there was one.
    pub fn release(&mut self, work: &WorkDigest) -> bool {
        let released = self.remove(work);
        self.revision += u64::from(released);
        released
    }
}
