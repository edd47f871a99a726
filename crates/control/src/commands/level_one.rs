//! Applies committed commands of feature level one exactly as builds that support only that level apply them.

use super::{claims, configuration, gateway, membership, rollouts};
use crate::state::ControlState;
use saddlerelay_layouts::level_one::gateway::GatewayCommand as GatewayCommandOne;
use saddlerelay_layouts::level_one::protocol::{Command, LogCommand};
use saddlerelay_types::gateway::{GatewayCommand, GatewayOutcome};
use saddlerelay_types::protocol::CommandOutcome;

/// Applies one committed command.
pub fn apply(state: &mut ControlState, entry: LogCommand) -> CommandOutcome {
    super::advance_time(state, entry.time);
    match entry.command {
        Command::Configuration(change) => CommandOutcome::Configuration(configuration::apply(state, change)),
        Command::Claim(command) => CommandOutcome::Claim(claims::apply(state, command)),
        Command::Rollout(command) => rollouts::apply(state, command),
        Command::Membership(command) => membership::apply(state, command),
        Command::Gateway(command) => CommandOutcome::Gateway(apply_gateway(state, command)),
    }
}

fn apply_gateway(state: &mut ControlState, command: GatewayCommandOne) -> GatewayOutcome {
    use GatewayCommandOne as One;
    match command {
        One::PutRouting(document) => {
            state.routing.put(document.into());
            GatewayOutcome::Done
        }
        One::ReportInstance(report) => {
            state.instances.apply_report_level_one(report.into());
            GatewayOutcome::Done
        }
        One::RemoveInstance(id) => {
            let id = id.into();
            state.instances.remove(&id);
            state.orders.remove_engine(&id);
            GatewayOutcome::Done
        }
        One::TakeOrders(holder) => {
            let holder_changed = state.orders.set_holder_level_one(holder);
            GatewayOutcome::Orders { fence: state.members.issue_fence(), holder_changed }
        }
        One::RecordOrderIntents { holder, instances } => {
            state.orders.record_level_one(holder, instances);
            GatewayOutcome::Done
        }
        One::PublishVersion(published) => gateway::apply(state, GatewayCommand::PublishVersion(published)),
        One::SubmitJob { job, keep_ms } => {
            gateway::apply(state, GatewayCommand::SubmitJob { job: job.into(), keep_ms })
        }
        One::SaveTexts { job, parts } => gateway::apply(state, GatewayCommand::SaveTexts { job, parts }),
        One::ListResults { job, outcomes } => gateway::apply(state, GatewayCommand::ListResults { job, outcomes }),
        One::EndJob(job) => gateway::apply(state, GatewayCommand::EndJob(job)),
        One::RegisterStore(record) => gateway::apply(state, GatewayCommand::RegisterStore(record)),
        One::RetireStore(name) => gateway::apply(state, GatewayCommand::RetireStore(name)),
        One::StoreRetired(name) => gateway::apply(state, GatewayCommand::StoreRetired(name)),
    }
}
