//! Routing documents, engine instances, named versions, batch jobs and store machines.

use crate::state::ControlState;
use saddlerelay_types::gateway::{GatewayCommand, GatewayOutcome};

/// Applies a gateway command.
pub fn apply(state: &mut ControlState, command: GatewayCommand) -> GatewayOutcome {
    match command {
        GatewayCommand::PutRouting(document) => {
            state.routing.put(document);
            GatewayOutcome::Done
        }
        GatewayCommand::ReportInstance(report) => {
            state.instances.take_report(report);
            GatewayOutcome::Done
        }
        GatewayCommand::RemoveInstance(id) => {
            state.instances.remove(&id);
            state.weights.forget_engine(&id);
            GatewayOutcome::Done
        }
        GatewayCommand::NameVersion(named) => {
            state.weights.name(named);
            GatewayOutcome::Done
        }
        GatewayCommand::SubmitJob { job, keep_ms } => {
            state.jobs.submit(job, state.time, keep_ms);
            GatewayOutcome::Done
        }
        GatewayCommand::KeepTexts { job, parts } => found(state.jobs.keep_texts(&job, &parts)),
        GatewayCommand::ListResults { job, outcomes } => match state.jobs.list(&job, outcomes) {
            None => GatewayOutcome::NotFound,
            Some(missing) if missing.is_empty() => GatewayOutcome::Done,
            Some(missing) => GatewayOutcome::TextMissing(missing),
        },
        GatewayCommand::EndJob(job) => found(state.jobs.end(&job)),
        GatewayCommand::RegisterStore(record) => {
            state.stores.register(record);
            GatewayOutcome::Done
        }
        GatewayCommand::RetireStore(name) => found(state.stores.retire(&name)),
        GatewayCommand::StoreRetired(name) => found(state.stores.complete(&name)),
        GatewayCommand::NoteOrders { holder, instances } => {
            state.weights.note_orders(holder, instances);
            GatewayOutcome::Done
        }
        GatewayCommand::TakeOrders(replica) => {
            let taken_over = state.weights.take_orders(replica);
            GatewayOutcome::Orders { fence: state.members.draw_fence(), taken_over }
        }
    }
}

fn found(found: bool) -> GatewayOutcome {
    if found { GatewayOutcome::Done } else { GatewayOutcome::NotFound }
}
