//! A simulated platform that receives usage reports and sometimes does not respond in time.

use crate::journal::Journal;
use hyper::{HeaderMap, Request, StatusCode};
use saddlerelay_gateway_api::native::{FENCE_HEADER, HOLDER_HEADER, USAGE_PATH};
use saddlerelay_http::body::{Reply, full_reply};
use saddlerelay_http::limits::ListenerLimits;
use saddlerelay_http::overload::OverloadManager;
use saddlerelay_http::request_body::RequestBody;
use saddlerelay_http::server::{HttpHandler, Shutdown, serve_until};
use saddlerelay_types::usage::{TenantCounts, UsageReport, UsageWindow};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Percentage of calls that are processed and answered only after [`HANG_TIME`].
const LATE_RESPONSE_PERCENT: u32 = 15;

/// Delay of a late response.
const HANG_TIME: Duration = Duration::from_secs(3);

/// Reports and fencing tokens received.
#[derive(Default)]
struct Received {
    reports: BTreeMap<UsageWindow, TenantCounts>,
    /// First holder that used each fencing token.
    holders: BTreeMap<u64, String>,
    highest_fence: u64,
}

/// The simulated platform.
pub struct Platform {
    journal: Journal,
    received: RefCell<Received>,
}

fn text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_string()
}

impl Platform {
    /// Starts the platform at `address`.
    pub async fn start(address: SocketAddr, journal: Journal) -> std::io::Result<Rc<Self>> {
        let listener = compio::net::TcpListener::bind(address).await?;
        let platform = Rc::new(Self { journal, received: RefCell::default() });
        compio::runtime::spawn(serve_until(
            listener,
            platform.clone(),
            ListenerLimits::default(),
            OverloadManager::default(),
            Shutdown::default(),
        ))
        .detach();
        Ok(platform)
    }

    /// Number of usage windows reported.
    pub fn windows(&self) -> usize {
        self.received.borrow().reports.len()
    }

    fn record(&self, holder: String, fence: u64, report: UsageReport) -> StatusCode {
        const INVARIANT: &str = "usage is reported with the same counts and by one lease holder at a time";
        let mut received = self.received.borrow_mut();
        let first_holder = received.holders.entry(fence).or_insert_with(|| holder.clone());
        if *first_holder != holder {
            self.journal.violation(INVARIANT, format!("fencing token {fence} is used by {first_holder} and {holder}"));
        }
        if fence < received.highest_fence {
            return StatusCode::CONFLICT;
        }
        received.highest_fence = fence;
        let recorded = received.reports.entry(report.window).or_insert_with(|| report.counts.clone());
        if *recorded != report.counts {
            let observed =
                format!("window {} has {recorded:?}, and was reported with {:?}", report.window.0, report.counts);
            self.journal.violation(INVARIANT, observed);
        }
        StatusCode::OK
    }
}

impl HttpHandler for Platform {
    async fn handle(self: Rc<Self>, request: Request<RequestBody>) -> Reply {
        let (head, body) = request.into_parts();
        let body = body.read().await.unwrap_or_default();
        let fence = text(&head.headers, FENCE_HEADER).parse();
        let report = serde_json::from_slice(&body);
        let (Ok(fence), Ok(report), USAGE_PATH) = (fence, report, head.uri.path()) else {
            self.journal.violation("the platform receives valid usage reports", format!("{} {body:?}", head.uri));
            return full_reply(StatusCode::BAD_REQUEST, "text/plain", "");
        };
        let status = self.record(text(&head.headers, HOLDER_HEADER), fence, report);
        if fastrand::u32(..100) < LATE_RESPONSE_PERCENT {
            compio::time::sleep(HANG_TIME).await;
        }
        full_reply(status, "text/plain", "")
    }
}
