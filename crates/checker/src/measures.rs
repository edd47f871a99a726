//! Measures of a run: trainer idle time, sample staleness, request latency, configuration propagation, weight swaps.

use crate::record::{CallerResult, Record};
use hdrhistogram::Histogram;
use saddlerelay_types::request::Priority;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Percentiles of a set of durations in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Number of values.
    pub count: u64,
    /// Median, in milliseconds.
    pub p50: u64,
    /// 95th percentile, in milliseconds.
    pub p95: u64,
    /// 99th percentile, in milliseconds.
    pub p99: u64,
    /// Maximum, in milliseconds.
    pub max: u64,
}

/// Measures of one tenant's trainer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TrainerMeasures {
    /// Fraction of its time spent waiting for samples.
    pub idle_fraction: f64,
    /// Mean staleness of the received samples, in weight versions.
    pub staleness_mean: f64,
    /// Maximum staleness, in weight versions.
    pub staleness_max: u64,
    /// Number of training steps completed.
    pub steps: u64,
}

/// Measures of a whole run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Measures {
    /// Trainer measures by tenant.
    pub trainers: BTreeMap<String, TrainerMeasures>,
    /// Time to the complete response, by caller class.
    pub latency: BTreeMap<String, Percentiles>,
    /// Time to the first token, by caller class.
    pub first_token: BTreeMap<String, Percentiles>,
    /// Time from the acceptance of a change until it was observed on every unfenced relay.
    pub configuration_in_force: Percentiles,
    /// Time from the publication of a weight version until an engine has loaded it.
    pub weight_swap: Percentiles,
}

/// Computes percentiles of `values`; zeros count as 1 ms.
pub fn percentiles(values: impl IntoIterator<Item = u64>) -> Percentiles {
    let Ok(mut histogram) = Histogram::<u64>::new(3) else {
        return Percentiles::default();
    };
    for value in values {
        histogram.saturating_record(value.max(1));
    }
    Percentiles {
        count: histogram.len(),
        p50: histogram.value_at_quantile(0.50),
        p95: histogram.value_at_quantile(0.95),
        p99: histogram.value_at_quantile(0.99),
        max: histogram.max(),
    }
}

/// A caller class's name in reports.
pub fn class_name(class: Priority) -> &'static str {
    match class {
        Priority::Interactive => "interactive",
        Priority::Batch => "batch",
        Priority::Rollout => "rollout",
    }
}

/// Computes the measures of a whole run.
pub fn measure(records: &[Record]) -> Measures {
    Measures {
        trainers: trainer_measures(records),
        latency: latencies(records, |from, to, _| Some(to - from)),
        first_token: latencies(records, |_, _, first_token_after| first_token_after),
        configuration_in_force: percentiles(propagation_times(records)),
        weight_swap: percentiles(swap_times(records)),
    }
}

fn trainer_measures(records: &[Record]) -> BTreeMap<String, TrainerMeasures> {
    // Time waited, time trained and number of steps by tenant.
    let mut times: BTreeMap<String, (u64, u64, u64)> = BTreeMap::new();
    let mut staleness: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for record in records {
        match record {
            Record::Trained { tenant, waited, trained, .. } => {
                let time = times.entry(tenant.to_string()).or_default();
                *time = (time.0 + waited, time.1 + trained, time.2 + 1);
            }
            Record::SampleReceived { tenant, oldest, published, .. } => {
                let versions_behind = published.0.saturating_sub(oldest.0);
                staleness.entry(tenant.to_string()).or_default().push(versions_behind);
            }
            _ => {}
        }
    }
    let measure = |(tenant, (waited, trained, steps)): (String, (u64, u64, u64))| {
        let staleness_values = staleness.get(&tenant).cloned().unwrap_or_default();
        let measures = TrainerMeasures {
            idle_fraction: waited as f64 / (waited + trained).max(1) as f64,
            staleness_mean: staleness_values.iter().sum::<u64>() as f64 / staleness_values.len().max(1) as f64,
            staleness_max: staleness_values.iter().copied().max().unwrap_or(0),
            steps,
        };
        (tenant, measures)
    };
    times.into_iter().map(measure).collect()
}

fn latencies(
    records: &[Record],
    value: impl Fn(u64, u64, Option<u64>) -> Option<u64>,
) -> BTreeMap<String, Percentiles> {
    let mut by_class: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for record in records {
        if let Record::Caller { from, to, class, first_token_after, result: CallerResult::Answered { .. }, .. } = record
            && let Some(value) = value(*from, *to, *first_token_after)
        {
            by_class.entry(class_name(*class).to_string()).or_default().push(value);
        }
    }
    by_class.into_iter().map(|(class, values)| (class, percentiles(values))).collect()
}

/// For each accepted probe value, the time until the last relay first reported that value or a later one.
fn propagation_times(records: &[Record]) -> Vec<u64> {
    let accepted = records.iter().filter_map(|record| match record {
        Record::Change { to, probe: Some(probe), outcome, .. } if crate::check::is_accepted(outcome) => {
            Some((*probe, *to))
        }
        _ => None,
    });
    let last_reported_at = |probe: u64| {
        let mut first_reported_at: BTreeMap<&str, u64> = BTreeMap::new();
        for record in records {
            if let Record::Probe { to, relay, value: Some(value), .. } = record
                && *value >= probe
            {
                first_reported_at.entry(relay).or_insert(*to);
            }
        }
        first_reported_at.into_values().max()
    };
    accepted.filter_map(|(probe, at)| Some(last_reported_at(probe)?.saturating_sub(at))).collect()
}

/// For each completed weight swap, the time since the publication of its version.
fn swap_times(records: &[Record]) -> Vec<u64> {
    let mut published: BTreeMap<u64, u64> = BTreeMap::new();
    let mut times = Vec::new();
    for record in records {
        match record {
            Record::Published { at, version, .. } => {
                published.entry(version.0).or_insert(*at);
            }
            Record::Swap { at, version, loaded: Some(true), .. } => {
                times.extend(published.get(&version.0).map(|from| at.saturating_sub(*from)));
            }
            _ => {}
        }
    }
    times
}
