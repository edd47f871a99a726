//! Makes a trace of a run: the scenario's faults with every arrival that the callers recorded.

use crate::deployment::Deployment;
use crate::trace::{Arrival, Scenario};
use saddlerelay_checker::record::Record;

/// `scenario` with the arrivals of `records`; the load began at `started_at`, Unix milliseconds.
pub fn recorded(scenario: &Scenario, deployment: &Deployment, records: &[Record], started_at: u64) -> Scenario {
    let mut arrivals: Vec<Arrival> =
        records.iter().filter_map(|record| arrival(deployment, record, started_at)).collect();
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    Scenario { arrivals, ..scenario.clone() }
}

fn arrival(deployment: &Deployment, record: &Record, started_at: u64) -> Option<Arrival> {
    let Record::Caller { from, tenant, caller, prefix, repeatable, .. } = record else {
        return None;
    };
    let place = deployment.tenants.iter().position(|known| known.id == *tenant)?;
    let caller = deployment.tenants[place].callers.iter().position(|known| known.name == caller.as_str())?;
    Some(Arrival {
        at_ms: from.saturating_sub(started_at),
        tenant: place as u32,
        caller: caller as u32,
        once: !repeatable,
        prefix: *prefix,
    })
}
