//! Streams of events: each goes on as it comes, and where the route allows it, a stream that breaks off goes on at
//! another engine inside the same answer.

use crate::attempt::{AttemptEnd, PossibleRuns};
use crate::gateway::{ChosenRoute, Gateway};
use crate::lost_connections::RequestedWork;
use crate::refusal::Refusal;
use crate::request::{ClientRequest, remove_hop_by_hop};
use crate::suspicions::SuspectRequest;
use crate::usage::CountedRuns;
use bytes::Bytes;
use futures::Stream;
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::http::response::Parts;
use saddlerelay_http::body::{BrokenOff, LocalBody, Reply};
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_upstream::answer::AnswerStream;
use saddlerelay_upstream::events::EventCutter;
use saddlerelay_upstream::{Answer, EngineTarget, Failure, Outgoing, Reuse};
use std::time::Duration;

/// A stream on its way.
struct Relayed {
    gateway: Gateway,
    chosen: ChosenRoute,
    request: ClientRequest,
    outgoing: Outgoing,
    work: RequestedWork,
    service: String,
    limit: Duration,
    /// The engines that it went to; the last one streams.
    tried: Vec<EngineTarget>,
    cutter: EventCutter,
    last_event: Option<u64>,
    body: AnswerStream,
    ended: bool,
}

/// What stays the same while engines are asked to take a stream.
struct StreamPassage<'a> {
    request: &'a ClientRequest,
    work: &'a RequestedWork,
    chosen: &'a ChosenRoute,
    service: &'a str,
    /// When the request is over.
    limit: Duration,
}

impl StreamPassage<'_> {
    fn suspect(&self) -> SuspectRequest<'_> {
        SuspectRequest { request: self.request, work: self.work, limit: self.limit }
    }
}

/// How an engine took a stream.
enum Begun {
    /// It answers with events.
    Answer(Box<Answer>),
    /// It has answered with something else.
    Whole(Parts, Bytes),
    /// No engine took it.
    Refused(Refusal),
}

impl Gateway {
    /// Sends a request on whose answer is a stream.
    pub(crate) async fn forward_stream(&self, chosen: &ChosenRoute, request: ClientRequest, body: Bytes) -> Reply {
        let limit = self.limit_of(chosen.route(), &request);
        let service = chosen.table.next_service(chosen.index).to_string();
        let work = RequestedWork::new(body.clone());
        let outgoing = request.outgoing(body);
        let mut tried = Vec::new();
        let possible_runs = PossibleRuns::default();
        let counted = CountedRuns::new(self, &request.caller, &possible_runs);
        let left = limit.saturating_sub(self.now());
        let passage = StreamPassage { request: &request, work: &work, chosen, service: &service, limit };
        let begin = self.begin_stream(&passage, &outgoing, &mut tried, &possible_runs);
        let answer = match timeout(&self.inner.runtime, left, begin).await {
            Some(Begun::Answer(answer)) => {
                // An engine sends the head of a stream with its first event.
                counted.began_at(self.now());
                answer
            }
            Some(Begun::Whole(head, body)) => return self.answer(&request, chosen, head, body),
            Some(Begun::Refused(refusal)) => return self.refuse(&request, refusal),
            None if possible_runs.may_have_run() => return self.refuse(&request, Refusal::Late),
            None => return self.refuse(&request, Refusal::LateNotRun),
        };
        drop(counted);
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
            work,
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
        passage: &StreamPassage<'_>,
        outgoing: &Outgoing,
        tried: &mut Vec<EngineTarget>,
        possible_runs: &PossibleRuns,
    ) -> Begun {
        let route = passage.chosen.route();
        let most = route.max_attempts.max(1) as usize;
        let mut last_failure = None;
        while tried.len() < most {
            let may_have_run = possible_runs.may_have_run();
            if let Err(refusal) = self.check_suspicion(&passage.suspect(), may_have_run).await {
                return Begun::Refused(refusal);
            }
            let instances: Vec<InstanceId> = tried.iter().map(|target| target.instance.clone()).collect();
            let Some(engine) = self.choose_engine(passage.service, &instances) else {
                break;
            };
            tried.push(engine.target.clone());
            let run = possible_runs.attempt();
            let instance = &engine.target.instance;
            let may_send = || run.note_sending(self.may_send_work(&passage.suspect(), instance), self.now());
            let time_left = || passage.limit.saturating_sub(self.now());
            let began_at = self.now();
            let sent = self.inner.pool.send(&engine.target, outgoing, Reuse::Recent, time_left, may_send).await;
            let reason = match self.take_beginning(sent).await {
                Ok(begun) => {
                    let now = self.now();
                    self.inner.balance.answered(&engine.target.instance, now.saturating_sub(began_at), now);
                    return begun;
                }
                Err(AttemptEnd::Answered(head, body)) => return Begun::Whole(head, body),
                Err(AttemptEnd::NotExecuted(reason)) => {
                    run.disprove();
                    reason
                }
                Err(AttemptEnd::Failed(reason, answer)) => {
                    last_failure = answer.or(last_failure);
                    reason
                }
                Err(AttemptEnd::ConnectionLost(reason)) => {
                    self.look_into_lost_connection(passage.request, passage.work, &engine.target).await;
                    reason
                }
            };
            self.inner.balance.failed(&engine.target.instance, self.now());
            spdlog::warn!("attempt failed", kv: {
                request = outgoing.request_id.as_str(), instance = engine.target.instance.name.as_str(),
                may_have_run = possible_runs.may_have_run(), reason = reason.as_str()
            });
            if possible_runs.may_have_run() && !route.resumable {
                break;
            }
        }
        match last_failure {
            Some((head, body)) => Begun::Whole(head, body),
            None if possible_runs.may_have_run() => Begun::Refused(Refusal::EngineFailed),
            None => Begun::Refused(Refusal::NoEngine),
        }
    }

