//! Forwards event streams event by event. On resumable routes, an interrupted stream is resumed on another engine
//! within the same response.

use crate::attempt::{AttemptOutcome, PossibleRuns};
use crate::drain::Expiry;
use crate::forward::remove_connection_details;
use crate::gateway::{ChosenRoute, Gateway};
use crate::lost_connections::RequestedWork;
use crate::refusal::Refusal;
use crate::request::ClientRequest;
use crate::suspicions::SuspectRequest;
use crate::usage::UsageGuard;
use bytes::Bytes;
use futures::Stream;
use hyper::header::HeaderValue;
use hyper::http::response::Parts;
use saddlerelay_http::body::{BodyInterrupted, LocalBody, Reply};
use saddlerelay_types::instance::InstanceId;
use saddlerelay_upstream::events::{EventParser, EventTooLong};
use saddlerelay_upstream::response::ResponseStream;
use saddlerelay_upstream::{EngineTarget, Failure, OutgoingRequest, Reuse, UpstreamResponse};
use std::time::Duration;

/// A stream that is being forwarded to a client.
struct ForwardedStream {
    gateway: Gateway,
    chosen: ChosenRoute,
    request: ClientRequest,
    outgoing: OutgoingRequest,
    work: RequestedWork,
    service: String,
    started_at: Duration,
    deadline: Duration,
    /// Engines tried so far; the last one is streaming.
    tried: Vec<EngineTarget>,
    parser: EventParser,
    last_event_id: Option<u64>,
    body: ResponseStream,
    ended: bool,
}

/// Parameters shared by the attempts to start a stream.
struct StreamContext<'a> {
    request: &'a ClientRequest,
    work: &'a RequestedWork,
    chosen: &'a ChosenRoute,
    service: &'a str,
    /// Deadline in monotonic time.
    deadline: Duration,
}

impl StreamContext<'_> {
    fn suspect(&self) -> SuspectRequest<'_> {
        SuspectRequest { request: self.request, work: self.work, deadline: self.deadline }
    }
}

/// The result of starting a stream.
enum StreamStart {
    /// An engine responded with an event stream.
    Response(Box<UpstreamResponse>),
    /// An engine responded with something else, which was read to its end.
    Buffered(Parts, Bytes),
    /// No engine accepted the request.
    Refused(Refusal),
}

impl Gateway {
    /// Forwards a request whose response is an event stream.
    pub(crate) async fn forward_stream(&self, chosen: &ChosenRoute, request: ClientRequest, body: Bytes) -> Reply {
        let deadline = self.request_deadline(chosen.route(), &request);
        let service = chosen.table.next_service(chosen.index).to_string();
        let work = RequestedWork::new(body.clone());
        let outgoing = request.outgoing(body);
        let mut tried = Vec::new();
        let possible_runs = PossibleRuns::default();
        let usage = UsageGuard::new(self, &request.caller, &possible_runs);
        let started_at = self.now();
        let context = StreamContext { request: &request, work: &work, chosen, service: &service, deadline };
        let starting = self.start_stream(&context, &outgoing, &mut tried, &possible_runs);
        let response = match self.run_until(deadline, starting).await {
            Ok(StreamStart::Response(response)) => {
                // Engines send the response head together with the first event.
                usage.set_started_at(self.now());
                response
            }
            Ok(StreamStart::Buffered(head, body)) => return self.client_response(&request, chosen, head, body),
            Ok(StreamStart::Refused(refusal)) => return self.refuse(&request, refusal),
            Err(expiry) => return self.refuse(&request, expiry.refusal(possible_runs.may_have_run())),
        };
        drop(usage);
        let (mut head, stream) = response.into_stream();
        remove_connection_details(&mut head);
        self.log_stream_started(&request, chosen, &head);
        let forwarded = ForwardedStream {
            gateway: self.clone(),
            chosen: chosen.clone(),
            parser: EventParser::new(self.names().weight_version.as_str()),
            request,
            outgoing,
            work,
            service,
            started_at,
            deadline,
            tried,
            last_event_id: None,
            body: stream,
            ended: false,
        };
        Reply::from_parts(head, LocalBody::Fallible(Box::pin(forwarded.into_chunks())))
    }

    fn log_stream_started(&self, request: &ClientRequest, chosen: &ChosenRoute, head: &Parts) {
        self.inner.metrics.answered.inc();
        spdlog::info!("stream begun", kv: {
            request = request.id.as_str(),
            route = chosen.route().name.as_str(),
            routing_version = chosen.table.document().version,
            status = head.status.as_u16(),
            held_ms = self.now().saturating_sub(request.arrived_at).as_millis() as u64
        });
    }

