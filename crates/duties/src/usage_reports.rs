//! Reports to the platform the number of requests that engines started for each tenant, per time window.
//!
//! The counts of a window are committed before the first call. The current leader retries the same counts until the
//! platform accepts them. Only one report is in flight at a time.

use crate::Duties;
use crate::backoff::Backoff;
use crate::client::PlatformClient;
use crate::config::UsageReportConfig;
use crate::format::{CallGrant, PlatformResponse};
use saddlerelay_control::state::ControlState;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::gateway::{GatewayCommand, GatewayOutcome, OrderSubject};
use saddlerelay_types::usage::{UsageReport, UsageWindow};
use std::rc::Rc;
use std::time::Duration;

/// Interval between checks for a due report.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a call; long enough for a slow platform, and short enough for retries before the report is due.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Runs until the process ends; sends reports only while this process is leader.
pub async fn run<P: Runtime, B: Backends, C: PlatformClient>(duties: Rc<Duties<P, B, C>>, config: UsageReportConfig) {
    let mut backoff = Backoff::default();
    loop {
        duties.runtime.sleep(CHECK_INTERVAL).await;
        duties.node.observe_order_intents();
        let Some(term) = duties.node.replica().leading_term() else {
            backoff.reset();
            continue;
        };
        duties.commit_closed_windows(config).await;
        if !backoff.is_elapsed(duties.runtime.monotonic()) || !duties.node.may_order(&OrderSubject::UsageReports) {
            continue;
        }
        let group_unix_ms = duties.node.group_unix_ms();
        let Some(report) = duties.node.read(|state| next_report(state, config, group_unix_ms)).flatten() else {
            continue;
        };
        if duties.send_report(term, &report, config).await {
            backoff.reset();
        } else {
            backoff.record_failure(&duties.runtime);
        }
    }
}

/// The newest window whose counting time has elapsed at `unix_ms`.
fn newest_closed(config: UsageReportConfig, unix_ms: u64) -> Option<UsageWindow> {
    let length_ms = config.window.as_millis() as u64;
    let counted_until = unix_ms.saturating_sub(config.counting_time().as_millis() as u64);
    let open = UsageWindow::containing(counted_until, length_ms);
    open.0.checked_sub(1).map(UsageWindow)
}

/// The report to send next: the oldest one that is not overdue, otherwise the newest overdue one.
fn next_report(state: &ControlState, config: UsageReportConfig, group_unix_ms: Option<u64>) -> Option<UsageReport> {
    let is_late = |report: &UsageReport| group_unix_ms.is_some_and(|now| now > due_at_ms(report.window, config));
    let on_time = state.usage.unreported().find(|report| !is_late(report));
    on_time.or_else(|| state.usage.unreported().last())
}

/// When a window's report is due, in Unix milliseconds.
fn due_at_ms(window: UsageWindow, config: UsageReportConfig) -> u64 {
    window.ends_at_ms(config.window.as_millis() as u64) + config.due_after.as_millis() as u64
}

impl<P: Runtime, B: Backends, C: PlatformClient> Duties<P, B, C> {
    /// Commits the final counts of ended windows, if the routing document defines tenants.
    async fn commit_closed_windows(&self, config: UsageReportConfig) {
        let closed = self.node.group_unix_ms().and_then(|unix_ms| newest_closed(config, unix_ms));
        let Some(closed) = closed else {
            return;
        };
        let is_open = self.node.read(|state| {
            let has_tenants = state.routing.current().is_some_and(|document| document.tenants.is_some());
            has_tenants && state.usage.first_open().is_none_or(|first| first <= closed)
        });
        if is_open != Some(true) {
            return;
        }
        match self.node.commit_gateway(GatewayCommand::CloseUsageWindows(closed)).await {
            Ok(_) => {
                self.metrics.windows_closed.inc();
                let uncounted = self.node.read_applied(|state| state.usage.late_requests());
                spdlog::info!("usage window counts committed", kv: { window = closed.0, uncounted = uncounted });
            }
            Err(error) => {
                spdlog::warn!("usage window counts not committed", kv: {
                    window = closed.0, reason = format!("{error:?}").as_str()
                });
            }
        }
    }

    /// Sends a report; returns whether the platform accepted it and that acceptance was committed.
    async fn send_report(&self, term: u64, report: &UsageReport, config: UsageReportConfig) -> bool {
        let Some(grant) = self.node.commit_order_intent(term, vec![OrderSubject::UsageReports]).await else {
            return false;
        };
        let call_grant = CallGrant { holder: self.name.clone(), fence: grant.fence };
        let call = self.platform_format.usage_report(&call_grant, report);
        let began_at = self.runtime.monotonic();
        let answered = self.client.call(call, CALL_TIMEOUT, || self.node.grant_is_valid(&grant)).await;
        let outcome = match &answered {
            Ok(status) => format!("{:?}", self.platform_format.response(*status, None)),
            Err(failure) => failure.to_string(),
        };
        let accepted =
            answered.is_ok_and(|status| self.platform_format.response(status, None) == PlatformResponse::Taken);
        let late = self.node.group_unix_ms().is_some_and(|now| now > due_at_ms(report.window, config));
        spdlog::info!("usage report sent", kv: {
            window = report.window.0,
            tenants = report.counts.len(),
            requests = report.counts.values().sum::<u64>(),
            fence = grant.fence.0,
            taken = accepted,
            late = late,
            outcome = outcome.as_str(),
            lasted_ms = self.runtime.monotonic().saturating_sub(began_at).as_millis() as u64
        });
        if !accepted {
            self.metrics.reports_failed.inc();
            return false;
        }
        self.metrics.reports_accepted.inc();
        if late {
            self.metrics.reports_late.inc();
        }
        // If the commit fails, the same report is sent again; the platform handles it idempotently.
        let committed = self.node.commit_gateway(GatewayCommand::UsageReported(report.window)).await;
        committed == Ok(GatewayOutcome::Done)
    }
}
