//! Routes of a control process: health, metrics and the administration API.

use crate::commands;
use crate::credentials::{bearer_token, constant_time_equal};
use crate::errors::{error_reply, not_found};
use crate::queries;
use hyper::{Method, Request, StatusCode};
use saddlerelay_control::node::ControlNode;
use saddlerelay_control_client::ControlClient;
use saddlerelay_http::body::Reply;
use saddlerelay_http::request_body::RequestBody;
use saddlerelay_http::server::HttpHandler;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_telemetry::ring::RingSink;
use saddlerelay_types::configuration::ObjectName;
use saddlerelay_types::identity::{EngineId, TemplateId, TenantId};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// Serves HTTP on a control process.
pub struct ControlApi<P: Runtime, B: Backends> {
    /// The replica in this process.
    pub node: ControlNode<P, B>,
    /// Client of the control group.
    pub client: ControlClient<P>,
    /// Address at which the replica listens for peer RPCs.
    pub peer_address: SocketAddr,
    /// Bearer token required for the administration API.
    pub operator_token: String,
    /// Runtime that provides clock, random numbers and tasks.
    pub runtime: P,
    /// The in-memory log ring of the process, if it has one.
    pub log: Option<Arc<RingSink>>,
}

impl<P: Runtime, B: Backends> HttpHandler for ControlApi<P, B> {
    async fn handle(self: Rc<Self>, request: Request<RequestBody>) -> Reply {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_string();
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match segments.as_slice() {
            ["healthz"] => return queries::health(),
            ["readyz"] => return queries::readiness(self.node.replica().is_ready()),
            ["metrics"] => return queries::control::metrics(&self),
            _ => {}
        }
        let token = bearer_token(&head.headers).unwrap_or_default();
        if !constant_time_equal(token.as_bytes(), self.operator_token.as_bytes()) {
            let message = "give `Authorization: Bearer OPERATOR_TOKEN`";
            return error_reply(StatusCode::UNAUTHORIZED, "unauthorized", message, 0);
        }
        let [api, version, admin_path @ ..] = segments.as_slice() else {
            return not_found();
        };
        if (*api, *version) != ("admin", "v1") {
            return not_found();
        }
        self.handle_admin_call(&head, admin_path, body).await
    }
}

impl<P: Runtime, B: Backends> ControlApi<P, B> {
    async fn handle_admin_call(&self, head: &hyper::http::request::Parts, path: &[&str], body: RequestBody) -> Reply {
        if let Some(name) = object_name(path) {
            return match head.method {
                Method::GET => queries::control::object(self, name).await,
                Method::PUT => commands::control::put_object(self, head, name, body).await,
                Method::DELETE => commands::control::delete_object(self, head, name).await,
                _ => not_found(),
            };
        }
        match (&head.method, path) {
            (&Method::GET, ["configuration"]) => queries::control::objects(self).await,
            (&Method::GET, ["engines"]) => queries::control::engines(self).await,
            (&Method::GET, ["relays"]) => queries::control::relays(self).await,
            (&Method::GET, ["group"]) => queries::control::group(self).await,
            (&Method::GET, ["trainers", tenant]) => queries::control::trainer(self, TenantId::new(*tenant)).await,
            (&Method::POST, ["engines", engine, "drain"]) => {
                commands::control::drain_engine(self, EngineId::new(*engine)).await
            }
            (&Method::POST, ["initialize"]) => commands::control::initialize(self).await,
            (&Method::POST, ["dump-log"]) => commands::control::dump_log(self),
            _ => not_found(),
        }
    }
}

fn object_name(path: &[&str]) -> Option<ObjectName> {
    match path {
        ["templates", id] => Some(ObjectName::Template(TemplateId::new(*id))),
        ["tenants", id] => Some(ObjectName::Tenant(TenantId::new(*id))),
        _ => None,
    }
}
