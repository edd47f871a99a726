//! The weight store, which serializes and rate-limits fetches.

use crate::engine::WeightSource;
use crate::trainer::WeightSink;
use hyper::{Method, Request, StatusCode};
use saddlerelay_http::body::{Reply, full_reply, json};
use saddlerelay_http::client::call;
use saddlerelay_http::request_body::RequestBody;
use saddlerelay_http::server::HttpHandler;
use saddlerelay_types::identity::{ModelName, TenantId, WeightVersion};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The weight store. It stores version numbers only.
pub struct WeightStore {
    versions: RefCell<BTreeSet<(String, u64)>>,
    /// End of the last accepted fetch.
    busy_until: Cell<Instant>,
    fetch_time: Duration,
}

impl WeightStore {
    /// Creates a store that serves one fetch per `fetch_time`.
    pub fn new(fetch_time: Duration) -> Self {
        Self { versions: RefCell::default(), busy_until: Cell::new(Instant::now()), fetch_time }
    }
}

impl HttpHandler for WeightStore {
    async fn handle(self: Rc<Self>, request: Request<RequestBody>) -> Reply {
        let path = request.uri().path().trim_matches('/').to_string();
        let Some((model, version)) = path.strip_prefix("weights/").and_then(|suffix| suffix.split_once('/')) else {
            return full_reply(StatusCode::NOT_FOUND, "text/plain", "no such path\n");
        };
        let Ok(version) = version.parse::<u64>() else {
            return full_reply(StatusCode::BAD_REQUEST, "text/plain", "no such version\n");
        };
        let key = (model.to_string(), version);
        if request.method() == Method::PUT {
            self.versions.borrow_mut().insert(key);
            return json(StatusCode::OK, &version);
        }
        if !self.versions.borrow().contains(&key) {
            return full_reply(StatusCode::NOT_FOUND, "text/plain", "no such version\n");
        }
        let completes_at = self.busy_until.get().max(Instant::now()) + self.fetch_time;
        self.busy_until.set(completes_at);
        compio::time::sleep(completes_at.saturating_duration_since(Instant::now())).await;
        json(StatusCode::OK, &version)
    }
}

/// A client of the weight store.
#[derive(Clone)]
pub struct HttpWeights {
    /// The address of the store.
    pub address: SocketAddr,
    /// The model whose versions a trainer stores.
    pub model: ModelName,
}

impl HttpWeights {
    async fn send(&self, method: Method, model: &ModelName, version: WeightVersion) -> bool {
        let path = format!("/weights/{model}/{version}");
        call(self.address, method, &path, &[], Vec::new()).await.is_ok_and(|response| response.status.is_success())
    }
}

impl WeightSource for HttpWeights {
    async fn fetch(&self, model: ModelName, version: WeightVersion) -> bool {
        self.send(Method::GET, &model, version).await
    }
}

impl WeightSink for HttpWeights {
    async fn store(&self, _tenant: TenantId, version: WeightVersion) -> bool {
        self.send(Method::PUT, &self.model, version).await
    }
}
