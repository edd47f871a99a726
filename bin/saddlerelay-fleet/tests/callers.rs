//! The HTTP interface for callers, on real processes: OpenAI protocol, idempotency keys, rejections and invalid input.

mod common;

use common::{Deployment, MODEL, block_on, expiry, json_of};
use compio::BufResult;
use compio::io::{AsyncReadExt, AsyncWriteExt};
use compio::net::TcpStream;
use hyper::{Method, StatusCode};
use saddlerelay_http::client::call;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

const TEN_MINUTES: Duration = Duration::from_secs(600);

async fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("failed to connect to the server");
    let BufResult(sent, _) = stream.write_all(bytes.to_vec()).await;
    sent.expect("failed to send the bytes");
    let BufResult(read, answer) = stream.read_to_end(Vec::new()).await;
    read.expect("failed to read until the connection closed");
    String::from_utf8_lossy(&answer).into_owned()
}

#[test]
fn answers_follow_the_openai_protocol_and_list_their_weight_versions() {
    block_on(async {
        let deployment = Deployment::start().await;
        let whole = deployment.chat(0, "price of fund 7", &[]).await;
        assert_eq!(whole.status, StatusCode::OK);
        assert_eq!(whole.headers["saddlerelay-weight-versions"], "0");
        let body = json_of(&whole);
        assert_eq!(body["object"], "chat.completion");
        assert_eq!(body["choices"][0]["message"]["role"], "assistant");
        assert!(body["choices"][0]["message"]["content"].as_str().is_some_and(|text| !text.is_empty()));
        assert!(body["choices"][0]["finish_reason"].is_string());
        assert_eq!(body["usage"]["completion_tokens"], body["weight_versions"][0]["tokens"]);

        let completion = json!({"model": MODEL, "prompt": "price of fund 8", "max_tokens": 4});
        let body = json_of(&deployment.post(1, "/v1/completions", &[], completion).await);
        assert_eq!(body["object"], "text_completion");
        assert!(body["choices"][0]["text"].is_string());

        let models = call(deployment.relay(0), Method::GET, "/v1/models", &[], Vec::new())
            .await
            .expect("the server sent no response");
        assert_eq!(json_of(&models)["data"][0]["id"], MODEL);
    });
}

#[test]
fn a_stream_ends_with_its_finish_reason_and_done() {
    block_on(async {
        let deployment = Deployment::start().await;
        let message = json!([{"role": "user", "content": "price of fund 7"}]);
        let request = json!({"model": MODEL, "max_tokens": 24, "stream": true, "seed": 5, "messages": message});
        let answer = deployment.post(0, "/v1/chat/completions", &[], request).await;
        assert_eq!(answer.headers["content-type"], "text/event-stream");
        let text = String::from_utf8(answer.body.to_vec()).expect("the value is not UTF-8 text");
        let events: Vec<&str> = text.split("\n\n").filter(|event| !event.is_empty()).collect();
        assert_eq!(events.last(), Some(&"data: [DONE]"));
        let parts: Vec<serde_json::Value> = events[..events.len() - 1]
            .iter()
            .map(|event| {
                serde_json::from_str(event.strip_prefix("data: ").expect("the event has no data field"))
                    .expect("the event is not JSON")
            })
            .collect();
        assert!(parts.iter().all(|part| part["object"] == "chat.completion.chunk"));
        assert!(parts.last().expect("the stream has no parts")["choices"][0]["finish_reason"].is_string());
    });
}

#[test]
fn a_retried_key_gets_the_stored_answer_on_any_relay_and_is_executed_once() {
    block_on(async {
        let deployment = Deployment::start().await;
        let expires = expiry(TEN_MINUTES);
        let headers = [
            ("idempotency-key", "redemption-17"),
            ("idempotency-key-expires", expires.as_str()),
            ("saddlerelay-not-repeatable", "true"),
        ];
        let first = json_of(&deployment.chat(0, "redemption seventeen", &headers).await);
        let resent = json_of(&deployment.chat(1, "redemption seventeen", &headers).await);
        assert_eq!(first["choices"], resent["choices"]);
        assert_eq!(deployment.executions("redemption seventeen"), 1);
        let other = deployment.chat(1, "redemption eighteen", &headers).await;
        assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY);
        assert_eq!(json_of(&other)["error"]["code"], "key_reused");
        assert_eq!(deployment.executions("redemption eighteen"), 0);
    });
}

#[test]
fn a_key_with_a_missing_or_invalid_expiry_is_rejected() {
    block_on(async {
        let deployment = Deployment::start().await;
        let not_repeatable = ("saddlerelay-not-repeatable", "true");
        let keyed = ("idempotency-key", "redemption-18");
        let missing = deployment.chat(0, "no expiry", &[not_repeatable, keyed]).await;
        assert_eq!(missing.status, StatusCode::BAD_REQUEST);
        let past = deployment.chat(0, "past", &[not_repeatable, keyed, ("idempotency-key-expires", "1000")]).await;
        assert_eq!(past.status, StatusCode::CONFLICT);
        assert_eq!(json_of(&past)["error"]["code"], "key_expired");
        let far_expiry = expiry(TEN_MINUTES * 100);
        let far =
            deployment.chat(0, "far", &[not_repeatable, keyed, ("idempotency-key-expires", far_expiry.as_str())]).await;
        assert_eq!(json_of(&far)["error"]["code"], "key_expired");
    });
}

