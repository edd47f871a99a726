//! A stand-in for the platform: takes usage reports, and sometimes fails to answer.

use crate::journal::Journal;
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, StatusCode};
use saddlerelay_gateway_api::own::{FENCE_HEADER, HOLDER_HEADER, USAGE_PATH};
use saddlerelay_http::body::{Reply, read_whole, whole};
use saddlerelay_http::server::{HttpHandler, Shutdown, serve_until};
use saddlerelay_types::usage::{TenantCounts, UsageReport, UsageWindow};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Of a hundred calls, so many are carried out and get no answer.
const UNANSWERED_PERCENT: u32 = 15;

/// How long a call without an answer is held.
const HANG_TIME: Duration = Duration::from_secs(3);

/// What the platform has taken.
#[derive(Default)]
struct Taken {
    reports: BTreeMap<UsageWindow, TenantCounts>,
    /// Who used a fence first.
    holders: BTreeMap<u64, String>,
    highest_fence: u64,
}

/// The platform.
pub struct Platform {
    journal: Journal,
    taken: RefCell<Taken>,
}

fn text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_string()
}

impl Platform {
    /// Starts it at `address`.
    pub async fn start(address: SocketAddr, journal: Journal) -> std::io::Result<Rc<Self>> {
        let listener = compio::net::TcpListener::bind(address).await?;
        let platform = Rc::new(Self { journal, taken: RefCell::default() });
        compio::runtime::spawn(serve_until(listener, platform.clone(), Shutdown::default())).detach();
        Ok(platform)
    }

    /// Windows whose reports it has taken.
    pub fn windows(&self) -> usize {
        self.taken.borrow().reports.len()
    }

    fn take(&self, holder: String, fence: u64, report: UsageReport) -> StatusCode {
        const PROMISE: &str = "usage is reported once, with the same counts, by one holder at a time";
        let mut taken = self.taken.borrow_mut();
        let first = taken.holders.entry(fence).or_insert_with(|| holder.clone());
        if *first != holder {
            self.journal.violation(PROMISE, format!("fence {fence} is used by {first} and {holder}"));
        }
        if fence < taken.highest_fence {
            return StatusCode::CONFLICT;
        }
        taken.highest_fence = fence;
        let held = taken.reports.entry(report.window).or_insert_with(|| report.counts.clone());
        if *held != report.counts {
            let seen = format!("window {} has {held:?}, and was reported with {:?}", report.window.0, report.counts);
            self.journal.violation(PROMISE, seen);
        }
        StatusCode::OK
    }
}

impl HttpHandler for Platform {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Reply {
        let (head, body) = request.into_parts();
        let body = read_whole(body).await.unwrap_or_default();
        let fence = text(&head.headers, FENCE_HEADER).parse();
        let report = serde_json::from_slice(&body);
        let (Ok(fence), Ok(report), USAGE_PATH) = (fence, report, head.uri.path()) else {
            self.journal.violation("the platform can read what it is told", format!("{} {body:?}", head.uri));
            return whole(StatusCode::BAD_REQUEST, "text/plain", "");
        };
        let status = self.take(text(&head.headers, HOLDER_HEADER), fence, report);
        if fastrand::u32(..100) < UNANSWERED_PERCENT {
            compio::time::sleep(HANG_TIME).await;
        }
        whole(status, "text/plain", "")
    }
}
