//! Target weight version of each model.

use crate::state::ControlState;
use saddlerelay_types::identity::{ModelName, WeightVersion};
use saddlerelay_types::protocol::ModelTarget;
use std::collections::BTreeMap;

/// Staleness share if the weights of all tenants are zero.
const DEFAULT_SHARE_PERCENT: u32 = 50;

/// The target version of each model that has a trainer: the highest of its tenants' pinned or, if not pinned, published
/// versions.
pub fn targets(state: &ControlState) -> Vec<ModelTarget> {
    let mut targets: BTreeMap<ModelName, WeightVersion> = BTreeMap::new();
    for (tenant, trainer) in &state.rollouts.trainers {
        let Some(parameters) = state.configuration.parameters(tenant) else {
            continue;
        };
        let version = parameters.pinned_version.unwrap_or(trainer.state.published);
        let target = targets.entry(parameters.model).or_default();
        *target = version.max(*target);
    }
    targets.into_iter().map(|(model, version)| ModelTarget { model, version }).collect()
}

/// Weight of staleness relative to trainer idle time over all tenants of `model`, in percent.
pub fn staleness_share_percent(state: &ControlState, model: &ModelName) -> u32 {
    let tenants = state.configuration.tenants();
    let parameters = tenants.filter_map(|(tenant, _)| state.configuration.parameters(tenant));
    let (mut staleness, mut total) = (0, 0);
    for parameters in parameters.filter(|parameters| parameters.model == *model) {
        staleness += parameters.staleness_weight;
        total += parameters.staleness_weight + parameters.idle_weight;
    }
    (staleness * 100).checked_div(total).unwrap_or(DEFAULT_SHARE_PERCENT)
}