    /// Tries engines until one starts the stream. After an attempt that may have executed, it tries another engine only
    /// if the route is resumable.
    async fn start_stream(
        &self,
        context: &StreamContext<'_>,
        outgoing: &OutgoingRequest,
        tried: &mut Vec<EngineTarget>,
        possible_runs: &PossibleRuns,
    ) -> StreamStart {
        let route = context.chosen.route();
        let max_attempts = route.max_attempts.max(1) as usize;
        let mut last_failure = None;
        while tried.len() < max_attempts {
            let may_have_run = possible_runs.may_have_run();
            if let Err(refusal) = self.check_suspicion(&context.suspect(), may_have_run).await {
                return StreamStart::Refused(refusal);
            }
            if !may_have_run && let Err(refusal) = self.check_completion(context.chosen, context.deadline) {
                return StreamStart::Refused(refusal);
            }
            let instances: Vec<InstanceId> = tried.iter().map(|target| target.instance.clone()).collect();
            let Some(engine) = self.choose_engine(context.service, route.kind, &instances) else {
                break;
            };
            tried.push(engine.target.clone());
            let run = possible_runs.attempt();
            let instance = &engine.target.instance;
            let may_send = || run.record_send(self.may_send_work(&context.suspect(), instance), self.now());
            let time_left = || context.deadline.saturating_sub(self.now());
            let started_at = self.now();
            let sent = self.inner.pool.send(&engine.target, outgoing, Reuse::Recent, time_left, may_send).await;
            if let Ok(response) = &sent
                && let Some(report) = response.load_report(self.names())
            {
                let rejected = response.is_not_executed(self.names());
                self.inner.balance.record_report(instance, report, rejected, self.now());
            }
            let reason = match self.read_stream_start(sent).await {
                Ok(started) => {
                    let now = self.now();
                    self.inner.balance.record_response(&engine.target.instance, now.saturating_sub(started_at), now);
                    return started;
                }
                Err(AttemptOutcome::Answered(head, body)) => return StreamStart::Buffered(head, body),
                Err(AttemptOutcome::NotExecuted(reason)) => {
                    run.mark_not_executed();
                    reason
                }
                Err(AttemptOutcome::Failed(reason, response)) => {
                    last_failure = response.or(last_failure);
                    reason
                }
                Err(AttemptOutcome::ConnectionLost(reason)) => {
                    self.check_lost_connection(context.request, context.work, &engine.target).await;
                    reason
                }
            };
            self.inner.balance.record_failure(&engine.target.instance, self.now());
            spdlog::warn!("attempt failed", kv: {
                request = outgoing.request_id.as_str(), instance = engine.target.instance.name.as_str(),
                may_have_run = possible_runs.may_have_run(), reason = reason.as_str()
            });
            if possible_runs.may_have_run() && !route.resumable {
                break;
            }
        }
        match last_failure {
            Some((head, body)) => StreamStart::Buffered(head, body),
            None if possible_runs.may_have_run() => StreamStart::Refused(Refusal::EngineFailed),
            None => StreamStart::Refused(Refusal::NoEngine),
        }
    }

    /// Returns a stream whose head has arrived; reads any other response to its end and classifies it.
    async fn read_stream_start(&self, sent: Result<UpstreamResponse, Failure>) -> Result<StreamStart, AttemptOutcome> {
        let names = self.names();
        let buffered = match sent {
            Ok(response) if response.head.status.is_success() && response.head.headers.contains_key(&names.stamp) => {
                return Ok(StreamStart::Response(Box::new(response)));
            }
            Ok(response) => {
                let not_executed = response.is_not_executed(names);
                let read = response.read_body(self.inner.options.config.max_response_bytes).await;
                read.map(|(head, body, _)| (not_executed, head, body))
            }
            Err(failure) => Err(failure),
        };
        Err(AttemptOutcome::of(buffered, names))
    }
}

impl ForwardedStream {
    fn into_chunks(self) -> impl Stream<Item = Result<Bytes, BodyInterrupted>> {
        futures::stream::unfold(self, |mut stream| async move {
            let chunk = stream.next_chunk().await?;
            Some((chunk, stream))
        })
    }