#[test]
fn invalid_input_gets_an_error_and_is_not_executed() {
    block_on(async {
        let deployment = Deployment::start().await;
        let chat = "/v1/chat/completions";
        let messages = json!([{"role": "user", "content": "bad input"}]);
        let valid = json!({"model": MODEL, "messages": messages});
        let cases = [
            (json!({"model": MODEL}), vec![], StatusCode::BAD_REQUEST),
            (json!({"model": MODEL, "messages": "x"}), vec![], StatusCode::BAD_REQUEST),
            (json!({"model": MODEL, "messages": messages, "n": 2}), vec![], StatusCode::BAD_REQUEST),
            (json!({"model": MODEL, "messages": messages, "max_tokens": 0}), vec![], StatusCode::BAD_REQUEST),
            (json!({"model": MODEL, "messages": messages, "max_tokens": -1}), vec![], StatusCode::BAD_REQUEST),
            (json!({"model": "planweb", "messages": messages}), vec![], StatusCode::NOT_FOUND),
            (valid.clone(), vec![("saddlerelay-not-repeatable", "yes")], StatusCode::BAD_REQUEST),
            (valid.clone(), vec![("saddlerelay-deadline-ms", "soon")], StatusCode::BAD_REQUEST),
            (valid.clone(), vec![("saddlerelay-class", "urgent")], StatusCode::BAD_REQUEST),
            (valid.clone(), vec![("authorization", "Bearer nobody:x:")], StatusCode::NOT_FOUND),
            (valid.clone(), vec![("authorization", "Basic abc")], StatusCode::UNAUTHORIZED),
        ];
        for (body, headers, status) in cases {
            let answer = deployment.post(0, chat, &headers, body.clone()).await;
            assert_eq!(answer.status, status, "{body} {headers:?}");
            let error = &json_of(&answer)["error"];
            assert!(error["message"].as_str().is_some_and(|message| !message.is_empty()), "{error}");
            assert!(error["execution"].is_null() || error["execution"] == "not_executed", "{error}");
        }
        let missing = call(deployment.relay(0), Method::GET, "/v2/models", &[], Vec::new())
            .await
            .expect("the server sent no response");
        assert_eq!(missing.status, StatusCode::NOT_FOUND);
        assert_eq!(deployment.executions("bad input"), 0);
    });
}

#[test]
fn malformed_and_oversized_requests_close_only_their_own_connection() {
    block_on(async {
        let deployment = Deployment::start().await;
        let relay = deployment.relay(0);
        assert!(send_raw(relay, b"NONSENSE\r\n\r\n").await.starts_with("HTTP/1.1 400"));
        let bad_length = b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: many\r\n\r\n";
        assert!(send_raw(relay, bad_length).await.starts_with("HTTP/1.1 400"));
        let body = "x".repeat(9 * 1024 * 1024);
        let large = call(relay, Method::POST, "/v1/chat/completions", &[("authorization", common::CALLER)], body).await;
        // The server may close the connection before the whole body is sent.
        assert!(large.map_or(true, |answer| answer.status == StatusCode::PAYLOAD_TOO_LARGE));
        // An HTTP client on the peer port.
        let peer = deployment.fleet.plan.control_peers[0];
        assert_eq!(send_raw(peer, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n........").await, "");
        assert_eq!(deployment.chat(0, "still served", &[]).await.status, StatusCode::OK);
    });
}

#[test]
fn a_tenant_with_a_secret_rejects_other_credentials() {
    block_on(async {
        let deployment = Deployment::start().await;
        // SHA-256 of `teller-secret`.
        let digest = "8f38314f94189b65c42c223dd838cb2bd44f47385d378f5986577328de184ac7";
        deployment.put_tenant(json!({"model": MODEL, "caller_secret_digest": digest})).await;
        let invalid_credentials = [("authorization", "Bearer prices:tellers:guess")];
        saddlerelay_fleet_runner::launch::wait_for("the secret", || async {
            deployment.chat(0, "guess", &invalid_credentials).await.status == StatusCode::UNAUTHORIZED
        })
        .await
        .expect("the relay did not apply the secret");
        let valid_credentials = [("authorization", "Bearer prices:tellers:teller-secret")];
        assert_eq!(deployment.chat(0, "price of fund 9", &valid_credentials).await.status, StatusCode::OK);
        assert_eq!(deployment.chat(0, "price of fund 9", &[]).await.status, StatusCode::UNAUTHORIZED);
    });
}

/// A relay without a control quorum fences itself: it is not ready, and rejects requests as not executed with a
/// retry-after time.
#[test]
fn a_relay_without_a_quorum_rejects_requests_with_a_retry_after_time() {
    block_on(async {
        let deployment = Deployment::start().await;
        let control = &deployment.fleet.children["control-0"];
        control.freeze();
        deployment.wait_ready(deployment.relay(0), false).await;
        let rejected = deployment.chat(0, "while fenced", &[]).await;
        assert_eq!(rejected.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(rejected.headers["saddlerelay-execution"], "not_executed");
        assert!(rejected.headers.contains_key("retry-after"));
        assert_eq!(deployment.executions("while fenced"), 0);
        control.thaw();
        deployment.wait_ready(deployment.relay(0), true).await;
    });
}

#[test]
fn metrics_and_health_are_served() {
    block_on(async {
        let deployment = Deployment::start().await;
        for address in [deployment.relay(0), deployment.control()] {
            let health =
                call(address, Method::GET, "/healthz", &[], Vec::new()).await.expect("the server sent no response");
            assert_eq!(health.status, StatusCode::OK);
            let metrics =
                call(address, Method::GET, "/metrics", &[], Vec::new()).await.expect("the server sent no response");
            let text = String::from_utf8(metrics.body.to_vec()).expect("the value is not UTF-8 text");
            assert!(text.contains("# TYPE saddlerelay_") && text.ends_with("# EOF\n"), "{text}");
        }
    });
}
