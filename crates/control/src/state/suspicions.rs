//! Work under which engines have ended, whoever ran it. Bounded in number and in time.

use bitcode::{Decode, Encode};
use saddlerelay_types::suspicion::{
    EngineLoss, HeldTrial, MOST_ENGINES_ENDED, Suspicion, SuspicionList, TrialAnswer, TrialId, TrialStanding,
    WorkEvidence,
};
use saddlerelay_types::work::WorkDigest;
use std::collections::BTreeMap;
use std::time::Duration;

/// Kinds of work that are remembered. An engine that ends takes up to its slots (some tens) with it, so this is the work of
/// some tens of engines; those under which the fewest engines have ended give way, the oldest first. All of it goes to each
/// relay at each change: 512 take about 30 KB.
const SUSPICIONS_KEPT: usize = 512;

/// How long work is suspected after the last engine has ended under it, in milliseconds: several times as long as engines
/// take to come back and clients to try again.
const SUSPECTED_MS: u64 = 10 * 60 * 1_000;

/// How long work is sent to no engine, in milliseconds. Afterwards one engine may try it: engines may have been mended.
const QUARANTINED_MS: u64 = 60 * 60 * 1_000;

/// Rights that are kept, also to work of which no evidence has come yet. Each belongs to a relay that has seen an engine end,
/// and goes within a lease of its end; so this is some times the work that one engine takes with it.
const TRIALS_KEPT: usize = 2 * SUSPICIONS_KEPT;

/// The right to run suspected work.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
struct Trial {
    id: TrialId,
    /// In Unix milliseconds: when the work itself is over, by its holder's account. Told to operators; decides nothing.
    until: u64,
    /// How often its holder has renewed it. Replicas watch this count by their own clocks: one that has not risen for
    /// a lease belongs to a holder that does nothing about the work any more.
    renewals: u32,
}

/// The table. Each change takes the next revision.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct SuspicionTable {
    by_work: BTreeMap<WorkDigest, Suspicion>,
    /// Suspected work that runs somewhere.
    trials: BTreeMap<WorkDigest, Trial>,
    revision: u64,
}

impl SuspicionTable {
    /// The revision of the newest change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether no work is suspected.
    pub fn is_empty(&self) -> bool {
        self.by_work.is_empty()
    }

    /// What is known of `work`, if engines have ended under it.
    pub fn get(&self, work: &WorkDigest) -> Option<&Suspicion> {
        self.by_work.get(work)
    }

    /// Whether `work` is sent to no engine.
    pub fn is_quarantined(&self, work: &WorkDigest) -> bool {
        self.get(work).is_some_and(Suspicion::is_quarantined)
    }

    /// Everything that is known.
    pub fn list(&self) -> SuspicionList {
        SuspicionList { revision: self.revision, suspicions: self.by_work.values().cloned().collect() }
    }

    /// Everything that is known, if it is newer than `revision`.
    pub fn newer_than(&self, revision: u64) -> Option<SuspicionList> {
        (self.revision > revision).then(|| self.list())
    }

    /// Whether evidence would change anything.
    pub fn is_news(&self, evidence: &WorkEvidence) -> bool {
        let is_new = |loss: &EngineLoss| {
            let known = self.get(&loss.work);
            known.is_none_or(|known| !known.is_quarantined() && !known.engines.contains(&loss.instance))
        };
        evidence.losses.iter().any(is_new) || evidence.served.iter().any(|work| self.by_work.contains_key(work))
    }

    /// Takes evidence at `now`, in Unix milliseconds. Work that has been served is cleared of what came before.
    pub fn take(&mut self, evidence: WorkEvidence, now: u64) {
        if !self.is_news(&evidence) {
            return;
        }
        self.revision += 1;
        for work in &evidence.served {
            self.by_work.remove(work);
        }
        for loss in evidence.losses {
            self.add(loss, now);
        }
        while self.by_work.len() > SUSPICIONS_KEPT {
            self.forget_weakest();
        }
    }

    fn add(&mut self, loss: EngineLoss, now: u64) {
        let work = loss.work;
        let unknown = Suspicion { work, engines: Vec::new(), last_at: now };
        let suspicion = self.by_work.entry(work).or_insert(unknown);
        if suspicion.engines.contains(&loss.instance) {
            return;
        }
        suspicion.last_at = now;
        if !suspicion.is_quarantined() {
            suspicion.engines.push(loss.instance);
        }
    }

    fn forget_weakest(&mut self) {
        let weakest = self.by_work.values().min_by_key(|suspicion| (suspicion.engines.len(), suspicion.last_at));
        if let Some(work) = weakest.map(|suspicion| suspicion.work) {
            self.by_work.remove(&work);
        }
    }

