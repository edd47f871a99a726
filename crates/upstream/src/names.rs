//! The names of the headers that callers, saddlerelay and engines exchange.

use hyper::header::HeaderName;

/// Header names. The default ones are the product's own.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The request's identifier; an engine's answer carries it back.
    pub request_id: HeaderName,
    /// How long the sender will wait, in milliseconds.
    pub deadline: HeaderName,
    /// The instance that a request is meant for; any other answers 421.
    pub expect_instance: HeaderName,
    /// The weight version that a request is meant for; an engine that holds another answers 421.
    pub expect_version: HeaderName,
    /// An answer with it says that the engine did not run the request.
    pub not_executed: HeaderName,
    /// The signature of the engine that made an answer.
    pub stamp: HeaderName,
    /// The engine's load: running, waiting, slots.
    pub load: HeaderName,
    /// The weight version that makes the events which follow.
    pub weight_version: HeaderName,
    /// The model that a request asks for.
    pub model: HeaderName,
    /// Tokens of the prompt, and most to be generated, parted by a comma.
    pub token_count: HeaderName,
    /// The sender's guess at the tokens to be generated.
    pub length_hint: HeaderName,
    /// How urgent a request is at its engine, 0 first.
    pub priority: HeaderName,
    /// How long a read may be held open, in milliseconds.
    pub wait: HeaderName,
    /// The event after which a stream goes on.
    pub last_event: HeaderName,
    /// The key by which a caller is known; engines never see it.
    pub key: HeaderName,
    /// The tenant of a request, as its key tells; set for engines, whatever the caller says.
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
