//! A loop that runs generated jobs on engines, which are counters: no network, no clock, fixed random numbers.

use saddlerelay_scheduling::{
    Candidate, Capacities, CapacityModel, EngineSnapshot, LoadReport, PlacedWork, Placement, PlacementMethod,
    RunningWork, Work, move_target, place,
};
use saddlerelay_types::instance::InstanceId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time step in milliseconds.
const TICK_MS: u64 = 5;

/// Steps between plans, and between checks for moves.
const TICKS_PER_PLAN: u64 = 4;
const TICKS_PER_MOVE_CHECK: u64 = 30;

const MIN_TIME_AT_ENGINE_MS: u64 = 800;
const MAX_MOVES_PER_TEXT: usize = 2;
const MAX_MOVES_PER_CHECK: usize = 6;

/// Time from the start of an attempt to its first event, in addition to the event.
const START_MS: f64 = 150.0;

/// Share of its pace that each neighbor adds to an engine.
const NEIGHBOR_SHARE: f64 = 0.0075;

/// Milliseconds per event of a text alone at an engine, by engine and time in milliseconds; `None` while it is away.
pub type Speed = fn(usize, u64) -> Option<f64>;

/// What engines report as their work time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reported {
    Nothing,
    /// Always 100.
    Usual,
    /// A wrong figure on every second engine.
    HalfWrong,
}

/// A generated load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub engines: usize,
    pub speed: Speed,
    pub reported: Reported,
    pub jobs: u64,
    /// Groups and items per group of a job.
    pub groups: usize,
    pub group_size: usize,
    /// Time at which the leader changes.
    pub new_leader_at_ms: Option<u64>,
}

pub const SLOTS: u32 = 8;
const JOB_INTERVAL_MS: u64 = 4_000;
const DUE_AFTER_MS: u64 = 7_500;
const LONGEST_EVENTS: f64 = 145.0;
const MEAN_EVENTS: f64 = 20.0;
/// Share of groups that a trainer waits for.
const WANTED_SHARE: f64 = 0.9;

/// What a load came to.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Mean over jobs of the groups in time, as a share of those wanted.
    pub in_time: f64,
    /// Slot time in use at the busiest engine as a multiple of the mean.
    pub busiest: f64,
    /// The same for the least busy engine.
    pub least_busy: f64,
    pub moves: usize,
    /// Moves to an engine that the text ran at before.
    pub moves_back: usize,
    pub items: usize,
    /// Mean share of slots in use.
    pub use_share: f64,
    /// Median time from submission until the wanted groups of a job are complete, in seconds.
    pub median_step_s: f64,
    /// Items started at each engine.
    pub starts: Vec<usize>,
    /// Number of texts whose first attempts started at each engine within two seconds after the leader changed.
    pub starts_of_new_leader: Vec<usize>,
}

struct Random(u64);

impl Random {
    /// A number from 0 to 1.
    fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

#[derive(Clone, Debug)]
struct Text {
    job: u64,
    group: usize,
    events: f64,
    estimate: f64,
    done: f64,
    engine: Option<usize>,
    started_at: u64,
    /// Time of the last event of the attempt; `None` before the first.
    last_event_at: Option<f64>,
    /// Time until the engine starts to generate.
    starting_ms: f64,
    earlier_engines: Vec<usize>,
    moves: usize,
    ended_at: Option<u64>,
}

impl Text {
    fn remaining(&self) -> f64 {
        (self.estimate - self.done.floor()).max(self.done * 0.2)
    }

    fn time_left(&self, now: u64) -> Duration {
        Duration::from_millis((self.job * JOB_INTERVAL_MS + DUE_AFTER_MS).saturating_sub(now))
    }

