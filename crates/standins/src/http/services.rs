//! The scorer, and the platform's machine list.

use crate::tokens;
use hyper::{Method, Request, StatusCode};
use saddlerelay_engine_client::wire::{MACHINES_PATH, SCORE_PATH, ScoreReply, ScoreRequest};
use saddlerelay_http::body::{Reply, full_reply, json, parse_json};
use saddlerelay_http::request_body::RequestBody;
use saddlerelay_http::server::HttpHandler;
use saddlerelay_types::membership::PlatformMachine;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The reward of a text; deterministic.
pub fn reward_of(text: &str) -> i64 {
    tokens::parse_tokens(text).map_or(0, |tokens| tokens.len() as i64 * 10)
}

/// A scorer with a fixed delay.
pub struct Scorer {
    /// Delay of each score.
    pub time: Duration,
}

impl HttpHandler for Scorer {
    async fn handle(self: Rc<Self>, request: Request<RequestBody>) -> Reply {
        if request.uri().path() != SCORE_PATH {
            return full_reply(StatusCode::NOT_FOUND, "text/plain", "no such path\n");
        }
        let body = request.into_body().read().await.unwrap_or_default();
        let Ok(score_request) = parse_json::<ScoreRequest>(&body) else {
            return full_reply(StatusCode::BAD_REQUEST, "text/plain", "malformed\n");
        };
        compio::time::sleep(self.time).await;
        json(StatusCode::OK, &ScoreReply { reward_milli: reward_of(&score_request.text) })
    }
}

/// The platform's machine list. All updates but the first become visible after a delay.
pub struct MachineList {
    lag: Duration,
    versions: RefCell<Vec<(Instant, Vec<PlatformMachine>)>>,
}

impl MachineList {
    /// Creates a list whose updates become visible after `lag`.
    pub fn new(lag: Duration) -> Self {
        Self { lag, versions: RefCell::default() }
    }

    fn set(&self, machines: Vec<PlatformMachine>) {
        let mut versions = self.versions.borrow_mut();
        let is_first = versions.is_empty();
        let visible_at = if is_first { Instant::now() } else { Instant::now() + self.lag };
        versions.push((visible_at, machines));
    }

    fn visible(&self) -> Vec<PlatformMachine> {
        let now = Instant::now();
        let versions = self.versions.borrow();
        let visible = versions.iter().rev().find(|(visible_at, _)| *visible_at <= now);
        visible.map(|(_, machines)| machines.clone()).unwrap_or_default()
    }
}

impl HttpHandler for MachineList {
    async fn handle(self: Rc<Self>, request: Request<RequestBody>) -> Reply {
        if request.uri().path() != MACHINES_PATH {
            return full_reply(StatusCode::NOT_FOUND, "text/plain", "no such path\n");
        }
        if request.method() == Method::PUT {
            let body = request.into_body().read().await.unwrap_or_default();
            let Ok(machines) = parse_json(&body) else {
                return full_reply(StatusCode::BAD_REQUEST, "text/plain", "malformed\n");
            };
            self.set(machines);
        }
        json(StatusCode::OK, &self.visible())
    }
}
