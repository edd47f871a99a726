//! Conversion of log commands.

use crate::level_one::gateway as one;
use crate::level_one::protocol as one_protocol;
use crate::level_one::routing as one_routing;
use saddlerelay_types::gateway::{GatewayCommand, OrderSubject};
use saddlerelay_types::protocol::Command;

/// Converts `command` to level one commands that together have the same effect.
fn gateway_commands_to_one(command: GatewayCommand) -> Option<Vec<one::GatewayCommand>> {
    use one::GatewayCommand as One;
    Some(match command {
        GatewayCommand::PutRouting(document) => vec![One::PutRouting(one_routing::RoutingDocument::of(document)?)],
        GatewayCommand::ReportInstances(reports) => {
            reports.into_iter().map(|report| One::ReportInstance(report.into())).collect()
        }
        GatewayCommand::RemoveInstance(id) => vec![One::RemoveInstance((&id).into())],
        GatewayCommand::PublishVersion(loaded_model) => vec![One::PublishVersion(loaded_model)],
        GatewayCommand::SubmitJob { job, keep_ms } => {
            vec![One::SubmitJob { job: one::JobSubmission::of(job)?, keep_ms }]
        }
        GatewayCommand::SaveTexts { job, parts } => vec![One::SaveTexts { job, parts }],
        GatewayCommand::ListResults { job, outcomes } => vec![One::ListResults { job, outcomes }],
        GatewayCommand::EndJob(job) => vec![One::EndJob(job)],
        GatewayCommand::RegisterStore(record) => vec![One::RegisterStore(record)],
        GatewayCommand::RetireStore(name) => vec![One::RetireStore(name)],
        GatewayCommand::StoreRetired(name) => vec![One::StoreRetired(name)],
        GatewayCommand::RecordOrderIntents { holder, subjects } => {
            let engine = |subject| match subject {
                OrderSubject::Engine(name) => Some(one::InstanceId(name)),
                OrderSubject::UsageReports | OrderSubject::EngineCount(_) => None,
            };
            let instances = subjects.into_iter().map(engine).collect::<Option<_>>()?;
            vec![One::RecordOrderIntents { holder, instances }, One::TakeOrders(holder)]
        }
        GatewayCommand::RecordSilence { .. }
        | GatewayCommand::AddUsage(_)
        | GatewayCommand::CloseUsageWindows(_)
        | GatewayCommand::UsageReported(_)
        | GatewayCommand::SetWantedEngines(_)
        | GatewayCommand::RecordEvidence(_)
        | GatewayCommand::BeginTrial(_)
        | GatewayCommand::RenewTrials(_)
        | GatewayCommand::ExpireTrials(_)
        | GatewayCommand::EndTrial { .. }
        | GatewayCommand::ExpireSuspicions
        | GatewayCommand::ReleaseWork(_)
        | GatewayCommand::ExpireJobs(_)
        | GatewayCommand::AllowRetrials(_) => return None,
    })
}

/// Converts `command` to level one commands that together have the same effect; `None` if level one cannot express it.
pub fn commands_to_one(command: Command) -> Option<Vec<one_protocol::Command>> {
    use one_protocol::Command as One;
    Some(match command {
        Command::Configuration(change) => vec![One::Configuration(change)],
        Command::Claim(command) => vec![One::Claim(command)],
        Command::Rollout(command) => vec![One::Rollout(command)],
        Command::Membership(command) => vec![One::Membership(command)],
        Command::Gateway(command) => gateway_commands_to_one(command)?.into_iter().map(One::Gateway).collect(),
    })
}