    fn work(&self) -> Work {
        Work { remaining_events: self.remaining(), prompt_tokens: 0 }
    }
}

struct Loop {
    load: Load,
    method: PlacementMethod,
    ids: Vec<InstanceId>,
    model: CapacityModel,
    random: Random,
    texts: Vec<Text>,
    running: Vec<u32>,
    busy_ms: Vec<u64>,
    group_engines: BTreeMap<(u64, usize), usize>,
    outcome: Outcome,
}

/// Runs a load.
pub fn run(load: Load, method: PlacementMethod) -> Outcome {
    let ids = (0..load.engines).map(|index| InstanceId::without_start_time(format!("engine-{index}"))).collect();
    let mut state = Loop {
        load,
        method,
        ids,
        model: CapacityModel::default(),
        random: Random(0x9E37_79B9_7F4A_7C15),
        texts: Vec::new(),
        running: vec![0; load.engines],
        busy_ms: vec![0; load.engines],
        group_engines: BTreeMap::new(),
        outcome: Outcome {
            starts: vec![0; load.engines],
            starts_of_new_leader: vec![0; load.engines],
            ..Outcome::default()
        },
    };
    let end = load.jobs * JOB_INTERVAL_MS + DUE_AFTER_MS;
    for tick in 0..end / TICK_MS {
        state.step(tick);
    }
    state.finish(end)
}

impl Loop {
    fn step(&mut self, tick: u64) {
        let now = tick * TICK_MS;
        if now.is_multiple_of(JOB_INTERVAL_MS) && now / JOB_INTERVAL_MS < self.load.jobs {
            self.submit(now / JOB_INTERVAL_MS);
        }
        if self.load.new_leader_at_ms == Some(now) {
            self.model = CapacityModel::default();
            self.group_engines.clear();
            for index in 0..self.texts.len() {
                self.stop(index);
            }
        }
        for index in 0..self.texts.len() {
            self.advance(index, now);
        }
        for (busy, running) in self.busy_ms.iter_mut().zip(&self.running) {
            *busy += u64::from(*running) * TICK_MS;
        }
        if tick.is_multiple_of(TICKS_PER_PLAN) {
            let capacities = self.model.estimates(Duration::from_millis(now));
            self.plan(&capacities, now);
            if tick.is_multiple_of(TICKS_PER_MOVE_CHECK) {
                self.plan_moves(&capacities, now);
            }
        }
    }

    fn submit(&mut self, job: u64) {
        let first = self.texts.len();
        for group in 0..self.load.groups {
            for _ in 0..self.load.group_size {
                let is_long = self.random.next() < 0.05;
                let drawn = self.random.next();
                let events = if is_long { 60.0 + 85.0 * drawn } else { -16.0 * (1.0 - drawn).ln() };
                let events = events.ceil().clamp(3.0, LONGEST_EVENTS);
                let estimate = events * (0.8 + 0.45 * self.random.next());
                self.texts.push(Text {
                    job,
                    group,
                    events,
                    estimate,
                    done: 0.0,
                    engine: None,
                    started_at: 0,
                    last_event_at: None,
                    starting_ms: 0.0,
                    earlier_engines: Vec::new(),
                    moves: 0,
                    ended_at: None,
                });
            }
        }
        self.texts[first..].sort_by(|left, right| right.estimate.total_cmp(&left.estimate));
    }

    fn stop(&mut self, index: usize) {
        let text = &mut self.texts[index];
        if let Some(engine) = text.engine.take() {
            self.running[engine] -= 1;
            text.done = text.done.floor();
            text.earlier_engines.push(engine);
        }
    }

    fn advance(&mut self, index: usize, now: u64) {
        let text = &mut self.texts[index];
        let Some(engine) = text.engine else {
            return;
        };
        let Some(alone) = (self.load.speed)(engine, now) else {
            self.stop(index);
            return;
        };
        if text.starting_ms > 0.0 {
            text.starting_ms -= TICK_MS as f64;
            return;
        }
        let per_event = alone * (1.0 + NEIGHBOR_SHARE * f64::from(self.running[engine].saturating_sub(1)));
        let before = text.done;
        text.done += TICK_MS as f64 / per_event;
        if text.done.floor() > before.floor() {
            let at = (now + TICK_MS) as f64 - (text.done - text.done.floor()) * per_event;
            if let Some(last) = text.last_event_at.replace(at) {
                let interval = Duration::from_secs_f64((at - last).max(0.0) / 1_000.0);
                let at = Duration::from_secs_f64(at / 1_000.0);
                self.model.observe_interval(&self.ids[engine], interval, self.running[engine], at);
            }
        }
        if text.done >= text.events {
            text.engine = None;
            text.ended_at = Some(now);
            self.running[engine] -= 1;
        }
    }

    /// Engines that are there, with their indexes.
    fn candidates(&self, capacities: &Capacities, index: usize, now: u64) -> (Vec<usize>, Vec<Candidate>) {
        let text = &self.texts[index];
        let cached = self.group_engines.get(&(text.job, text.group));
        let present = (0..self.load.engines).filter(|engine| (self.load.speed)(*engine, now).is_some());
        let candidate = |engine: usize| Candidate {
            engine: self.snapshot(capacities, engine),
            has_cached_prompt: cached == Some(&engine),
            avoided: text.earlier_engines.last() == Some(&engine),
        };
        present.map(|engine| (engine, candidate(engine))).unzip()
    }

    fn snapshot(&self, capacities: &Capacities, engine: usize) -> EngineSnapshot {
        EngineSnapshot {
            capacity: capacities.of(&self.ids[engine]),
            running: self.running[engine],
            slots: SLOTS,
            reporting: true,
        }
    }

