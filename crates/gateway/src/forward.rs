//! Forwards requests with buffered responses, so that a failed or truncated response can be retried on another engine.

use crate::attempt::{AttemptOutcome, CompleteResponse, PossibleRuns};
use crate::gateway::{ChosenRoute, Gateway};
use crate::lost_connections::RequestedWork;
use crate::refusal::Refusal;
use crate::request::{ClientRequest, remove_hop_by_hop};
use crate::suspicions::SuspectRequest;
use crate::usage::UsageGuard;
use bytes::Bytes;
use futures::future::{self, Either};
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use hyper::Version;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;
use saddlerelay_http::body::{LocalBody, Reply};
use saddlerelay_runtime::Runtime;
use saddlerelay_scheduling::LoadReport;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::routing::RouteKind;
use saddlerelay_upstream::{Failure, OutgoingRequest, ReadyEngine, Reuse};
use std::cell::Cell;
use std::pin::pin;
use std::time::Duration;

/// Additional engines to try beyond the route's attempts, if earlier engines did not execute the request.
const EXTRA_ENGINES: usize = 2;

/// A request and its state across attempts.
pub(crate) struct ForwardContext<'a> {
    pub request: &'a ClientRequest,
    pub chosen: &'a ChosenRoute,
    pub service: &'a str,
    /// Deadline in monotonic time.
    pub deadline: Duration,
    /// Attempts that may have executed.
    pub possible_runs: PossibleRuns,
    work: RequestedWork,
}

impl ForwardContext<'_> {
    fn suspect(&self) -> SuspectRequest<'_> {
        SuspectRequest { request: self.request, work: &self.work, deadline: self.deadline }
    }
}

/// Removes from a response's head what concerns the engine's connection only: hop-by-hop headers, framing and HTTP version.
/// A response of HTTP/1.0 would have no chunks, so that a stream that breaks off would appear complete.
pub(crate) fn remove_connection_details(head: &mut Parts) {
    remove_hop_by_hop(&mut head.headers);
    head.headers.remove(CONTENT_LENGTH);
    head.version = Version::HTTP_11;
}

impl Gateway {
    /// Forwards a request, with retries and hedging as its route allows, and returns the final response.
    pub(crate) async fn forward(&self, chosen: &ChosenRoute, request: &ClientRequest, body: Bytes) -> Reply {
        let deadline = self.request_deadline(chosen.route(), request);
        let service = chosen.table.next_service(chosen.index);
        let work = RequestedWork::new(body.clone());
        let context =
            ForwardContext { request, chosen, service, deadline, possible_runs: PossibleRuns::default(), work };
        self.count_hedgeable_request(service);
        let _usage = UsageGuard::new(self, &request.caller, &context.possible_runs);
        let outgoing = request.outgoing(body);
        let started_at = self.now();
        match self.run_until(deadline, self.run_attempts(&context, &outgoing)).await {
            Ok(Ok((head, body))) => {
                if head.status.is_success() {
                    chosen.table.record_duration(chosen.index, self.now().saturating_sub(started_at));
                }
                self.client_response(request, chosen, head, body)
            }
            Ok(Err(refusal)) => self.refuse(request, refusal),
            Err(expiry) => self.refuse(request, expiry.refusal(context.possible_runs.may_have_run())),
        }
    }

    /// Builds the client's response from an engine's buffered response.
    pub(crate) fn client_response(
        &self,
        request: &ClientRequest,
        chosen: &ChosenRoute,
        mut head: Parts,
        body: Bytes,
    ) -> Reply {
        let elapsed = self.now().saturating_sub(request.arrived_at);
        self.inner.metrics.answered.inc();
        self.inner.metrics.request_seconds.observe(elapsed.as_secs_f64());
        spdlog::info!("request answered", kv: {
            request = request.id.as_str(),
            route = chosen.route().name.as_str(),
            routing_version = chosen.table.document().version,
            status = head.status.as_u16(),
            held_ms = elapsed.as_millis() as u64
        });
        remove_connection_details(&mut head);
        Reply::from_parts(head, LocalBody::Reserved(body.into()))
    }

