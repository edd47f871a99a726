//! Requests whose answers are held until they are whole, so that a broken one can be replaced by another engine's.

use crate::attempt::{AttemptEnd, PossibleRuns, WholeAnswer};
use crate::gateway::{ChosenRoute, Gateway};
use crate::lost_connections::RequestedWork;
use crate::refusal::Refusal;
use crate::request::{ClientRequest, remove_hop_by_hop};
use crate::suspicions::SuspectRequest;
use crate::usage::CountedRuns;
use bytes::Bytes;
use futures::future::{self, Either};
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;
use saddlerelay_http::body::{LocalBody, Reply};
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::routing::RouteKind;
use saddlerelay_upstream::{Failure, Outgoing, ReadyEngine, Reuse};
use std::cell::Cell;
use std::pin::pin;
use std::time::Duration;

/// Engines asked beyond a route's attempts, where those before have not run the request.
const EXTRA_ENGINES: usize = 2;

/// A request on its way through attempts.
pub(crate) struct Passage<'a> {
    pub request: &'a ClientRequest,
    pub chosen: &'a ChosenRoute,
    pub service: &'a str,
    /// When the request is over.
    pub limit: Duration,
    /// What may have run of it.
    possible_runs: PossibleRuns,
    /// What it asks for.
    work: RequestedWork,
}

impl Passage<'_> {
    fn suspect(&self) -> SuspectRequest<'_> {
        SuspectRequest { request: self.request, work: &self.work, limit: self.limit }
    }
}

impl Gateway {
    /// Sends a request on and returns its final answer.
    pub(crate) async fn forward(&self, chosen: &ChosenRoute, request: &ClientRequest, body: Bytes) -> Reply {
        let limit = self.limit_of(chosen.route(), request);
        let service = chosen.table.next_service(chosen.index);
        let work = RequestedWork::new(body.clone());
        let passage = Passage { request, chosen, service, limit, possible_runs: PossibleRuns::default(), work };
        let _counted = CountedRuns::new(self, &request.caller, &passage.possible_runs);
        let outgoing = request.outgoing(body);
        let left = limit.saturating_sub(self.now());
        let ended = timeout(&self.inner.runtime, left, self.attempt_until_answered(&passage, &outgoing)).await;
        match ended {
            Some(Ok((head, body))) => self.answer(request, chosen, head, body),
            Some(Err(refusal)) => self.refuse(request, refusal),
            None if passage.possible_runs.may_have_run() => self.refuse(request, Refusal::Late),
            None => self.refuse(request, Refusal::LateNotRun),
        }
    }

    /// Passes an engine's whole answer on.
    pub(crate) fn answer(&self, request: &ClientRequest, chosen: &ChosenRoute, mut head: Parts, body: Bytes) -> Reply {
        let held = self.now().saturating_sub(request.arrived_at);
        self.inner.metrics.answered.inc();
        self.inner.metrics.request_seconds.observe(held.as_secs_f64());
        spdlog::info!("request answered", kv: {
            request = request.id.as_str(),
            route = chosen.route().name.as_str(),
            routing_version = chosen.table.document().version,
            status = head.status.as_u16(),
            held_ms = held.as_millis() as u64
        });
        remove_hop_by_hop(&mut head.headers);
        head.headers.remove(CONTENT_LENGTH);
        Reply::from_parts(head, LocalBody::Whole(body.into()))
    }

    async fn attempt_until_answered(
        &self,
        passage: &Passage<'_>,
        outgoing: &Outgoing,
    ) -> Result<(Parts, Bytes), Refusal> {
        let route = passage.chosen.route();
        let repeatable = route.kind == RouteKind::Idempotent;
        let most_runs = route.max_attempts.max(1) as usize;
        let hedge_after = Duration::from_millis(route.objective_ms) * self.inner.options.config.hedge_percent / 100;
        let mut tried: Vec<InstanceId> = Vec::new();
        // Engines that have proved not to run it would hardly do so now.
        let mut refused_by: Vec<InstanceId> = Vec::new();
        let mut hedged = !repeatable;
        let mut last_failure = None;
        let mut running = FuturesUnordered::new();
        loop {
            let may_begin = tried.len() - refused_by.len() < most_runs && tried.len() < most_runs + EXTRA_ENGINES;
            if running.is_empty() {
                self.check_suspicion(&passage.suspect(), passage.possible_runs.may_have_run()).await?;
                let engine = may_begin.then(|| self.choose_engine(passage.service, &tried)).flatten();
                let engine = engine.filter(|engine| !refused_by.contains(&engine.target.instance));
                let Some(engine) = engine else {
                    return last_failure.ok_or_else(|| self.given_up(passage));
                };
                if !tried.is_empty() {
                    self.inner.metrics.retries.inc();
                }
                tried.push(engine.target.instance.clone());
                running.push(self.attempt(passage, outgoing, engine));
            }
            // Work under which an engine has ended is not tried at two engines at once.
            let is_suspected = self.engines_ended(passage.request, &passage.work) > 0;
            let may_hedge =
                !hedged && !is_suspected && running.len() == 1 && tried.len() - refused_by.len() < most_runs;
            let hedge = async {
                if may_hedge {
                    self.inner.runtime.sleep(hedge_after).await;
                } else {
                    future::pending::<()>().await;
                }
            };
            let (instance, ended) = match future::select(running.next(), pin!(hedge.boxed_local())).await {
                Either::Left((Some(ended), _)) => ended,
                Either::Left((None, _)) => continue,
                Either::Right(_) => {
                    hedged = true;
                    if let Some(engine) = self.choose_other_engine(passage.service, &tried) {
                        self.tell_hedge(passage, &engine);
                        tried.push(engine.target.instance.clone());
                        running.push(self.attempt(passage, outgoing, engine));
                    }
                    continue;
                }
            };
            match ended {
                AttemptEnd::Answered(head, body) => {
                    if head.status.is_success() {
                        self.note_served(passage.request, &passage.work);
                    }
                    return Ok((head, body));
                }
                AttemptEnd::NotExecuted(_) => refused_by.push(instance),
                AttemptEnd::Failed(_, answer) => last_failure = answer.or(last_failure),
                AttemptEnd::ConnectionLost(_) => {}
            }
            if !repeatable && passage.possible_runs.may_have_run() {
                return last_failure.ok_or(Refusal::EngineFailed);
            }
        }
    }

