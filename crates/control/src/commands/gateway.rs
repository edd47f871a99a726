//! Routing documents, engine instances, named versions, batch jobs, store machines and suspected work.

use crate::state::ControlState;
use saddlerelay_types::gateway::{GatewayCommand, GatewayOutcome};

/// Applies a gateway command.
pub fn apply(state: &mut ControlState, command: GatewayCommand) -> GatewayOutcome {
    match command {
        GatewayCommand::PutRouting(document) => {
            state.put_routing(document);
            GatewayOutcome::Done
        }
        GatewayCommand::ReportInstances(reports) => {
            reports.into_iter().for_each(|report| state.take_report(report));
            GatewayOutcome::Done
        }
        GatewayCommand::NoteSilence { silent, heard } => {
            state.instances.note_silence(&silent, &heard);
            GatewayOutcome::Done
        }
        GatewayCommand::RemoveInstance(id) => {
            state.remove_instance(&id);
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
        GatewayCommand::NoteOrders { holder, subjects } => {
            let taken_over = state.orders.note(holder, subjects);
            GatewayOutcome::Orders { fence: state.members.draw_fence(), taken_over }
        }
        GatewayCommand::AddUsage(usage) => {
            usage.into_iter().for_each(|usage| state.usage.add(usage, state.time));
            GatewayOutcome::Done
        }
        GatewayCommand::FixUsage(last) => {
            state.usage.fix(last);
            GatewayOutcome::Done
        }
        GatewayCommand::UsageReported(window) => {
            state.usage.reported(window);
            GatewayOutcome::Done
        }
        GatewayCommand::TakeEvidence(evidence) => {
            state.suspicions.take(evidence, state.time);
            GatewayOutcome::Done
        }
        GatewayCommand::BeginTrial(trial) => {
            GatewayOutcome::Trial(state.suspicions.begin_trial(trial.work, trial.id, state.time, trial.limit_ms))
        }
        GatewayCommand::RenewTrials(held) => GatewayOutcome::TrialsLost(state.suspicions.renew_trials(held)),
        GatewayCommand::ExpireTrials(standings) => {
            state.suspicions.expire_trials(&standings);
            GatewayOutcome::Done
        }
        GatewayCommand::EndTrial { work, id } => {
            state.suspicions.end_trial(&work, id);
            GatewayOutcome::Done
        }
        GatewayCommand::ExpireSuspicions => {
            state.suspicions.expire(state.time);
            GatewayOutcome::Done
        }
        GatewayCommand::ReleaseWork(work) => found(state.suspicions.release(&work)),
        GatewayCommand::WantEngines(wanted) => {
            state.engine_counts.want(wanted);
            GatewayOutcome::Done
        }
    }
}

fn found(found: bool) -> GatewayOutcome {
    if found { GatewayOutcome::Done } else { GatewayOutcome::NotFound }
}