    async fn run_attempts(
        &self,
        context: &ForwardContext<'_>,
        outgoing: &OutgoingRequest,
    ) -> Result<(Parts, Bytes), Refusal> {
        let route = context.chosen.route();
        let repeatable = route.kind == RouteKind::Idempotent;
        let max_runs = route.max_attempts.max(1) as usize;
        let hedge_after = Duration::from_millis(route.objective_ms) * self.inner.options.config.hedge_percent / 100;
        let mut tried: Vec<InstanceId> = Vec::new();
        // Engines that did not execute the request; they are not tried again.
        let mut not_executed_by: Vec<InstanceId> = Vec::new();
        let mut hedged = !repeatable;
        let mut last_failure = None;
        let mut running = FuturesUnordered::new();
        loop {
            let may_start_attempt =
                tried.len() - not_executed_by.len() < max_runs && tried.len() < max_runs + EXTRA_ENGINES;
            if running.is_empty() {
                self.check_suspicion(&context.suspect(), context.possible_runs.may_have_run()).await?;
                if !context.possible_runs.may_have_run() {
                    self.check_completion(context.chosen, context.deadline)?;
                }
                let engine = if may_start_attempt { self.admit_to_engine(context, &tried)? } else { None };
                let engine = engine.filter(|engine| !not_executed_by.contains(&engine.target.instance));
                let Some(engine) = engine else {
                    return last_failure.ok_or_else(|| self.exhausted_refusal(context, &tried));
                };
                if !tried.is_empty() {
                    self.inner.metrics.retries.inc();
                }
                tried.push(engine.target.instance.clone());
                running.push(self.attempt(context, outgoing, engine));
            }
            // Suspected work is not hedged: both engines might fail.
            let is_suspected = self.engines_terminated(context.request, &context.work) > 0;
            let may_hedge =
                !hedged && !is_suspected && running.len() == 1 && tried.len() - not_executed_by.len() < max_runs;
            let hedge = async {
                if may_hedge {
                    self.inner.runtime.sleep(hedge_after).await;
                } else {
                    future::pending::<()>().await;
                }
            };
            let (instance, result) = match future::select(running.next(), pin!(hedge.boxed_local())).await {
                Either::Left((Some(result), _)) => result,
                Either::Left((None, _)) => continue,
                Either::Right(_) => {
                    hedged = true;
                    let engine = self.choose_other_engine(context.service, route.kind, &tried);
                    if let Some(engine) = engine.filter(|_| self.may_hedge(context, &tried)) {
                        self.log_hedge(context, &engine);
                        tried.push(engine.target.instance.clone());
                        running.push(self.attempt(context, outgoing, engine));
                    }
                    continue;
                }
            };
            match result {
                AttemptOutcome::Answered(head, body) => {
                    if head.status.is_success() {
                        self.record_served(context.request, &context.work);
                    }
                    return Ok((head, body));
                }
                AttemptOutcome::NotExecuted(_) => not_executed_by.push(instance),
                AttemptOutcome::Failed(_, answer) => last_failure = answer.or(last_failure),
                AttemptOutcome::ConnectionLost(_) => {}
            }
            if !repeatable && context.possible_runs.may_have_run() {
                return last_failure.ok_or(Refusal::EngineFailed);
            }
        }
    }

    fn exhausted_refusal(&self, context: &ForwardContext, tried: &[InstanceId]) -> Refusal {
        if context.possible_runs.may_have_run() {
            return Refusal::EngineFailed;
        }
        self.full_refusal(context, tried).unwrap_or(Refusal::NoEngine)
    }

    fn log_hedge(&self, context: &ForwardContext, engine: &ReadyEngine) {
        self.inner.metrics.hedges.inc();
        spdlog::info!("request hedged to a second engine", kv: {
            request = context.request.id.as_str(), instance = engine.target.instance.name.as_str()
        });
    }

    fn choose_other_engine(&self, service: &str, kind: RouteKind, tried: &[InstanceId]) -> Option<ReadyEngine> {
        self.choose_engine(service, kind, tried).filter(|engine| !tried.contains(&engine.target.instance))
    }

