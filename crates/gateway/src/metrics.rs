//! Counters and latency histograms of a gateway.

use saddlerelay_telemetry::registry::{Counter, Histogram, MetricRegistry};
use std::time::Duration;

/// Metrics of a gateway since it started.
pub struct GatewayMetrics {
    registry: MetricRegistry,
    /// Requests received.
    pub requests: Counter,
    /// Engine responses forwarded to clients.
    pub answered: Counter,
    /// Requests rejected with status 503, without execution.
    pub rejected: Counter,
    /// Requests that the gateway answered with any other error status; they may have executed.
    pub failed: Counter,
    /// Retries: attempts after a request's first, without hedges.
    pub retries: Counter,
    /// Hedged requests.
    pub hedges: Counter,
    /// Requests that were admitted by reported load.
    pub admitted: Counter,
    /// Requests rejected because all engines are full.
    pub rejected_full: Counter,
    /// Requests rejected because no engine was expected to answer in time.
    pub rejected_late: Counter,
    /// Hedges that were not made because engines report waiting requests, or because the share of hedges was used up.
    pub hedges_withheld: Counter,
    /// Requests that tried a failed engine again because all others were full.
    pub probes: Counter,
    /// Engines that terminated during a request of this relay.
    pub engines_terminated: Counter,
    /// Requests rejected because their work is suspected of crashing engines.
    pub suspected_work_rejected: Counter,
    /// Requests with an unknown or missing API key.
    pub keys_refused: Counter,
    /// Requests counted towards a tenant's usage.
    pub usage_counted: Counter,
    /// Lease expirations.
    pub leases_lost: Counter,
    /// Log lines about the search for the control group, one per second without a lease.
    pub searches_logged: Counter,
    /// Result reads served by a control replica in the relay's zone.
    pub results_read_in_zone: Counter,
    /// Time from a request's arrival to the end of its buffered response, in seconds.
    pub request_seconds: Histogram,
    /// Least expected time to an answer when a request was rejected by reported load, in seconds.
    pub expected_at_rejection_seconds: Histogram,
    /// Time from the start of an attempt to the end of its response or its failure, in seconds.
    pub attempt_seconds: Histogram,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        let mut registry = MetricRegistry::new("saddlerelay_gateway");
        let mut counter = |name: &str, help: &str| registry.counter(name, help);
        let requests = counter("requests", "Requests taken");
        let answered = counter("answered", "Answers of engines passed on");
        let rejected = counter("refused", "Requests refused that have not run");
        let failed = counter("failed", "Requests that failed and may have run");
        let retries = counter("retries", "Attempts beyond a request's first");
        let hedges = counter("hedges", "Requests tried at a second engine because the first was slow");
        let admitted = counter("admitted_by_load", "Requests admitted by reported load");
        let rejected_full = counter("refused_full", "Requests refused because all engines are full");
        let rejected_late = counter("refused_late", "Requests refused because no engine would answer in time");
        let hedges_withheld = counter("hedges_withheld", "Hedges not made because of reported load or their number");
        let probes = counter("failed_engines_probed", "Requests that tried a failed engine because others were full");
        let engines_terminated = counter("engines_ended", "Engines found to have ended under a request");
        let suspected_work_rejected =
            counter("kept_from_engines", "Requests not sent on because engines have ended under their work");
        let keys_refused = counter("keys_refused", "Calls with an unknown key, or with none where one is needed");
        let usage_counted = counter("usage_counted", "Requests of tenants that engines have begun");
        let leases_lost = counter("leases_lost", "Times that the lease ended");
        let searches_logged = counter("control_searches_told", "Seconds without a lease, each told in the log");
        let results_read_in_zone =
            counter("results_read_nearby", "Reads of results answered by a replica in the own zone");
        let mut histogram = |name: &str, help: &str| registry.seconds(name, help, 0.001, 15);
        let request_seconds = histogram("request_seconds", "From a request's arrival to the end of its answer");
        let expected_at_rejection_seconds =
            histogram("expected_at_refusal_seconds", "Least expected time to an answer at a refusal by load");
        let attempt_seconds = histogram("attempt_seconds", "From an attempt's start to the end of its answer");
        Self {
            registry,
            requests,
            answered,
            rejected,
            failed,
            retries,
            hedges,
            admitted,
            rejected_full,
            rejected_late,
            hedges_withheld,
            probes,
            engines_terminated,
            suspected_work_rejected,
            keys_refused,
            usage_counted,
            leases_lost,
            searches_logged,
            results_read_in_zone,
            request_seconds,
            expected_at_rejection_seconds,
            attempt_seconds,
        }
    }
}

impl GatewayMetrics {
    /// Records an attempt's duration.
    pub fn observe_attempt(&self, duration: Duration) {
        self.attempt_seconds.observe(duration.as_secs_f64());
    }

    /// Encodes the metrics in the text exposition format.
    pub fn encode(&self) -> String {
        self.registry.encode()
    }
}
