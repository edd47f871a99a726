//! The loop over events.

use super::*;
use saddlerelay_scheduling::admission::{
    Admission, HedgeBudget, RejectReason, RequestTimes, decide, hedge_helps, rejection,
};
use saddlerelay_scheduling::{LoadReport, ServiceLoad};
use saddlerelay_types::instance::InstanceId;
use saddlerelay_upstream::balance::InFlight;
use saddlerelay_upstream::{EngineTarget, LoadBalancer, ReadyEngine};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Event {
    Arrival,
    AtRelay { request: usize, second: bool },
    AtEngine(usize),
    Done(usize),
    Answer(usize),
    Hedge { request: usize, try_number: u32 },
}

struct Request {
    arrived: u64,
    tenant: usize,
    relay: usize,
    second: bool,
    tries: u32,
    /// Number of the present try, so that a late hedge timer of an earlier one is ignored.
    try_number: u32,
    tried: Vec<InstanceId>,
    not_executed: usize,
    hedged: bool,
    running: Vec<usize>,
    ran: bool,
    over: bool,
}

struct Attempt {
    request: usize,
    engine: usize,
    sent: u64,
    cancelled: bool,
    finished: bool,
    answer: Answer,
    report: Option<LoadReport>,
    in_flight: Option<InFlight>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Answer {
    Pending,
    Complete,
    Full,
    Lost,
}

#[derive(Default)]
struct Engine {
    running: Vec<usize>,
    waiting: VecDeque<usize>,
}

struct Relay {
    zone: String,
    balance: LoadBalancer,
    budget: HedgeBudget,
}

struct World {
    setup: Setup,
    now: u64,
    random: u64,
    /// Of arrivals alone, so that both ways get the same requests.
    arrival_random: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    engines: Vec<Engine>,
    relays: Vec<Relay>,
    outcome: Outcome,
}

pub fn run(setup: Setup) -> Outcome {
    let relay = |index: usize| Relay {
        zone: format!("z{}", index % ENGINES),
        balance: LoadBalancer::default(),
        budget: HedgeBudget::default(),
    };
    let mut world = World {
        setup,
        now: 0,
        random: setup.seed,
        arrival_random: !setup.seed,
        events: BinaryHeap::new(),
        event_count: 0,
        requests: Vec::new(),
        attempts: Vec::new(),
        engines: (0..ENGINES).map(|_| Engine::default()).collect(),
        relays: (0..RELAYS).map(relay).collect(),
        outcome: Outcome::default(),
    };
    world.push(0, Event::Arrival);
    let mut was_away = false;
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        world.now = at;
        let is_away = world.is_away(0);
        if is_away && !was_away {
            world.lose_engines();
        }
        was_away = is_away;
        world.handle(event);
    }
    world.outcome
}

impl World {
    fn next(&mut self) -> u64 {
        next_random(&mut self.random)
    }

    fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn arrival_fraction(&mut self) -> f64 {
        (next_random(&mut self.arrival_random) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn push(&mut self, after: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((self.now + after, self.event_count, event)));
    }

    fn clock(&self) -> Duration {
        Duration::from_micros(self.now)
    }

    fn is_away(&self, engine: usize) -> bool {
        engine < self.setup.away_engines && (self.setup.away.0..self.setup.away.1).contains(&self.now)
    }

    fn work_time_percent(&self, engine: usize) -> u64 {
        let phase = (self.now / 600_000) as usize % (4 * ENGINES);
        if self.setup.slow_phases && phase == 4 * engine { 250 } else { 100 }
    }

    fn lose_engines(&mut self) {
        for engine in 0..self.setup.away_engines {
            let lost = std::mem::take(&mut self.engines[engine]);
            for attempt in lost.running.into_iter().chain(lost.waiting) {
                self.attempts[attempt].answer = Answer::Lost;
                self.push(500, Event::Answer(attempt));
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::AtRelay { request, second } => self.begin(request, second),
            Event::AtEngine(attempt) => self.at_engine(attempt),
            Event::Done(attempt) => self.done(attempt),
            Event::Answer(attempt) => self.answer(attempt),
            Event::Hedge { request, try_number } => self.hedge(request, try_number),
        }
    }

    fn arrive(&mut self) {
        let gap = -(1.0 - self.arrival_fraction()).ln() / self.setup.per_second * 1e6;
        if self.now + (gap as u64) < self.setup.ends_at {
            self.push(gap as u64, Event::Arrival);
        }
        let draw = self.arrival_fraction();
        let tenant = if draw < 0.6 { (draw / 0.15) as usize } else { 4 + ((draw - 0.6) / 0.025) as usize };
        let request = Request {
            arrived: self.now,
            tenant: tenant.min(TENANTS - 1),
            relay: 0,
            second: false,
            tries: 0,
            try_number: 0,
            tried: Vec::new(),
            not_executed: 0,
            hedged: false,
            running: Vec::new(),
            ran: false,
            over: false,
        };
        self.requests.push(request);
        self.push(1_000, Event::AtRelay { request: self.requests.len() - 1, second: false });
    }

    fn begin(&mut self, index: usize, second: bool) {
        let relay = (self.next() % RELAYS as u64) as usize;
        let request = &mut self.requests[index];
        (request.relay, request.second) = (relay, second);
        request.try_number += 1;
        request.tried.clear();
        (request.not_executed, request.hedged, request.ran) = (0, false, false);
        self.relays[relay].budget.add_request();
        self.next_attempt(index);
        let try_number = self.requests[index].try_number;
        self.push(HEDGE_AFTER, Event::Hedge { request: index, try_number });
    }

    fn ready(&self) -> Vec<ReadyEngine> {
        (0..ENGINES)
            .map(|index| ReadyEngine {
                target: EngineTarget { instance: instance(index), address: ([127, 0, 0, 1], 1).into() },
                zone: format!("z{index}"),
                slots: SLOTS as u32,
                silent: false,
            })
            .collect()
    }

    fn load(&self, index: usize) -> Option<ServiceLoad> {
        let request = &self.requests[index];
        let relay = &self.relays[request.relay];
        let load = relay.balance.service_load(&self.ready(), &relay.zone, &request.tried, self.clock());
        (self.setup.by_load && load.has_reports(true)).then_some(load)
    }

    fn times(&self, index: usize) -> RequestTimes {
        let request = &self.requests[index];
        // A relay does not know of an earlier try; it counts from the arrival of this one.
        let left = (request.arrived + DEADLINE).saturating_sub(self.now);
        let to_objective = Duration::from_micros(OBJECTIVE);
        RequestTimes { to_objective, to_deadline: Duration::from_micros(left), priority: 0 }
    }

    fn choose(&mut self, index: usize) -> Option<usize> {
        let random = self.next();
        let chosen = match self.load(index) {
            Some(load) => load.choose(random),
            None => {
                let request = &self.requests[index];
                let relay = &self.relays[request.relay];
                let choice = relay.balance.choose(self.ready().into_iter(), &relay.zone, &request.tried, self.clock());
                choice.and_then(|choice| choice.target.instance.name.parse().ok())
            }
        };
        chosen.filter(|engine| !self.requests[index].tried.contains(&instance(*engine)))
    }

    fn next_attempt(&mut self, index: usize) {
        let random = self.next();
        let load = if self.requests[index].ran { None } else { self.load(index) };
        match load.map(|load| decide(&load, &self.times(index), random)) {
            Some(Err(rejection)) => return self.reject(index, rejection.retry_after.as_micros() as u64),
            Some(Ok(Admission::Probe(engine))) => return self.start(index, engine),
            _ => {}
        }
        let request = &self.requests[index];
        let tried = request.tried.len();
        let may_start = tried - request.not_executed < MAX_RUNS && tried < MAX_RUNS + EXTRA_ENGINES;
        let engine = if may_start { self.choose(index) } else { None };
        match engine {
            Some(engine) => self.start(index, engine),
            None if self.requests[index].ran => self.end(index, End::Failed),
            None => {
                let after = self.load(index).map_or(FIXED_RETRY, |load| {
                    let times = self.times(index);
                    rejection(&load, &times, random, RejectReason::Full).retry_after.as_micros() as u64
                });
                self.reject(index, after);
            }
        }
    }

    fn start(&mut self, index: usize, engine: usize) {
        let clock = self.clock();
        let request = &mut self.requests[index];
        request.tries += 1;
        request.tried.push(instance(engine));
        let in_flight = self.relays[request.relay].balance.begin(&instance(engine), clock);
        request.running.push(self.attempts.len());
        self.attempts.push(Attempt {
            request: index,
            engine,
            sent: self.now,
            cancelled: false,
            finished: false,
            answer: Answer::Pending,
            report: None,
            in_flight: Some(in_flight),
        });
        self.outcome.attempts += 1;
        let crossing = self.crossing(self.requests[index].relay, engine);
        self.push(crossing, Event::AtEngine(self.attempts.len() - 1));
    }

    fn crossing(&self, relay: usize, engine: usize) -> u64 {
        if relay % ENGINES == engine { 150 } else { 900 }
    }

    fn at_engine(&mut self, attempt: usize) {
        let engine = self.attempts[attempt].engine;
        if self.attempts[attempt].cancelled {
            return;
        }
        if self.is_away(engine) {
            self.attempts[attempt].answer = Answer::Lost;
            return self.push(500, Event::Answer(attempt));
        }
        let is_full = self.engines[engine].waiting.len() >= QUEUE || self.setup.rejecting & (1 << engine) != 0;
        if is_full {
            return self.reply(attempt, Answer::Full);
        }
        self.requests[self.attempts[attempt].request].ran = true;
        self.engines[engine].waiting.push_back(attempt);
        self.fill(engine);
    }

    fn fill(&mut self, engine: usize) {
        while self.engines[engine].running.len() < SLOTS
            && let Some(next) = self.engines[engine].waiting.pop_front()
        {
            self.engines[engine].running.push(next);
            let work = (12_500 + (self.fraction() * 25_000.0) as u64) * self.work_time_percent(engine) / 100;
            self.push(work, Event::Done(next));
        }
    }

    fn done(&mut self, attempt: usize) {
        let engine = self.attempts[attempt].engine;
        let Some(position) = self.engines[engine].running.iter().position(|running| *running == attempt) else {
            return;
        };
        self.engines[engine].running.swap_remove(position);
        self.fill(engine);
        self.reply(attempt, Answer::Complete);
    }

    fn reply(&mut self, attempt: usize, answer: Answer) {
        let engine = self.attempts[attempt].engine;
        let state = &self.engines[engine];
        let (running, waiting) = (state.running.len() as u32, state.waiting.len() as u32);
        let report = LoadReport {
            running,
            waiting,
            slots: SLOTS as u32,
            work_time_percent: Some(self.work_time_percent(engine) as u32),
        };
        self.attempts[attempt].report = match self.setup.reports {
            Reports::True => Some(report),
            Reports::Until(end) if self.now < end => Some(report),
            Reports::AlwaysIdle => Some(LoadReport { running: 0, waiting: 0, work_time_percent: Some(100), ..report }),
            Reports::None | Reports::Until(_) => None,
        };
        self.attempts[attempt].answer = answer;
        let crossing = self.crossing(self.requests[self.attempts[attempt].request].relay, engine);
        self.push(crossing, Event::Answer(attempt));
    }

    fn answer(&mut self, attempt: usize) {
        let clock = self.clock();
        let state = &mut self.attempts[attempt];
        if state.cancelled || state.finished {
            return;
        }
        state.finished = true;
        state.in_flight = None;
        let (index, answer, report, engine) = (state.request, state.answer, state.report, instance(state.engine));
        let latency = Duration::from_micros(self.now - state.sent);
        let balance = self.relays[self.requests[index].relay].balance.clone();
        if let Some(report) = report {
            balance.record_report(&engine, report, answer == Answer::Full, clock);
        }
        self.requests[index].running.retain(|running| *running != attempt);
        match answer {
            Answer::Complete => {
                balance.record_response(&engine, latency, clock);
                balance.record_work(&engine, latency, report.as_ref(), clock);
                let elapsed = self.now + 1_000 - self.requests[index].arrived;
                let end = if elapsed <= OBJECTIVE { End::InTime } else { End::Late };
                return self.end(index, if elapsed <= DEADLINE { end } else { End::Failed });
            }
            Answer::Full => {
                self.requests[index].not_executed += 1;
                let is_known_full = self.load(index).is_some() && report.is_some_and(|report| report.waiting > 0);
                if !is_known_full {
                    balance.record_failure(&engine, clock);
                }
                // Only this attempt is known not to have run.
                self.requests[index].ran = !self.requests[index].running.is_empty();
            }
            Answer::Lost | Answer::Pending => balance.record_failure(&engine, clock),
        }
        if self.requests[index].running.is_empty() {
            self.next_attempt(index);
        }
    }

    fn hedge(&mut self, index: usize, try_number: u32) {
        let request = &self.requests[index];
        let may_hedge = !request.over && request.try_number == try_number && !request.hedged;
        if !may_hedge || request.running.len() != 1 || request.tried.len() - request.not_executed >= MAX_RUNS {
            return;
        }
        self.requests[index].hedged = true;
        if let Some(load) = self.load(index) {
            let relay = self.requests[index].relay;
            if !hedge_helps(&load) || !self.relays[relay].budget.take_hedge() {
                return;
            }
        }
        if let Some(engine) = self.choose(index) {
            self.outcome.hedges += 1;
            self.start(index, engine);
        }
    }

    fn reject(&mut self, index: usize, after: u64) {
        self.outcome.rejections += 1;
        let serving = (0..ENGINES).filter(|engine| !self.is_away(*engine) && self.setup.rejecting & (1 << engine) == 0);
        let serving: Vec<&Engine> = serving.map(|engine| &self.engines[engine]).collect();
        let running: usize = serving.iter().map(|engine| engine.running.len()).sum();
        let is_idle = running * 2 < serving.len() * SLOTS && serving.iter().all(|engine| engine.waiting.is_empty());
        let has_idle = serving.iter().any(|engine| engine.running.len() * 2 < SLOTS && engine.waiting.is_empty());
        self.outcome.wrong_rejections += u64::from(is_idle);
        self.outcome.rejections_beside_idle += u64::from(has_idle);
        self.outcome.run_and_rejected += u64::from(self.requests[index].ran);
        let left = (self.requests[index].arrived + DEADLINE).saturating_sub(self.now);
        if self.requests[index].second {
            return self.end(index, End::Rejected);
        }
        self.push(2_000 + after.min(left / 3), Event::AtRelay { request: index, second: true });
    }

    fn end(&mut self, index: usize, end: End) {
        let clock = self.clock();
        self.requests[index].over = true;
        for attempt in std::mem::take(&mut self.requests[index].running) {
            let state = &mut self.attempts[attempt];
            state.cancelled = true;
            state.in_flight = None;
            let (engine, latency) = (state.engine, Duration::from_micros(self.now - state.sent));
            let balance = &self.relays[self.requests[index].relay].balance;
            balance.record_cancellation(&instance(engine), latency, clock);
            // The engine notices at once and frees the slot, the most favorable case for hedges.
            self.engines[engine].running.retain(|running| *running != attempt);
            self.engines[engine].waiting.retain(|waiting| *waiting != attempt);
            self.fill(engine);
        }
        let request = &self.requests[index];
        let (arrived, tenant, tries) = (request.arrived, request.tenant, request.tries);
        self.outcome.ended.push(Ended { arrived, tenant, end, tries });
    }
}

fn instance(index: usize) -> InstanceId {
    InstanceId::without_start_time(index.to_string())
}

/// SplitMix64.
fn next_random(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let mut mixed = *state;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}