    /// Whether the lease is valid and `instance` is ready.
    pub(crate) fn may_send(&self, instance: &InstanceId) -> bool {
        let view = self.inner.view.borrow();
        view.is_leased(self.now()) && view.is_ready(instance)
    }

    async fn attempt(
        &self,
        context: &ForwardContext<'_>,
        outgoing: &OutgoingRequest,
        engine: ReadyEngine,
    ) -> (InstanceId, AttemptOutcome) {
        let instance = &engine.target.instance;
        let started_at = self.now();
        let _in_flight = self.inner.balance.begin(instance, started_at);
        // An attempt that is cancelled, for example because the hedge was faster, still updates the latency estimate.
        let guard = CancelledAttemptGuard { gateway: self, instance, started_at, armed: Cell::new(true) };
        let reuse = match context.chosen.route().kind {
            RouteKind::Idempotent => Reuse::Any,
            _ => Reuse::Recent,
        };
        let time_left = || context.deadline.saturating_sub(self.now());
        let run = context.possible_runs.attempt();
        let may_send = || run.record_send(self.may_send_work(&context.suspect(), instance), self.now());
        let mut report = None;
        let result = match self.inner.pool.send(&engine.target, outgoing, reuse, time_left, may_send).await {
            Ok(response) => {
                report = response.load_report(self.names());
                if let Some(report) = report {
                    let rejected = response.is_not_executed(self.names());
                    self.inner.balance.record_report(instance, report, rejected, self.now());
                }
                let not_executed = response.is_not_executed(self.names());
                let read = response.read_body(self.inner.options.config.max_response_bytes).await;
                read.map(|(head, body, connection)| {
                    if let Some(connection) = connection {
                        self.inner.pool.release(&engine.target, connection);
                    }
                    (not_executed, head, body)
                })
            }
            Err(failure) => Err(failure),
        };
        guard.armed.set(false);
        let outcome = self.record_outcome(context, instance, started_at, report, result);
        if matches!(outcome, AttemptOutcome::ConnectionLost(_)) {
            self.check_lost_connection(context.request, &context.work, &engine.target).await;
        }
        if matches!(outcome, AttemptOutcome::NotExecuted(_)) {
            run.mark_not_executed();
        }
        (instance.clone(), outcome)
    }

    fn record_outcome(
        &self,
        context: &ForwardContext,
        instance: &InstanceId,
        started_at: Duration,
        report: Option<LoadReport>,
        result: Result<CompleteResponse, Failure>,
    ) -> AttemptOutcome {
        let now = self.now();
        let latency = now.saturating_sub(started_at);
        self.inner.metrics.observe_attempt(latency);
        let outcome = AttemptOutcome::of(result, self.names());
        match &outcome {
            AttemptOutcome::Answered(..) => {
                self.inner.balance.record_response(instance, latency, now);
                self.inner.balance.record_work(instance, latency, report.as_ref(), now);
            }
            AttemptOutcome::NotExecuted(reason)
            | AttemptOutcome::Failed(reason, _)
            | AttemptOutcome::ConnectionLost(reason) => {
                let may_have_run = !matches!(outcome, AttemptOutcome::NotExecuted(_));
                if may_have_run || !self.is_full(context.service, report.as_ref()) {
                    self.inner.balance.record_failure(instance, now);
                }
                spdlog::warn!("attempt failed", kv: {
                    request = context.request.id.as_str(),
                    instance = instance.name.as_str(),
                    may_have_run = may_have_run,
                    lasted_ms = latency.as_millis() as u64,
                    reason = reason.as_str()
                });
            }
        }
        outcome
    }
}

/// Records the latency and failure of an attempt that is dropped before it completes.
struct CancelledAttemptGuard<'a> {
    gateway: &'a Gateway,
    instance: &'a InstanceId,
    started_at: Duration,
    armed: Cell<bool>,
}

impl Drop for CancelledAttemptGuard<'_> {
    fn drop(&mut self) {
        if self.armed.get() {
            let now = self.gateway.now();
            let latency = now.saturating_sub(self.started_at);
            self.gateway.inner.balance.record_cancellation(self.instance, latency, now);
        }
    }
}