    fn given_up(&self, passage: &Passage) -> Refusal {
        if passage.possible_runs.may_have_run() { Refusal::EngineFailed } else { Refusal::NoEngine }
    }

    fn tell_hedge(&self, passage: &Passage, engine: &ReadyEngine) {
        self.inner.metrics.hedges.inc();
        spdlog::info!("request tried at a second engine", kv: {
            request = passage.request.id.as_str(), instance = engine.target.instance.name.as_str()
        });
    }

    /// The engine to send a request for `service` to next.
    pub(crate) fn choose_engine(&self, service: &str, tried: &[InstanceId]) -> Option<ReadyEngine> {
        let view = self.inner.view.borrow();
        let zone = &self.inner.options.zone;
        self.inner.balance.choose(view.ready_engines(service), zone, tried, self.now())
    }

    fn choose_other_engine(&self, service: &str, tried: &[InstanceId]) -> Option<ReadyEngine> {
        self.choose_engine(service, tried).filter(|engine| !tried.contains(&engine.target.instance))
    }

    /// Whether the relay may send to `instance` at this moment.
    pub(crate) fn may_send(&self, instance: &InstanceId) -> bool {
        let view = self.inner.view.borrow();
        view.is_leased(self.now()) && view.is_ready(instance)
    }

    async fn attempt(
        &self,
        passage: &Passage<'_>,
        outgoing: &Outgoing,
        engine: ReadyEngine,
    ) -> (InstanceId, AttemptEnd) {
        let instance = &engine.target.instance;
        let began_at = self.now();
        let _in_flight = self.inner.balance.begin(instance, began_at);
        // An attempt that is dropped because another was faster has lasted at least so long.
        let watch = Outlasted { gateway: self, instance, began_at, armed: Cell::new(true) };
        let reuse = match passage.chosen.route().kind {
            RouteKind::Idempotent => Reuse::Any,
            _ => Reuse::Recent,
        };
        let time_left = || passage.limit.saturating_sub(self.now());
        let run = passage.possible_runs.attempt();
        let may_send = || run.note_sending(self.may_send_work(&passage.suspect(), instance), self.now());
        let ended = match self.inner.pool.send(&engine.target, outgoing, reuse, time_left, may_send).await {
            Ok(answer) => {
                let not_executed = answer.is_not_executed(self.names());
                let read = answer.read_whole(self.inner.options.config.whole_answer_bytes).await;
                read.map(|(head, body, connection)| {
                    if let Some(connection) = connection {
                        self.inner.pool.put_back(&engine.target, connection);
                    }
                    (not_executed, head, body)
                })
            }
            Err(failure) => Err(failure),
        };
        watch.armed.set(false);
        let end = self.judge(passage, instance, began_at, ended);
        if matches!(end, AttemptEnd::ConnectionLost(_)) {
            self.look_into_lost_connection(passage.request, &passage.work, &engine.target).await;
        }
        if matches!(end, AttemptEnd::NotExecuted(_)) {
            run.disprove();
        }
        (instance.clone(), end)
    }

    fn judge(
        &self,
        passage: &Passage,
        instance: &InstanceId,
        began_at: Duration,
        ended: Result<WholeAnswer, Failure>,
    ) -> AttemptEnd {
        let now = self.now();
        let lasted = now.saturating_sub(began_at);
        self.inner.metrics.observe_attempt(lasted);
        let end = AttemptEnd::of(ended, self.names());
        match &end {
            AttemptEnd::Answered(..) => self.inner.balance.answered(instance, lasted, now),
            AttemptEnd::NotExecuted(reason) | AttemptEnd::Failed(reason, _) | AttemptEnd::ConnectionLost(reason) => {
                self.inner.balance.failed(instance, now);
                let may_have_run = !matches!(end, AttemptEnd::NotExecuted(_));
                spdlog::warn!("attempt failed", kv: {
                    request = passage.request.id.as_str(),
                    instance = instance.name.as_str(),
                    may_have_run = may_have_run,
                    lasted_ms = lasted.as_millis() as u64,
                    reason = reason.as_str()
                });
            }
        }
        end
    }
}

/// Notes an attempt that is given up while it runs.
struct Outlasted<'a> {
    gateway: &'a Gateway,
    instance: &'a InstanceId,
    began_at: Duration,
    armed: Cell<bool>,
}

impl Drop for Outlasted<'_> {
    fn drop(&mut self) {
        if self.armed.get() {
            let now = self.gateway.now();
            let lasted = now.saturating_sub(self.began_at);
            self.gateway.inner.balance.outlasted(self.instance, lasted, now);
        }
    }
}
