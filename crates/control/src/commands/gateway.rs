//! Commands for routing, engine instances, weight versions, batch jobs, store machines, orders, usage, suspicions,
//! trial leases and engine counts.

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
            reports.into_iter().for_each(|report| state.apply_report(report));
            GatewayOutcome::Done
        }
        GatewayCommand::RecordSilence { silent, resumed } => {
            state.instances.record_silence(&silent, &resumed);
            GatewayOutcome::Done
        }
        GatewayCommand::RemoveInstance(id) => {
            state.remove_instance(&id);
            GatewayOutcome::Done
        }
        GatewayCommand::PublishVersion(published) => {
            state.weights.record(published);
            GatewayOutcome::Done
        }
        GatewayCommand::SubmitJob { job, keep_ms } => {
            state.jobs.submit(job, state.time, keep_ms);
            GatewayOutcome::Done
        }
        GatewayCommand::SaveTexts { job, parts } => done_or_not_found(state.jobs.append_partial_texts(&job, &parts)),
        GatewayCommand::ListResults { job, outcomes } => match state.jobs.list(&job, outcomes) {
            None => GatewayOutcome::NotFound,
            Some(missing) if missing.is_empty() => GatewayOutcome::Done,
            Some(missing) => GatewayOutcome::TextMissing(missing),
        },
        GatewayCommand::EndJob(job) => done_or_not_found(state.jobs.end(&job)),
        GatewayCommand::RegisterStore(record) => {
            state.stores.register(record);
            GatewayOutcome::Done
        }
        GatewayCommand::RetireStore(name) => done_or_not_found(state.stores.retire(&name)),
        GatewayCommand::StoreRetired(name) => done_or_not_found(state.stores.complete(&name)),
        GatewayCommand::RecordOrderIntents { holder, subjects } => {
            let holder_changed = state.orders.record(holder, subjects);
            GatewayOutcome::Orders { fence: state.members.issue_fence(), holder_changed }
        }
        GatewayCommand::AddUsage(usage) => {
            usage.into_iter().for_each(|usage| state.usage.add(usage, state.time));
            GatewayOutcome::Done
        }
        GatewayCommand::CloseUsageWindows(last) => {
            state.usage.close_windows(last);
            GatewayOutcome::Done
        }
        GatewayCommand::UsageReported(window) => {
            state.usage.mark_reported(window);
            GatewayOutcome::Done
        }
        GatewayCommand::RecordEvidence(evidence) => {
            state.suspicions.record_evidence(evidence, state.time);
            GatewayOutcome::Done
        }
        GatewayCommand::BeginTrial(trial) => {
            GatewayOutcome::Trial(state.suspicions.begin_trial(trial.work, trial.id, state.time, trial.limit_ms))
        }
        GatewayCommand::RenewTrials(leases) => GatewayOutcome::TrialsLost(state.suspicions.renew_trials(leases)),
        GatewayCommand::ExpireTrials(leases) => {
            state.suspicions.expire_trials(&leases);
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
        GatewayCommand::AllowRetrials(retrials) => {
            retrials.iter().for_each(|retrial| state.suspicions.allow_retrial(retrial));
            GatewayOutcome::Done
        }
        GatewayCommand::ReleaseWork(work) => done_or_not_found(state.suspicions.release(&work)),
        GatewayCommand::ExpireJobs(advance) => {
            state.jobs.advance_uptime(advance);
            GatewayOutcome::Done
        }
        GatewayCommand::SetWantedEngines(wanted) => {
            state.engine_counts.set_wanted(wanted);
            GatewayOutcome::Done
        }
    }
}

fn done_or_not_found(found: bool) -> GatewayOutcome {
    if found { GatewayOutcome::Done } else { GatewayOutcome::NotFound }
}
