//! Reports to the platform how many requests engines have begun for each tenant, window by window.
//!
//! The counts of a window are fixed in the log before the first call; whoever leads sends just these until the platform
//! has taken them. One report is on its way at a time.

use crate::Duties;
use crate::backoff::Backoff;
use crate::client::PlatformClient;
use crate::config::UsageTerms;
use crate::dialect::{CallRight, PlatformAnswer};
use saddlerelay_control::state::ControlState;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::gateway::{GatewayCommand, GatewayOutcome, OrderSubject};
use saddlerelay_types::usage::{UsageReport, UsageWindow};
use std::rc::Rc;
use std::time::Duration;

/// Pause between looks at whether a report is due.
const INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait for an answer. A platform that is slow answers within it; one that is down costs a small part of the time
/// for a report.
const CALL_LIMIT: Duration = Duration::from_millis(1_500);

/// Reports while this process leads.
pub async fn report<P: Runtime, B: Backends, C: PlatformClient>(duties: Rc<Duties<P, B, C>>, terms: UsageTerms) {
    let mut backoff = Backoff::default();
    loop {
        duties.runtime.sleep(INTERVAL).await;
        duties.node.watch_orders();
        let Some(term) = duties.node.replica().leading_term() else {
            backoff.reset();
            continue;
        };
        duties.fix_closed_windows(terms).await;
        if !backoff.is_over(duties.runtime.monotonic()) || !duties.node.may_order(&OrderSubject::UsageReports) {
            continue;
        }
        let group_unix_ms = duties.node.group_unix_ms();
        let Some(report) = duties.node.read(|state| next_report(state, terms, group_unix_ms)).flatten() else {
            continue;
        };
        if duties.send_report(term, &report, terms).await {
            backoff.reset();
        } else {
            backoff.fail(&duties.runtime);
        }
    }
}

/// The newest window that ended so long ago that its counts can be fixed.
fn newest_closed(terms: UsageTerms, unix_ms: u64) -> Option<UsageWindow> {
    let length_ms = terms.window.as_millis() as u64;
    let counted_until = unix_ms.saturating_sub(terms.counting_time().as_millis() as u64);
    let running = UsageWindow::containing(counted_until, length_ms);
    running.0.checked_sub(1).map(UsageWindow)
}

/// The report to send next: the oldest that is not late yet, or else the newest of those that are.
fn next_report(state: &ControlState, terms: UsageTerms, group_unix_ms: Option<u64>) -> Option<UsageReport> {
    let is_late = |report: &UsageReport| group_unix_ms.is_some_and(|now| now > due_at_ms(report.window, terms));
    let in_time = state.usage.unreported().find(|report| !is_late(report));
    in_time.or_else(|| state.usage.unreported().last())
}

fn due_at_ms(window: UsageWindow, terms: UsageTerms) -> u64 {
    window.ends_at_ms(terms.window.as_millis() as u64) + terms.due_after.as_millis() as u64
}

impl<P: Runtime, B: Backends, C: PlatformClient> Duties<P, B, C> {
    /// Fixes the counts of windows that have ended, once there are tenants.
    async fn fix_closed_windows(&self, terms: UsageTerms) {
        let closed = self.node.group_unix_ms().and_then(|unix_ms| newest_closed(terms, unix_ms));
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
        match self.node.commit_gateway(GatewayCommand::FixUsage(closed)).await {
            Ok(_) => {
                self.metrics.windows_fixed.inc();
                let uncounted = self.node.read_applied(|state| state.usage.uncounted());
                spdlog::info!("usage fixed", kv: { window = closed.0, uncounted = uncounted });
            }
            Err(error) => {
                spdlog::warn!("usage not fixed", kv: { window = closed.0, reason = format!("{error:?}").as_str() });
            }
        }
    }

    /// Sends a report; returns whether the platform has taken it.
    async fn send_report(&self, term: u64, report: &UsageReport, terms: UsageTerms) -> bool {
        let Some(grant) = self.node.note_orders(term, vec![OrderSubject::UsageReports]).await else {
            return false;
        };
        let right = CallRight { holder: self.name.clone(), fence: grant.fence };
        let call = self.dialect.usage_report(&right, report);
        let began_at = self.runtime.monotonic();
        let answered = self.client.call(call, CALL_LIMIT, || self.node.grant_holds(&grant)).await;
        let outcome = match &answered {
            Ok(status) => format!("{:?}", self.dialect.answer(*status, None)),
            Err(failure) => failure.to_string(),
        };
        let taken = answered.is_ok_and(|status| self.dialect.answer(status, None) == PlatformAnswer::Taken);
        let late = self.node.group_unix_ms().is_some_and(|now| now > due_at_ms(report.window, terms));
        spdlog::info!("usage reported", kv: {
            window = report.window.0,
            tenants = report.counts.len(),
            requests = report.counts.values().sum::<u64>(),
            fence = grant.fence.0,
            taken = taken,
            late = late,
            outcome = outcome.as_str(),
            lasted_ms = self.runtime.monotonic().saturating_sub(began_at).as_millis() as u64
        });
        if !taken {
            self.metrics.reports_failed.inc();
            return false;
        }
        self.metrics.reports_taken.inc();
        if late {
            self.metrics.reports_late.inc();
        }
        // If this is not committed, the same report is sent again, which changes nothing.
        let noted = self.node.commit_gateway(GatewayCommand::UsageReported(report.window)).await;
        noted == Ok(GatewayOutcome::Done)
    }
}
