//! Formats the result of a run as text and as JSON.

use crate::run::RunResult;
use saddlerelay_checker::measures::Percentiles;
use serde_json::{Value, json};

fn percentiles(name: &str, values: &Percentiles) -> String {
    format!(
        "  {name:<34} p50 {:>6} ms   p95 {:>6} ms   p99 {:>6} ms   max {:>6} ms   ({} values)\n",
        values.p50, values.p95, values.p99, values.max, values.count
    )
}

/// Formats the result as text.
pub fn table(result: &RunResult) -> String {
    let counts = &result.report.counts;
    let measures = &result.report.measures;
    let mut text = String::from("\nRequests\n");
    text += &format!(
        "  {} sent, {} answered completely, {} not executed, {} unknown, {} failed while executing, {} lost\n",
        counts.requests,
        counts.answered,
        counts.not_executed,
        counts.unknown,
        counts.failed_while_executing,
        counts.lost
    );
    text += &format!(
        "  {} must run at most once, {} executed more often; {} executions on engines\n",
        counts.non_repeatable, counts.non_repeatable_doubled, counts.executions
    );
    text += "Samples\n";
    text += &format!(
        "  {} requested, {} received, {} duplicated, {} missing, {} too stale; {} versions published\n",
        counts.samples_expected,
        counts.samples_delivered,
        counts.samples_duplicated,
        counts.samples_missing,
        counts.samples_stale,
        counts.versions_published
    );
    for (tenant, trainer) in &measures.trainers {
        text += &format!(
            "  trainer {tenant}: {} steps, idle {:.1} %, staleness mean {:.2} max {} versions\n",
            trainer.steps,
            trainer.idle_fraction * 100.0,
            trainer.staleness_mean,
            trainer.staleness_max
        );
    }
    text += "Times\n";
    for (class, values) in &measures.latency {
        text += &percentiles(&format!("complete response, {class}"), values);
    }
    for (class, values) in &measures.first_token {
        text += &percentiles(&format!("first token, {class}"), values);
    }
    text += &percentiles("configuration applied on all relays", &measures.configuration_in_force);
    text += &percentiles("weights published to loaded", &measures.weight_swap);
    text +=
        &format!("Configuration\n  {} changes accepted; {} faults injected\n", counts.changes_accepted, counts.faults);
    text += "Processes (memory, share of one core)\n";
    for (name, usage) in &result.usage {
        if name.starts_with("control") || name.starts_with("relay") {
            let share = usage.processor_milliseconds as f64 / (result.seconds * 10.0);
            text += &format!("  {name:<12} {:>6.1} MB  {share:>5.1} %\n", usage.resident_bytes as f64 / 1e6);
        }
    }
    text += &format!("Violations: {}\n", result.report.violations.len());
    for violation in result.report.violations.iter().take(20) {
        text += &format!("  {:?}: {}\n", violation.promise, violation.detail);
    }
    text
}

/// Formats the result as JSON.
pub fn json_report(result: &RunResult) -> Value {
    json!({
        "violations": result.report.violations,
        "counts": result.report.counts,
        "measures": result.report.measures,
        "usage": result.usage,
        "seconds": result.seconds,
    })
}