    /// Gives one try at a time the right to run suspected work. Two tries at two engines at once end both before either shows
    /// what the work does: of three engines that would be all.
    ///
    /// A right ends when it is given back, or when it is not renewed ([`Self::expire_trials`]); never by the time in the log,
    /// which a leader whose time of day is an hour ahead sets forward by an hour. `limit_ms` from `now` is when the work is over
    /// by its holder's own account, for whoever is refused.
    pub fn begin_trial(&mut self, work: WorkDigest, id: TrialId, now: u64, limit_ms: u64) -> TrialAnswer {
        if self.is_taken(&work, id) {
            return TrialAnswer::Taken;
        }
        // Evidence of what the asker has seen may still be on its way: the right is kept for then.
        if self.by_work.contains_key(&work) || self.trials.len() < TRIALS_KEPT {
            let until = now.saturating_add(limit_ms);
            self.trials.entry(work).or_insert(Trial { id, until, renewals: 0 });
        }
        TrialAnswer::Granted
    }

    /// Whether a try of `work` may not begin: another than `id` holds the right, or the work is sent to no engine and whoever
    /// asks has not heard yet.
    pub fn is_taken(&self, work: &WorkDigest, id: TrialId) -> bool {
        let suspected = self.by_work.contains_key(work);
        let is_held = || self.trials.get(work).is_some_and(|trial| trial.id != id);
        self.is_quarantined(work) || suspected && is_held()
    }

    /// Holders still run the work of these rights; returns those that are not theirs any more.
    pub fn renew_trials(&mut self, held: Vec<HeldTrial>) -> Vec<HeldTrial> {
        let mut lost = Vec::new();
        for right in held {
            match self.trials.get_mut(&right.work).filter(|trial| trial.id == right.id) {
                Some(trial) => trial.renewals += 1,
                // Work that is no longer suspected may run anywhere.
                None if !self.by_work.contains_key(&right.work) => {}
                None => lost.push(right),
            }
        }
        lost
    }

    /// Ends rights that have not been renewed since they stood like this.
    pub fn expire_trials(&mut self, standings: &[TrialStanding]) {
        for standing in standings {
            let stands = |trial: &Trial| trial.id == standing.held.id && trial.renewals == standing.renewals;
            if self.trials.get(&standing.held.work).is_some_and(stands) {
                self.trials.remove(&standing.held.work);
            }
        }
    }

    /// The rights that are held.
    pub fn trials(&self) -> impl Iterator<Item = TrialStanding> {
        self.trials.iter().map(|(work, trial)| TrialStanding {
            held: HeldTrial { work: *work, id: trial.id },
            renewals: trial.renewals,
        })
    }

    /// Who holds the right to run `work`, and until when at most, in Unix milliseconds.
    pub fn trial(&self, work: &WorkDigest) -> Option<(TrialId, u64)> {
        self.trials.get(work).map(|trial| (trial.id, trial.until))
    }

    /// How many rights to run suspected work are held.
    pub fn trials_held(&self) -> usize {
        self.trials.len()
    }

    /// A try is over, however it ended.
    pub fn end_trial(&mut self, work: &WorkDigest, id: TrialId) {
        if self.trials.get(work).is_some_and(|trial| trial.id == id) {
            self.trials.remove(work);
        }
    }

    /// All suspicions.
    pub fn iter(&self) -> impl Iterator<Item = &Suspicion> {
        self.by_work.values()
    }

    /// What is to be forgotten at `now`, and how long each is kept.
    pub fn due(&self, now: u64) -> impl Iterator<Item = (&Suspicion, Duration)> {
        let due = self.by_work.values().filter(move |suspicion| has_expired(suspicion, now));
        due.map(|suspicion| (suspicion, Duration::from_millis(kept_ms(suspicion))))
    }

    /// Whether something is to be forgotten at `now`.
    pub fn has_expired(&self, now: u64) -> bool {
        self.by_work.values().any(|suspicion| has_expired(suspicion, now))
    }

    /// Forgets what is too old: a suspicion as a whole, a quarantine but for one engine.
    pub fn expire(&mut self, now: u64) {
        if !self.has_expired(now) {
            return;
        }
        self.revision += 1;
        self.by_work.retain(|_, suspicion| suspicion.is_quarantined() || !has_expired(suspicion, now));
        for suspicion in self.by_work.values_mut().filter(|suspicion| has_expired(suspicion, now)) {
            suspicion.engines.truncate(MOST_ENGINES_ENDED - 1);
            suspicion.last_at = now;
        }
    }

    /// Forgets what is known of `work`, as an operator wants it; returns whether anything was.
    pub fn release(&mut self, work: &WorkDigest) -> bool {
        let released = self.by_work.remove(work).is_some();
        self.revision += u64::from(released);
        released
    }
}

fn has_expired(suspicion: &Suspicion, now: u64) -> bool {
    now >= suspicion.last_at.saturating_add(kept_ms(suspicion))
}

fn kept_ms(suspicion: &Suspicion) -> u64 {
    if suspicion.is_quarantined() { QUARANTINED_MS } else { SUSPECTED_MS }
}
