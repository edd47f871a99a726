//! Usage reports from a client's request to the platform, over loopback, in the native formats.

mod common;

use common::engine::StandInEngine;
use common::{Deployment, USAGE_WINDOW, block_on, call, document, eventually, route};
use hyper::{Method, Request, StatusCode};
use saddlerelay_duties::{Duties, HttpPlatform, PlatformMetrics, UsageReportConfig};
use saddlerelay_gateway_api::NativePlatform;
use saddlerelay_gateway_api::native::{FENCE_HEADER, HOLDER_HEADER, USAGE_PATH};
use saddlerelay_http::body::{Reply, full_reply};
use saddlerelay_http::limits::ListenerLimits;
use saddlerelay_http::overload::OverloadManager;
use saddlerelay_http::request_body::RequestBody;
use saddlerelay_http::server::{HttpHandler, Shutdown, serve_until};
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime_compio::CompioRuntime;
use saddlerelay_types::credentials::SecretDigest;
use saddlerelay_types::gateway::DutyOverview;
use saddlerelay_types::identity::TenantId;
use saddlerelay_types::routing::{RouteKind, RoutingDocument};
use saddlerelay_types::tenancy::TenantAccess;
use saddlerelay_types::usage::UsageReport;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A platform that rejects its first calls.
#[derive(Default)]
struct StandInPlatform {
    rejections_left: Cell<u32>,
    /// All reports received, including the rejected ones, with their fencing tokens.
    reports: RefCell<Vec<(u64, UsageReport)>>,
}

impl HttpHandler for StandInPlatform {
    async fn handle(self: Rc<Self>, request: Request<RequestBody>) -> Reply {
        let (head, body) = request.into_parts();
        assert_eq!((&head.method, head.uri.path()), (&Method::POST, USAGE_PATH));
        assert_eq!(head.headers[HOLDER_HEADER], "coordinator");
        let fence = head.headers[FENCE_HEADER]
            .to_str()
            .expect("the fencing token is not text")
            .parse()
            .expect("the fencing token is not a number");
        let body = body.read().await.expect("failed to read the entire body");
        self.reports.borrow_mut().push((fence, serde_json::from_slice(&body).expect("the body is not a usage report")));
        let left = self.rejections_left.get();
        self.rejections_left.set(left.saturating_sub(1));
        full_reply(if left > 0 { StatusCode::TOO_MANY_REQUESTS } else { StatusCode::OK }, "text/plain", "")
    }
}

async fn start_platform() -> (Rc<StandInPlatform>, SocketAddr) {
    let listener = compio::net::TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a loopback port");
    let address = listener.local_addr().expect("listener has no local address");
    let platform = Rc::new(StandInPlatform { rejections_left: Cell::new(2), ..StandInPlatform::default() });
    compio::runtime::spawn(serve_until(
        listener,
        platform.clone(),
        ListenerLimits::default(),
        OverloadManager::default(),
        Shutdown::default(),
    ))
    .detach();
    (platform, address)
}

fn start_duties(deployment: &Deployment, address: SocketAddr) -> Rc<PlatformMetrics> {
    let runtime = CompioRuntime::without_files();
    let metrics = Rc::new(PlatformMetrics::default());
    let duties = Rc::new(Duties {
        runtime: runtime.clone(),
        node: deployment.node.clone(),
        client: HttpPlatform { address },
        platform_format: Box::new(NativePlatform),
        name: "coordinator".to_string(),
        metrics: metrics.clone(),
    });
    let config = UsageReportConfig { window: USAGE_WINDOW, due_after: 4 * USAGE_WINDOW };
    runtime.spawn(saddlerelay_duties::usage_reports::run(duties, config));
    metrics
}

fn with_tenant() -> RoutingDocument {
    let keys = vec![SecretDigest::of(b"key")];
    let tenant = TenantAccess { name: TenantId::new("clinic"), keys, priority: None };
    let routes = vec![route("/plans/", RouteKind::Idempotent, "web")];
    RoutingDocument { tenants: Some(vec![tenant]), ..document(1, routes) }
}

#[test]
fn each_request_is_reported_in_one_window_and_the_overview_shows_progress() {
    block_on(async {
        let deployment = Deployment::start("duties").await;
        let (platform, address) = start_platform().await;
        let metrics = start_duties(&deployment, address);
        deployment.configure(&with_tenant()).await;
        let engine = StandInEngine::start("web").await;
        deployment.register(&engine, "web").await;
        deployment.await_engines("web", 1).await;
        // The group's time is known one second after the first contact of a relay.
        compio::time::sleep(Duration::from_millis(1_500)).await;
        for number in 0..7 {
            let id = format!("r-{number}");
            let headers = [("saddlerelay-request", id.as_str()), ("saddlerelay-key", "key")];
            assert_eq!(deployment.request(Method::GET, "/plans/1", &headers, "").await.status, StatusCode::OK);
        }
        let reported = || {
            let reports = platform.reports.borrow();
            let windows: std::collections::BTreeMap<_, _> =
                reports.iter().map(|(_, report)| (report.window, report.counts.clone())).collect();
            windows.values().flat_map(|counts| counts.values()).sum::<u64>()
        };
        eventually("every request is reported", async || reported() == 7).await;
        let reports = platform.reports.borrow().clone();
        assert!(reports.windows(2).all(|pair| pair[0].0 < pair[1].0), "a fencing token did not increase");
        assert!(reports.iter().all(|(_, report)| report.counts.keys().all(|tenant| tenant.as_str() == "clinic")));
        assert!(metrics.reports_failed.get() >= 2, "the first calls were rejected");
        let answer = call(deployment.control, Method::GET, "/admin/v1/duties", &[], "").await;
        let overview: DutyOverview = serde_json::from_slice(&answer.body).expect("the response is not a duty overview");
        assert_eq!(overview.holder, Some(overview.leader));
        assert!(overview.newest_reported.is_some());
        assert_eq!((overview.uncounted, overview.engines.len()), (0, 0));
    });
}
