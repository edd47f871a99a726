//! The names of the headers that callers, saddlerelay and engines exchange.

use hyper::header::HeaderName;

/// Header names; configurable, with `saddlerelay-` defaults.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The request ID; engines echo it in the response.
    pub request_id: HeaderName,
    /// The sender's remaining timeout, in milliseconds.
    pub deadline: HeaderName,
    /// The instance that a request is addressed to; any other responds with 421.
    pub expect_instance: HeaderName,
    /// The weight version that a request requires; an engine with another version responds with 421.
    pub expect_version: HeaderName,
    /// Present in a response if the engine did not execute the request.
    pub not_executed: HeaderName,
    /// Identifies the engine that produced a response; a successful response without it is rejected.
    pub stamp: HeaderName,
    /// The engine's load: running requests, waiting requests, slots, and from some engines the present work time in percent.
    pub load: HeaderName,
    /// The weight version that generates the events that follow.
    pub weight_version: HeaderName,
    /// The model that a request asks for.
    pub model: HeaderName,
    /// Prompt tokens and maximum generated tokens, separated by a comma.
    pub token_count: HeaderName,
    /// The sender's estimate of the number of generated tokens.
    pub length_hint: HeaderName,
    /// Scheduling priority at the engine; 0 is the highest.
    pub priority: HeaderName,
    /// Maximum long-poll wait of a read, in milliseconds.
    pub wait: HeaderName,
    /// ID of the last received event, after which a stream resumes.
    pub last_event: HeaderName,
    /// The caller's API key; not forwarded to engines.
    pub key: HeaderName,
    /// The tenant that the API key belongs to; set on forwarded requests, replacing any value from the caller.
    pub tenant: HeaderName,
}

impl Default for HeaderNames {
    fn default() -> Self {
        Self {
            request_id: HeaderName::from_static("saddlerelay-request"),
            deadline: HeaderName::from_static("saddlerelay-deadline-ms"),
            expect_instance: HeaderName::from_static("saddlerelay-for-instance"),
            expect_version: HeaderName::from_static("saddlerelay-for-version"),
            not_executed: HeaderName::from_static("saddlerelay-not-executed"),
            stamp: HeaderName::from_static("saddlerelay-stamp"),
            load: HeaderName::from_static("saddlerelay-load"),
            weight_version: HeaderName::from_static("saddlerelay-version"),
            model: HeaderName::from_static("saddlerelay-model"),
            token_count: HeaderName::from_static("saddlerelay-token-count"),
            length_hint: HeaderName::from_static("saddlerelay-length-hint"),
            priority: HeaderName::from_static("saddlerelay-priority"),
            wait: HeaderName::from_static("saddlerelay-wait-ms"),
            last_event: HeaderName::from_static("last-event-id"),
            key: HeaderName::from_static("saddlerelay-key"),
            tenant: HeaderName::from_static("saddlerelay-tenant"),
        }
    }
}
