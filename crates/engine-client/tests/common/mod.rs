//! The engine that the tests call, and the generation that they request.
#![allow(dead_code, reason = "each test program uses its own part")]

use saddlerelay_types::engine::{EngineDescription, EngineRequest};
use saddlerelay_types::identity::{EngineId, ModelName, Zone};
use saddlerelay_types::request::Priority;
use std::net::SocketAddr;

/// The engine at `address`.
pub fn engine(address: SocketAddr) -> EngineDescription {
    EngineDescription {
        id: EngineId("engine-1".to_string()),
        address,
        zone: Zone::new("north"),
        model: ModelName::new("notes"),
        slots: 1,
    }
}

pub fn generation_request() -> EngineRequest {
    EngineRequest {
        attempt_id: 1,
        prompt: "a prompt".to_string(),
        resume_tokens: Vec::new(),
        max_tokens: 8,
        seed: 1,
        priority: Priority::Rollout,
    }
}
