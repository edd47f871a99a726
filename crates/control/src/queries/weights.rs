//! Which weight version each model's engines should run.

use crate::state::ControlState;
use saddlerelay_types::identity::{ModelName, WeightVersion};
use saddlerelay_types::protocol::ModelTarget;
use std::collections::BTreeMap;

/// Share of staleness when no tenant weighs either measure.
const EVEN_SHARE_PERCENT: u32 = 50;

/// The newest published version of each model that has a trainer, or the version a tenant pins.
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

/// How much staleness counts against trainer idle time among the tenants of `model`, 0 to 100.
pub fn staleness_share_percent(state: &ControlState, model: &ModelName) -> u32 {
    let tenants = state.configuration.tenants();
    let parameters = tenants.filter_map(|(tenant, _)| state.configuration.parameters(tenant));
    let (mut staleness, mut total) = (0, 0);
    for parameters in parameters.filter(|parameters| parameters.model == *model) {
        staleness += parameters.staleness_weight;
        total += parameters.staleness_weight + parameters.idle_weight;
    }
    (staleness * 100).checked_div(total).unwrap_or(EVEN_SHARE_PERCENT)
}
