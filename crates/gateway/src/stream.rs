//! Streams of events: each goes on as it comes, and where the route allows it, a stream that breaks off goes on at
//! another engine inside the same answer.

use crate::gateway::{ChosenRoute, Gateway};
use crate::refusal::Refusal;
use crate::request::{ClientRequest, remove_hop_by_hop};
use bytes::Bytes;
use futures::Stream;
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::http::response::Parts;
use saddlerelay_http::body::{BrokenOff, LocalBody, Reply};
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_upstream::answer::AnswerStream;
use saddlerelay_upstream::events::EventCutter;
use saddlerelay_upstream::{Answer, Failure, Outgoing, Reuse};
use std::cell::Cell;
use std::time::Duration;

/// A stream on its way.
struct Relayed {
    gateway: Gateway,
    chosen: ChosenRoute,
    request: ClientRequest,
    outgoing: Outgoing,
    service: String,
    limit: Duration,
    tried: Vec<InstanceId>,
    cutter: EventCutter,
    last_event: Option<u64>,
    body: AnswerStream,
    ended: bool,
}

/// How an engine took a stream.
enum Begun {
    /// It answers with a body; whether with events, its status says.
    Answer(Box<Answer>),
    /// No engine took it.
    Refused(Refusal),
}

impl Gateway {
    /// Sends a request on whose answer is a stream.
    pub(crate) async fn forward_stream(&self, chosen: &ChosenRoute, request: ClientRequest, body: Bytes) -> Reply {
        let limit = self.limit_of(chosen.route(), &request);
        let service = chosen.table.next_service(chosen.index).to_string();
        let outgoing = request.outgoing(body);
        let mut tried = Vec::new();
        let may_have_run = Cell::new(false);
        let left = limit.saturating_sub(self.now());
        let begin = self.begin_stream(chosen, &service, &outgoing, limit, &mut tried, &may_have_run);
        let answer = match timeout(&self.inner.runtime, left, begin).await {
            Some(Begun::Answer(answer)) => answer,
            Some(Begun::Refused(refusal)) => return self.refuse(&request, refusal),
            None if may_have_run.get() => return self.refuse(&request, Refusal::Late),
            None => return self.refuse(&request, Refusal::LateNotRun),
        };
        let (mut head, stream) = answer.into_stream();
        remove_hop_by_hop(&mut head.headers);
        head.headers.remove(CONTENT_LENGTH);
        self.tell_begun(&request, chosen, &head);
        let relayed = Relayed {
            gateway: self.clone(),
            chosen: chosen.clone(),
            cutter: EventCutter::new(self.names().weight_version.as_str()),
            request,
            outgoing,
            service,
            limit,
            tried,
            last_event: None,
            body: stream,
            ended: false,
        };
        Reply::from_parts(head, LocalBody::Breakable(Box::pin(relayed.into_parts())))
    }

    fn tell_begun(&self, request: &ClientRequest, chosen: &ChosenRoute, head: &Parts) {
        self.inner.metrics.answered.inc();
        spdlog::info!("stream begun", kv: {
            request = request.id.as_str(),
            route = chosen.route().name.as_str(),
            routing_version = chosen.table.document().version,
            status = head.status.as_u16(),
            held_ms = self.now().saturating_sub(request.arrived_at).as_millis() as u64
        });
    }

    /// Finds an engine that takes the stream. Only engines that have proved not to run it are passed over, unless the
    /// route is resumable.
    async fn begin_stream(
        &self,
        chosen: &ChosenRoute,
        service: &str,
        outgoing: &Outgoing,
        limit: Duration,
        tried: &mut Vec<InstanceId>,
        may_have_run: &Cell<bool>,
    ) -> Begun {
        let most = chosen.route().max_attempts.max(1) as usize;
        while tried.len() < most {
            let Some(engine) = self.choose_engine(service, tried) else {
                break;
            };
            let instance = engine.target.instance.clone();
            tried.push(instance.clone());
            let sent = Cell::new(false);
            let may_send = || {
                let may = self.may_send(&instance);
                sent.set(sent.get() || may);
                may
            };
            let time_left = || limit.saturating_sub(self.now());
            let began_at = self.now();
            let answer = self.inner.pool.send(&engine.target, outgoing, Reuse::Recent, time_left, may_send).await;
            let reason = match answer {
                Ok(answer) if answer.is_not_executed(self.names()) => "not executed".to_string(),
                Ok(answer) => {
                    self.inner.balance.answered(&instance, self.now().saturating_sub(began_at), self.now());
                    return Begun::Answer(Box::new(answer));
                }
                Err(Failure::NotSent(reason)) => reason,
                Err(Failure::MayHaveRun(reason)) => {
                    may_have_run.set(true);
                    reason
                }
            };
            self.inner.balance.failed(&instance, self.now());
            spdlog::warn!("attempt failed", kv: {
                request = outgoing.request_id.as_str(), instance = instance.0.as_str(),
                may_have_run = may_have_run.get(), reason = reason.as_str()
            });
            if may_have_run.get() && !chosen.route().resumable {
                break;
            }
        }
        Begun::Refused(if may_have_run.get() { Refusal::EngineFailed } else { Refusal::NoEngine })
    }
}

impl Relayed {
    fn into_parts(self) -> impl Stream<Item = Result<Bytes, BrokenOff>> {
        futures::stream::unfold(self, |mut relayed| async move {
            let part = relayed.next_part().await?;
            Some((part, relayed))
        })
    }

    /// Whole events only: a piece of one must not stand before another engine's.
    async fn next_part(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        while !self.ended {
            if let Some(event) = self.cutter.next_event() {
                self.last_event = event.id.or(self.last_event);
                return Some(Ok(event.raw.into()));
            }
            let left = self.limit.saturating_sub(self.gateway.now());
            let received = timeout(&self.gateway.inner.runtime, left, self.body.next()).await;
            match received {
                Some(Some(Ok(bytes))) => self.cutter.push(&bytes),
                Some(None) if !self.cutter.is_mid_event() => return self.end("stream ended", None),
                Some(_) if self.may_resume() && self.resume().await => {}
                Some(_) => return self.end("stream broke off", Some(Err(BrokenOff))),
                None => return self.end("stream over its time", Some(Err(BrokenOff))),
            }
        }
        None
    }

    fn end(&mut self, event: &str, part: Option<Result<Bytes, BrokenOff>>) -> Option<Result<Bytes, BrokenOff>> {
        self.ended = true;
        spdlog::info!("{}", event, kv: {
            request = self.request.id.as_str(),
            last_event = self.last_event.unwrap_or_default(),
            engines = self.tried.len(),
            held_ms = self.gateway.now().saturating_sub(self.request.arrived_at).as_millis() as u64
        });
        part
    }

    fn may_resume(&self) -> bool {
        let route = self.chosen.route();
        route.resumable && self.tried.len() < route.max_attempts.max(1) as usize
    }

    async fn resume(&mut self) -> bool {
        if let Some(last_event) = self.last_event {
            self.outgoing.headers.insert(self.gateway.names().last_event.clone(), HeaderValue::from(last_event));
        }
        let may_have_run = Cell::new(false);
        let gateway = self.gateway.clone();
        let begin = gateway.begin_stream(
            &self.chosen,
            &self.service,
            &self.outgoing,
            self.limit,
            &mut self.tried,
            &may_have_run,
        );
        match begin.await {
            Begun::Answer(answer) if answer.head.status.is_success() => {
                self.body = answer.into_stream().1;
                self.cutter = EventCutter::new(gateway.names().weight_version.as_str());
                true
            }
            _ => false,
        }
    }
}
