//! What engine terminations tell about the work that ran on the engines. Since feature level four.
//!
//! Each termination is a loss for all work that ran there, most of it harmless. A loss says little about the work if
//! other engines, where it did not run, terminated at the same time: a rack, a zone or a release fails for a reason of
//! its own. Several losses before the first trial lease say no more than one: the same request, sent by several
//! callers, was running on all engines that failed. What is left are independent losses.

use bitcode::{Decode, Encode};
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::suspicion::{LAST_TRIAL_PAUSE, QUARANTINE_THRESHOLD, Suspicion};
use saddlerelay_types::work::WorkDigest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Terminations of engines within this time of each other are concurrent, in milliseconds of log time. Covers the time
/// in which lost connections are noticed, checked and committed.
const CONCURRENCY_WINDOW_MS: u64 = 1_000;

/// Number of other engines whose concurrent termination explains a loss. One may be a coincidence.
const EXPLAINING_TERMINATIONS: usize = 2;

/// Maximum number of terminations remembered; the oldest ones are forgotten.
const MAX_TERMINATIONS: usize = 512;

/// Maximum number of retrials of quarantined work without success. Bounds the engines that work crashes after its
/// quarantine, however long callers send it.
pub const MAX_RETRIALS: u32 = 3;

/// Time to the first and the second retrial of quarantined work if its losses are inconclusive. The second outlasts
/// restarts of several engines one after the other.
const EARLY_RETRIALS_AFTER: [Duration; 2] = [LAST_TRIAL_PAUSE, Duration::from_secs(15)];

/// Time to any other retrial, as the fault of the engines may have been fixed.
const RETRIAL_AFTER: Duration = Duration::from_secs(60 * 60);

/// An engine that terminated while it ran the work.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
struct Loss {
    instance: InstanceId,
    /// When it was recorded, in Unix milliseconds of log time.
    at: u64,
    /// Losses of the same episode count once.
    episode: u32,
}

/// The losses and trials of one piece of suspected work since it last succeeded.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
struct WorkHistory {
    losses: Vec<Loss>,
    /// Increases when a trial lease is granted, and after a loss under one.
    episode: u32,
    retrials: u32,
}

impl WorkHistory {
    /// The history of work that was suspected before losses were weighed: each loss counts.
    fn without_details(suspicion: &Suspicion) -> Self {
        let loss = |(episode, instance): (u32, &InstanceId)| Loss {
            instance: instance.clone(),
            at: suspicion.last_at,
            episode,
        };
        let losses: Vec<Loss> = (0..).zip(&suspicion.engines).map(loss).collect();
        Self { episode: losses.len() as u32, losses, retrials: 0 }
    }

    fn includes(&self, instance: &InstanceId) -> bool {
        self.losses.iter().any(|loss| loss.instance == *instance)
    }
}

/// Histories of all suspected work, and the terminations of engines.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct LossHistory {
    by_work: BTreeMap<WorkDigest, WorkHistory>,
    /// When each engine's termination was first recorded, in Unix milliseconds of log time.
    terminations: BTreeSet<(u64, InstanceId)>,
}

impl LossHistory {
    /// Starts with work that was suspected before.
    pub fn of<'a>(suspicions: impl Iterator<Item = &'a Suspicion>) -> Self {
        let by_work = suspicions.map(|suspicion| (suspicion.work, WorkHistory::without_details(suspicion)));
        Self { by_work: by_work.collect(), terminations: BTreeSet::new() }
    }

    /// Whether the loss of `instance` is recorded for `work`.
    pub fn includes(&self, work: &WorkDigest, instance: &InstanceId) -> bool {
        self.by_work.get(work).is_some_and(|history| history.includes(instance))
    }

    /// Whether the termination of `instance` is recorded.
    pub fn has_terminated(&self, instance: &InstanceId) -> bool {
        self.terminations.iter().any(|(_, terminated)| terminated == instance)
    }

    /// Records at `now`, in Unix milliseconds, that an engine terminated.
    pub fn record_termination(&mut self, instance: &InstanceId, now: u64) {
        if self.has_terminated(instance) {
            return;
        }
        self.terminations.insert((now, instance.clone()));
        while self.terminations.len() > MAX_TERMINATIONS {
            self.terminations.pop_first();
        }
    }

    /// Records at `now`, in Unix milliseconds, that `instance` terminated while it ran `work`. `is_leased` says whether
    /// somebody holds a trial lease for the work, so that it runs on one engine at a time.
    pub fn record_loss(&mut self, work: WorkDigest, instance: InstanceId, is_leased: bool, now: u64) {
        let history = self.by_work.entry(work).or_default();
        if !history.includes(&instance) {
            history.losses.push(Loss { instance, at: now, episode: history.episode });
            history.episode += u32::from(is_leased);
        }
    }

    /// Records that a trial lease was granted for suspected work.
    pub fn record_trial(&mut self, work: &WorkDigest) {
        if let Some(history) = self.by_work.get_mut(work) {
            history.episode = history.episode.saturating_add(1);
        }
    }

    /// Records that one more trial of quarantined work was allowed.
    pub fn record_retrial(&mut self, work: &WorkDigest) {
        if let Some(history) = self.by_work.get_mut(work) {
            history.retrials += 1;
        }
    }

    /// Forgets the history of work that is no longer suspected.
    pub fn remove(&mut self, work: &WorkDigest) {
        self.by_work.remove(work);
    }

    /// Number of retrials allowed since the work last succeeded.
    pub fn retrials(&self, work: &WorkDigest) -> u32 {
        self.by_work.get(work).map_or(0, |history| history.retrials)
    }

    /// Number of episodes with a loss that no failure of other engines explains.
    pub fn independent_losses(&self, work: &WorkDigest) -> usize {
        let Some(history) = self.by_work.get(work) else {
            return 0;
        };
        let unexplained = history.losses.iter().filter(|loss| !self.is_explained(history, loss));
        unexplained.map(|loss| loss.episode).collect::<BTreeSet<_>>().len()
    }

    /// Time from the quarantine of `work` to its next retrial; `None` if no further one is allowed.
    pub fn retrial_after(&self, work: &WorkDigest) -> Option<Duration> {
        let retrials = self.retrials(work);
        if retrials >= MAX_RETRIALS {
            return None;
        }
        let is_conclusive = self.independent_losses(work) >= QUARANTINE_THRESHOLD;
        let early = EARLY_RETRIALS_AFTER.get(retrials as usize).filter(|_| !is_conclusive);
        Some(early.copied().unwrap_or(RETRIAL_AFTER))
    }

    /// Whether enough engines on which the work did not run terminated at about the same time.
    fn is_explained(&self, history: &WorkHistory, loss: &Loss) -> bool {
        let from = (loss.at.saturating_sub(CONCURRENCY_WINDOW_MS), InstanceId::without_start_time(""));
        let concurrent = self.terminations.range(from..);
        let concurrent = concurrent.take_while(|(at, _)| *at <= loss.at.saturating_add(CONCURRENCY_WINDOW_MS));
        let others = concurrent.filter(|(_, instance)| !history.includes(instance));
        others.take(EXPLAINING_TERMINATIONS).count() == EXPLAINING_TERMINATIONS
    }
}
