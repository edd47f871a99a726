//! The work of samples that trainers still wait for. It is owed, so that its quarantine ends after a growing pause.

use crate::state::ControlState;
use crate::state::rollouts::{RolloutLedger, Step};
use saddlerelay_types::identity::{StepNumber, TenantId};
use saddlerelay_types::work::WorkDigest;
use std::collections::{BTreeMap, BTreeSet};

/// Digests of the prompts of open steps, computed once per step.
#[derive(Debug, Default)]
pub struct OwedSamples {
    by_step: BTreeMap<(TenantId, StepNumber), BTreeSet<WorkDigest>>,
}

impl OwedSamples {
    /// Brings the digests up to date with the open steps. Computes those of new steps.
    pub fn observe(&mut self, state: &ControlState) {
        let is_open = |ledger: &RolloutLedger, tenant: &TenantId, step: &StepNumber| {
            ledger.trainers.get(tenant).is_some_and(|trainer| trainer.steps.contains_key(step))
        };
        self.by_step.retain(|(tenant, step), _| is_open(&state.rollouts, tenant, step));
        for (tenant, trainer) in &state.rollouts.trainers {
            for (number, step) in &trainer.steps {
                let key = (tenant.clone(), *number);
                self.by_step.entry(key).or_insert_with(|| digests(state, tenant, step));
            }
        }
    }

    /// Forgets all steps; the next observation computes them again.
    pub fn clear(&mut self) {
        self.by_step.clear();
    }

    /// Whether the work is that of a sample of an open step.
    pub fn contains(&self, work: &WorkDigest) -> bool {
        self.by_step.values().any(|digests| digests.contains(work))
    }
}

fn digests(state: &ControlState, tenant: &TenantId, step: &Step) -> BTreeSet<WorkDigest> {
    let Some(parameters) = state.configuration.parameters(tenant) else {
        return BTreeSet::new();
    };
    let digest = |prompt: &String| WorkDigest::of_generation(tenant, &parameters.model, prompt);
    step.request.prompts.iter().map(digest).collect()
}
