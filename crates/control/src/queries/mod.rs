//! Read-only queries of the replicated state.

pub mod configuration;
pub mod weights;

use crate::state::ControlState;
use saddlerelay_types::protocol::{Query, QueryResult};

/// Answers a query from the replicated state; `None` for queries about the group's replicas or the relays.
pub fn answer(state: &ControlState, query: &Query) -> Option<QueryResult> {
    match query {
        Query::Object(name) => Some(QueryResult::Object(state.configuration.object(name).cloned())),
        Query::Objects => {
            let objects = state.configuration.live_objects().cloned().collect();
            Some(QueryResult::Objects(state.configuration.revision(), objects))
        }
        Query::Engines => Some(QueryResult::Engines(state.members.engines().cloned().collect())),
        Query::Trainer(tenant) => {
            let trainer = state.rollouts.trainers.get(tenant);
            Some(QueryResult::Trainer(trainer.map(|trainer| trainer.state.clone())))
        }
        Query::Relays | Query::Group => None,
    }
}