    fn plan(&mut self, capacities: &Capacities, now: u64) {
        for index in 0..self.texts.len() {
            if self.texts[index].engine.is_some() || self.texts[index].ended_at.is_some() {
                continue;
            }
            let (engines, candidates) = self.candidates(capacities, index, now);
            let text = &self.texts[index];
            let placed = PlacedWork { work: text.work(), time_left: text.time_left(now), mean_events: MEAN_EVENTS };
            if let Placement::At { index: chosen, .. } = place(self.method, &candidates, &placed) {
                self.start(index, engines[chosen], now);
            }
        }
    }

    fn start(&mut self, index: usize, engine: usize, now: u64) {
        let text = &mut self.texts[index];
        text.engine = Some(engine);
        text.started_at = now;
        text.last_event_at = None;
        text.starting_ms = START_MS;
        self.running[engine] += 1;
        self.group_engines.insert((text.job, text.group), engine);
        self.outcome.starts[engine] += 1;
        let since_new_leader = self.load.new_leader_at_ms.and_then(|at| now.checked_sub(at));
        if since_new_leader.is_some_and(|since| since < 2_000) {
            self.outcome.starts_of_new_leader[engine] += 1;
        }
        let percent = match self.load.reported {
            Reported::Nothing => return,
            Reported::HalfWrong if engine.is_multiple_of(2) => 30 + (now % 700) as u32,
            Reported::Usual | Reported::HalfWrong => 100,
        };
        let report =
            LoadReport { running: self.running[engine], waiting: 0, slots: SLOTS, work_time_percent: Some(percent) };
        self.model.observe_report(&self.ids[engine], &report, Duration::from_millis(now));
    }

    fn plan_moves(&mut self, capacities: &Capacities, now: u64) {
        let mut moved = 0;
        for index in 0..self.texts.len() {
            let text = &self.texts[index];
            let Some(engine) = text.engine.filter(|_| now >= text.started_at + MIN_TIME_AT_ENGINE_MS) else {
                continue;
            };
            if text.moves >= MAX_MOVES_PER_TEXT || moved >= MAX_MOVES_PER_CHECK {
                continue;
            }
            let running = RunningWork {
                engine: self.snapshot(capacities, engine),
                work: text.work(),
                time_left: text.time_left(now),
                later_time_left: text.time_left(now) + Duration::from_millis(DUE_AFTER_MS / 2),
                restart_time: Duration::from_millis(200),
            };
            let (engines, mut candidates) = self.candidates(capacities, index, now);
            if let Some(own) = engines.iter().position(|other| *other == engine) {
                candidates[own].avoided = true;
            }
            if let Some(target) = move_target(&running, &candidates) {
                moved += 1;
                self.stop(index);
                self.outcome.moves += 1;
                self.texts[index].moves += 1;
                self.outcome.moves_back += usize::from(self.texts[index].earlier_engines.contains(&engines[target]));
                self.start(index, engines[target], now);
            }
        }
    }

    fn finish(mut self, end: u64) -> Outcome {
        let wanted = (self.load.groups as f64 * WANTED_SHARE).round().max(1.0) as usize;
        let mut ends: BTreeMap<(u64, usize), u64> = BTreeMap::new();
        for text in &self.texts {
            let took = text.ended_at.map_or(u64::MAX, |ended_at| ended_at - text.job * JOB_INTERVAL_MS);
            let group = ends.entry((text.job, text.group)).or_default();
            *group = (*group).max(took);
        }
        let mut shares = 0.0;
        let mut steps = Vec::new();
        for job in 0..self.load.jobs {
            let mut groups: Vec<u64> = ends.range((job, 0)..(job + 1, 0)).map(|(_, took)| *took).collect();
            groups.sort_unstable();
            let in_time = groups.iter().filter(|took| **took <= DUE_AFTER_MS).count();
            shares += in_time.min(wanted) as f64 / wanted as f64;
            steps.push(groups[wanted - 1]);
        }
        steps.sort_unstable();
        let mean = self.busy_ms.iter().sum::<u64>() as f64 / self.load.engines as f64;
        let relative = self.busy_ms.iter().map(|busy| *busy as f64 / mean.max(1.0));
        self.outcome.in_time = shares / self.load.jobs as f64;
        self.outcome.busiest = relative.clone().fold(0.0, f64::max);
        self.outcome.least_busy = relative.fold(f64::INFINITY, f64::min);
        self.outcome.items = self.texts.len();
        self.outcome.use_share = mean / (end as f64 * f64::from(SLOTS));
        self.outcome.median_step_s = steps[steps.len() / 2] as f64 / 1_000.0;
        self.outcome
    }
}