    /// Takes the beginning of a stream; an answer that is none is read whole.
    async fn take_beginning(&self, sent: Result<Answer, Failure>) -> Result<Begun, AttemptEnd> {
        let names = self.names();
        let whole = match sent {
            Ok(answer) if answer.head.status.is_success() && answer.head.headers.contains_key(&names.stamp) => {
                return Ok(Begun::Answer(Box::new(answer)));
            }
            Ok(answer) => {
                let not_executed = answer.is_not_executed(names);
                let read = answer.read_whole(self.inner.options.config.whole_answer_bytes).await;
                read.map(|(head, body, _)| (not_executed, head, body))
            }
            Err(failure) => Err(failure),
        };
        Err(AttemptEnd::of(whole, names))
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
                Some(None) if !self.cutter.is_mid_event() => {
                    self.gateway.note_served(&self.request, &self.work);
                    return self.end("stream ended", None);
                }
                Some(broken) => {
                    if matches!(broken, Some(Err(Failure::ConnectionLost(_)))) {
                        self.look_into_lost_connection().await;
                    }
                    if !(self.may_resume() && self.resume().await) {
                        return self.end("stream broke off", Some(Err(BrokenOff)));
                    }
                }
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

    async fn look_into_lost_connection(&self) {
        if let Some(target) = self.tried.last() {
            self.gateway.look_into_lost_connection(&self.request, &self.work, target).await;
        }
    }

    fn may_resume(&self) -> bool {
        let route = self.chosen.route();
        route.resumable && self.tried.len() < route.max_attempts.max(1) as usize
    }

    async fn resume(&mut self) -> bool {
        if let Some(last_event) = self.last_event {
            self.outgoing.headers.insert(self.gateway.names().last_event.clone(), HeaderValue::from(last_event));
        }
        let possible_runs = PossibleRuns::default();
        let gateway = self.gateway.clone();
        let passage = StreamPassage {
            request: &self.request,
            work: &self.work,
            chosen: &self.chosen,
            service: &self.service,
            limit: self.limit,
        };
        match gateway.begin_stream(&passage, &self.outgoing, &mut self.tried, &possible_runs).await {
            Begun::Answer(answer) => {
                self.body = answer.into_stream().1;
                self.cutter = EventCutter::new(gateway.names().weight_version.as_str());
                true
            }
            _ => false,
        }
    }
}
