//! What the order of waiting items needs to know about a job: its trainer, and the groups that the trainer waits for.

use crate::job_run::{ItemRun, Phase};
use crate::pace::Paces;
use saddlerelay_scheduling::order::{GroupProgress, wanted_groups};
use saddlerelay_scheduling::shares::Trainer;
use saddlerelay_types::job::JobSubmission;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Interval between evaluations of a job's groups; a few events, as progress changes by whole events.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(150);

/// The trainer of a job. Jobs of one owner for the same host, parent path and model belong to one trainer, as for the
/// reuse of texts.
pub(crate) fn trainer_of(submission: &JobSubmission) -> Trainer {
    let parent = submission.path.rsplit_once('/').map_or("", |(parent, _)| parent);
    let model = submission.model.as_deref().unwrap_or("-");
    Trainer { tenant: submission.owner.clone(), name: format!("{}{parent} {model}", submission.host) }
}

/// Which groups of a job its trainer waits for.
pub(crate) struct WantedGroups {
    /// Group of each item.
    group_of: Vec<u32>,
    /// Whether an earlier job contained items of each group.
    repeated: Vec<bool>,
    wanted: Vec<bool>,
    count: usize,
    evaluated_at: Option<Duration>,
}

impl WantedGroups {
    pub fn new(submission: &JobSubmission, repeated_groups: &BTreeSet<String>) -> Self {
        let mut numbers: BTreeMap<&str, u32> = BTreeMap::new();
        let mut repeated = Vec::new();
        let group_of = submission.items.iter().map(|item| {
            *numbers.entry(item.group.as_str()).or_insert_with(|| {
                repeated.push(repeated_groups.contains(&item.group));
                repeated.len() as u32 - 1
            })
        });
        let group_of = group_of.collect();
        // A job that names no number waits for all its groups.
        let count = match submission.wanted_groups {
            0 => repeated.len(),
            count => count as usize,
        };
        Self { group_of, wanted: vec![true; repeated.len()], repeated, count, evaluated_at: None }
    }

    /// Evaluates the progress of the groups, at most once in [`EVALUATION_INTERVAL`].
    pub fn update(&mut self, items: &[ItemRun], paces: &Paces, now: Duration) {
        let is_recent = self.evaluated_at.is_some_and(|at| now < at + EVALUATION_INTERVAL);
        if is_recent || self.count >= self.repeated.len() {
            return;
        }
        self.evaluated_at = Some(now);
        let progress = |repeated: &bool| GroupProgress { repeated: *repeated, remaining: Duration::ZERO };
        let mut groups: Vec<GroupProgress> = self.repeated.iter().map(progress).collect();
        for (run, group) in items.iter().zip(&self.group_of) {
            let pace = match &run.phase {
                Phase::Running { instance, .. } => paces.of(instance),
                Phase::Waiting => paces.median(),
                Phase::Scoring { .. } | Phase::Ended => continue,
            };
            let remaining = Duration::try_from_secs_f64(run.remaining_events() * pace).unwrap_or(Duration::MAX);
            let group = &mut groups[*group as usize];
            group.remaining = group.remaining.max(remaining);
        }
        self.wanted = wanted_groups(&groups, self.count);
    }

    /// Whether the trainer waits for the group of an item.
    pub fn includes(&self, index: u32) -> bool {
        self.group_of.get(index as usize).is_none_or(|group| self.wanted[*group as usize])
    }
}