    /// The next complete event. Partial events are not forwarded, because another engine may resume the stream.
    async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyInterrupted>> {
        while !self.ended {
            // An engine that always has bytes ready would otherwise keep the stream alive beyond its deadline.
            if self.gateway.now() >= self.deadline {
                return self.give_up(Expiry::Deadline);
            }
            if self.gateway.has_stopped() {
                return self.give_up(Expiry::Stop);
            }
            match self.parser.next_event() {
                Ok(Some(event)) => {
                    self.last_event_id = event.id.or(self.last_event_id);
                    return Some(Ok(event.raw.into()));
                }
                Ok(None) => {}
                Err(error) => {
                    self.log_unusable(&error);
                    if !self.continue_elsewhere().await {
                        return self.finish("stream broke off", Some(Err(BodyInterrupted)));
                    }
                    continue;
                }
            }
            let received = self.gateway.run_until(self.deadline, self.body.next()).await;
            match received {
                Ok(Some(Ok(bytes))) => self.parser.push(&bytes),
                Ok(None) if !self.parser.is_mid_event() => {
                    self.record_completion();
                    return self.finish("stream ended", None);
                }
                Ok(interrupted) => {
                    if matches!(interrupted, Some(Err(Failure::ConnectionLost(_)))) {
                        self.check_lost_connection().await;
                    }
                    if !self.continue_elsewhere().await {
                        return self.finish("stream broke off", Some(Err(BodyInterrupted)));
                    }
                }
                Err(expiry) => return self.give_up(expiry),
            }
        }
        None
    }

    fn record_completion(&self) {
        self.gateway.record_served(&self.request, &self.work);
        let duration = self.gateway.now().saturating_sub(self.started_at);
        self.chosen.table.record_duration(self.chosen.index, duration);
    }

    /// Ends a stream that is not complete.
    fn give_up(&mut self, expiry: Expiry) -> Option<Result<Bytes, BodyInterrupted>> {
        let event = match expiry {
            Expiry::Deadline => "stream deadline exceeded",
            Expiry::Stop => "stream interrupted by the stop of the relay",
        };
        self.finish(event, Some(Err(BodyInterrupted)))
    }

    /// Resumes the stream at another engine before its deadline, if the route allows it; returns whether it goes on.
    async fn continue_elsewhere(&mut self) -> bool {
        if !self.may_resume() {
            return false;
        }
        let (gateway, deadline) = (self.gateway.clone(), self.deadline);
        gateway.run_until(deadline, self.resume()).await.unwrap_or(false)
    }

    fn log_unusable(&self, reason: &EventTooLong) {
        spdlog::warn!("stream of an engine is unusable", kv: {
            request = self.request.id.as_str(),
            instance = self.tried.last().map_or("-", |target| target.instance.name.as_str()),
            last_event = self.last_event_id.unwrap_or_default(),
            reason = format!("{reason}").as_str()
        });
    }

    fn finish(
        &mut self,
        event: &str,
        chunk: Option<Result<Bytes, BodyInterrupted>>,
    ) -> Option<Result<Bytes, BodyInterrupted>> {
        self.ended = true;
        spdlog::info!("{}", event, kv: {
            request = self.request.id.as_str(),
            last_event = self.last_event_id.unwrap_or_default(),
            engines = self.tried.len(),
            held_ms = self.gateway.now().saturating_sub(self.request.arrived_at).as_millis() as u64
        });
        chunk
    }

    async fn check_lost_connection(&self) {
        if let Some(target) = self.tried.last() {
            self.gateway.check_lost_connection(&self.request, &self.work, target).await;
        }
    }

    fn may_resume(&self) -> bool {
        let route = self.chosen.route();
        route.resumable && self.tried.len() < route.max_attempts.max(1) as usize
    }

    async fn resume(&mut self) -> bool {
        if let Some(last_event_id) = self.last_event_id {
            self.outgoing.headers.insert(self.gateway.names().last_event.clone(), HeaderValue::from(last_event_id));
        }
        let possible_runs = PossibleRuns::default();
        let gateway = self.gateway.clone();
        let context = StreamContext {
            request: &self.request,
            work: &self.work,
            chosen: &self.chosen,
            service: &self.service,
            deadline: self.deadline,
        };
        match gateway.start_stream(&context, &self.outgoing, &mut self.tried, &possible_runs).await {
            StreamStart::Response(response) => {
                self.body = response.into_stream().1;
                self.parser = EventParser::new(gateway.names().weight_version.as_str());
                true
            }
            _ => false,
        }
    }
}
