//! Creates a trace of a run from its scenario and the recorded requests.

use crate::deployment::Deployment;
use crate::trace::{Arrival, Scenario};
use saddlerelay_checker::record::Record;

/// Returns `scenario` with the arrivals in `records`. `started_at` is the start of the load in Unix milliseconds.
pub fn record_trace(scenario: &Scenario, deployment: &Deployment, records: &[Record], started_at: u64) -> Scenario {
    let mut arrivals: Vec<Arrival> =
        records.iter().filter_map(|record| arrival(deployment, record, started_at)).collect();
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    Scenario { arrivals, ..scenario.clone() }
}

fn arrival(deployment: &Deployment, record: &Record, started_at: u64) -> Option<Arrival> {
    let Record::Caller { from, tenant, caller, prefix, repeatable, .. } = record else {
        return None;
    };
    let index = deployment.tenants.iter().position(|candidate| candidate.id == *tenant)?;
    let caller = deployment.tenants[index].callers.iter().position(|candidate| candidate.name == caller.as_str())?;
    Some(Arrival {
        at_ms: from.saturating_sub(started_at),
        tenant: index as u32,
        caller: caller as u32,
        once: !repeatable,
        prefix: *prefix,
    })
}
