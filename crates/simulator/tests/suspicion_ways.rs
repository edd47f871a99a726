//! Ways to keep work from engines that ends them, compared on the same seeds with the product's own tables: how many engines
//! such work ends, and how many innocent requests are refused with it.
//!
//! A model of relays, engines and a group, event by event: engines end by themselves too, take what they run with them, and
//! come back; innocent clients try twice, guilty work comes back for as long as the run lasts.

use fastrand::Rng;
use saddlerelay_control::state::suspicions::SuspicionTable;
use saddlerelay_control_client::suspicions::{Suspicions, Verdict};
use saddlerelay_types::identity::Incarnation;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::suspicion::{EngineLoss, TrialAnswer, TrialId, WorkEvidence};
use saddlerelay_types::work::WorkDigest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const REQUESTS: usize = 200_000;
const SEEDS: std::ops::Range<u64> = 0..1;

/// Mean pause between innocent requests at three relays; less at more relays.
const ARRIVAL_PAUSE: Duration = Duration::from_millis(4);
/// Mean time for which an engine runs an innocent request.
const RUN_TIME: Duration = Duration::from_millis(25);
/// From the start of guilty work to the end of its engine.
const CRASH_TIME: Duration = Duration::from_millis(60);
/// From an engine's end to its return.
const DOWN_TIME: Duration = Duration::from_secs(3);
/// Mean time between an engine's ends by itself.
const OWN_END_PAUSE: Duration = Duration::from_secs(120);
/// From a relay to the group's commit, and from there to each relay.
const COMMIT_TIME: Duration = Duration::from_millis(6);
const TELL_TIME: Duration = Duration::from_millis(2);
/// Pause before a client's second try, at another relay.
const CLIENT_PAUSE: Duration = Duration::from_millis(15);
/// Engines that one try may go to.
const ATTEMPTS: usize = 2;
/// Kinds of guilty work, and the mean pause until one comes back.
const GUILTY_KINDS: u32 = 8;
const GUILTY_PAUSE: Duration = Duration::from_secs(6);
const LAST_TRIAL_PAUSE: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// Nothing keeps work from engines: the code before inc1.
    Nothing,
    /// Three engines make a quarantine.
    Counting,
    /// Likewise, and the third only after a pause.
    CountingWithPause,
    /// Two engines make a quarantine.
    TwoEngines,
    /// Likewise; and once an engine has ended under it, work runs at one engine at a time anywhere: what stands.
    OneAtATime,
    /// Likewise, and not at the last engine there is.
    OneAtATimeNotAtTheLast,
    /// As with the pause, and not at the last engine there is.
    NotAtTheLast,
}

impl Way {
    fn allows(self, suspicions: &Suspicions, work: &WorkDigest, now: Duration) -> bool {
        let verdict = |pause| suspicions.verdict(work, now, pause) == Verdict::Send;
        match self {
            Self::Nothing => true,
            Self::Counting => verdict(Duration::ZERO),
            Self::CountingWithPause | Self::OneAtATime | Self::OneAtATimeNotAtTheLast | Self::NotAtTheLast => {
                verdict(LAST_TRIAL_PAUSE)
            }
            Self::TwoEngines => suspicions.engines_ended(work) < 2,
        }
    }
}

#[derive(Clone, Debug)]
struct Try {
    work: u32,
    guilty: bool,
    relay: usize,
    /// Which of the client's tries it is, from 0.
    number: u32,
    attempts: usize,
    /// The number under which it holds the right to run suspected work.
    trial: Option<u64>,
}

#[derive(Clone, Debug)]
enum Event {
    Arrive(Try),
    Send(Try),
    /// A relay's question for the right to run suspected work reaches the group.
    AskTrial(Try),
    /// A run ends at an engine that may have ended before it.
    Finish {
        run: u64,
        engine: usize,
        start: u32,
    },
    Crash {
        engine: usize,
        start: u32,
    },
    Return {
        engine: usize,
    },
    Commit(WorkEvidence),
    Tell,
}

#[derive(Default)]
struct Engine {
    is_up: bool,
    start: u32,
    running: BTreeMap<u64, Try>,
}

#[derive(Debug, Default)]
struct Outcome {
    innocent: usize,
    /// Innocent clients refused at their last try because their work was suspected.
    refused_as_suspects: usize,
    /// Innocent clients whose last try failed with its engine, or found none.
    failed: usize,
    /// Engines that each kind of guilty work has ended.
    ended_by: BTreeMap<u32, usize>,
    /// Time for which no engine was up.
    none_up: Duration,
}

struct Model {
    way: Way,
    random: Rng,
    now: Duration,
    queue: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    relays: Vec<Suspicions>,
    table: SuspicionTable,
    engines: Vec<Engine>,
    outcome: Outcome,
}

fn digest(work: u32) -> WorkDigest {
    WorkDigest::of_posted(None, "host", "/", &work.to_le_bytes())
}

impl Model {
    fn new(way: Way, relays: usize, engines: usize, seed: u64) -> Self {
        let up = || Engine { is_up: true, ..Engine::default() };
        Self {
            way,
            random: Rng::with_seed(seed),
            now: Duration::ZERO,
            queue: BTreeMap::new(),
            sequence: 0,
            relays: (0..relays).map(|_| Suspicions::default()).collect(),
            table: SuspicionTable::default(),
            engines: (0..engines).map(|_| up()).collect(),
            outcome: Outcome::default(),
        }
    }

    fn after(&mut self, pause: Duration, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + pause, self.sequence), event);
    }

    fn about(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(-(1.0 - self.random.f64()).ln())
    }

    fn run(mut self, guilty_kinds: u32) -> Outcome {
        let relays = self.relays.len();
        let pause = ARRIVAL_PAUSE * 3 / relays as u32;
        let mut arrival = Duration::ZERO;
        for work in 0..REQUESTS as u32 {
            arrival += self.about(pause);
            let relay = self.random.usize(..relays);
            self.after(arrival, Event::Arrive(Try { work, guilty: false, relay, number: 0, attempts: 0, trial: None }));
        }
        for kind in 0..guilty_kinds {
            let mut at = arrival.mul_f64(self.random.f64() / 2.0);
            while at < arrival {
                let relay = self.random.usize(..relays);
                let work = u32::MAX - kind;
                self.after(at, Event::Arrive(Try { work, guilty: true, relay, number: 0, attempts: 0, trial: None }));
                at += self.about(GUILTY_PAUSE);
            }
        }
        for engine in 0..self.engines.len() {
            let pause = self.about(OWN_END_PAUSE);
            self.after(pause, Event::Crash { engine, start: 0 });
        }
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > arrival + Duration::from_secs(5) {
                break;
            }
            if self.engines.iter().all(|engine| !engine.is_up) {
                self.outcome.none_up += at - self.now;
            }
            self.now = at;
            self.take(event);
        }
        self.outcome
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrive(one) => {
                self.outcome.innocent += usize::from(!one.guilty && one.number == 0);
                self.send(one);
            }
            Event::Send(one) => self.send(one),
            Event::AskTrial(one) => self.answer_trial(one),
            Event::Finish { run, engine, start } => self.finish(run, engine, start),
            Event::Crash { engine, start } => self.crash(engine, start),
            Event::Return { engine } => self.bring_back(engine),
            Event::Commit(evidence) => {
                self.table.take(evidence, self.now.as_millis() as u64);
                self.after(TELL_TIME, Event::Tell);
            }
            Event::Tell => {
                let now = self.now;
                self.relays.iter_mut().for_each(|relay| relay.take(self.table.list(), now));
            }
        }
    }

    fn send(&mut self, mut one: Try) {
        if !self.way.allows(&self.relays[one.relay], &digest(one.work), self.now) {
            return self.give_up(one, true);
        }
        let up: Vec<usize> = (0..self.engines.len()).filter(|engine| self.engines[*engine].is_up).collect();
        if up.is_empty() || one.attempts == ATTEMPTS {
            return self.give_up(one, false);
        }
        let relay = &self.relays[one.relay];
        let work = digest(one.work);
        let suspected = relay.engines_ended(&work) > 0;
        let spares_last = matches!(self.way, Way::NotAtTheLast | Way::OneAtATimeNotAtTheLast);
        if suspected && spares_last && up.len() == 1 {
            return self.give_up(one, true);
        }
        let takes_trials = matches!(self.way, Way::OneAtATime | Way::OneAtATimeNotAtTheLast);
        if suspected && takes_trials && one.trial.is_none() {
            return self.after(COMMIT_TIME, Event::AskTrial(one));
        }
        one.attempts += 1;
        let engine = up[self.random.usize(..up.len())];
        self.sequence += 1;
        let (run, start) = (self.sequence, self.engines[engine].start);
        let event = match one.guilty {
            true => (CRASH_TIME, Event::Crash { engine, start }),
            false => (self.about(RUN_TIME), Event::Finish { run, engine, start }),
        };
        self.engines[engine].running.insert(run, one);
        self.after(event.0, event.1);
    }

    fn answer_trial(&mut self, mut one: Try) {
        self.sequence += 1;
        let id = TrialId { holder: Incarnation(one.relay as u64), number: self.sequence };
        match self.table.begin_trial(digest(one.work), id, self.now.as_millis() as u64, 1_500) {
            TrialAnswer::Granted => {
                one.trial = Some(id.number);
                self.send(one);
            }
            TrialAnswer::Taken => self.give_up(one, true),
        }
    }

    fn end_trial(&mut self, one: &Try) {
        if let Some(number) = one.trial {
            self.table.end_trial(&digest(one.work), TrialId { holder: Incarnation(one.relay as u64), number });
        }
    }

    fn give_up(&mut self, one: Try, suspected: bool) {
        self.end_trial(&one);
        if one.number == 0 {
            let relay = self.random.usize(..self.relays.len());
            return self.after(CLIENT_PAUSE, Event::Arrive(Try { relay, number: 1, attempts: 0, trial: None, ..one }));
        }
        if !one.guilty {
            self.outcome.refused_as_suspects += usize::from(suspected);
            self.outcome.failed += usize::from(!suspected);
        }
    }

    fn finish(&mut self, run: u64, engine: usize, start: u32) {
        if self.engines[engine].start != start || !self.engines[engine].is_up {
            return;
        }
        let one = self.engines[engine].running.remove(&run).expect("it runs there");
        self.end_trial(&one);
        if self.relays[one.relay].note_served(&digest(one.work)) {
            self.hand_over(one.relay);
        }
    }

    fn crash(&mut self, engine: usize, start: u32) {
        if self.engines[engine].start != start || !self.engines[engine].is_up {
            return;
        }
        self.engines[engine].is_up = false;
        let lost = std::mem::take(&mut self.engines[engine].running);
        let guilty: BTreeSet<u32> = lost.values().filter(|one| one.guilty).map(|one| one.work).collect();
        guilty.into_iter().for_each(|work| *self.outcome.ended_by.entry(work).or_default() += 1);
        let instance = InstanceId::named(format!("{engine}/{start}"));
        for one in lost.into_values() {
            let loss = EngineLoss { work: digest(one.work), instance: instance.clone() };
            self.relays[one.relay].note_loss(loss, self.now);
            self.hand_over(one.relay);
            // Another engine is tried when the group has answered.
            self.after(COMMIT_TIME + TELL_TIME + Duration::from_millis(1), Event::Send(one));
        }
        self.after(DOWN_TIME, Event::Return { engine });
    }

    fn bring_back(&mut self, engine: usize) {
        self.engines[engine].is_up = true;
        self.engines[engine].start += 1;
        let start = self.engines[engine].start;
        let pause = self.about(OWN_END_PAUSE);
        self.after(pause, Event::Crash { engine, start });
    }

    fn hand_over(&mut self, relay: usize) {
        let evidence = self.relays[relay].evidence().clone();
        self.relays[relay].handed_over(&evidence);
        self.after(COMMIT_TIME, Event::Commit(evidence));
    }
}

/// What one way brought, over all seeds.
struct Measured {
    innocent: usize,
    refused_as_suspects: usize,
    failed: usize,
    /// Engines ended by a kind of guilty work: mean and most.
    mean_ended: f64,
    most_ended: usize,
    none_up: Duration,
}

fn measure(way: Way, relays: usize, engines: usize) -> Measured {
    let outcomes: Vec<Outcome> = SEEDS.map(|seed| Model::new(way, relays, engines, seed).run(GUILTY_KINDS)).collect();
    let sum = |of: fn(&Outcome) -> usize| outcomes.iter().map(of).sum::<usize>();
    let ended: Vec<usize> = outcomes.iter().flat_map(|outcome| outcome.ended_by.values().copied()).collect();
    Measured {
        innocent: sum(|outcome| outcome.innocent),
        refused_as_suspects: sum(|outcome| outcome.refused_as_suspects),
        failed: sum(|outcome| outcome.failed),
        mean_ended: ended.iter().sum::<usize>() as f64 / ended.len().max(1) as f64,
        most_ended: ended.into_iter().max().unwrap_or(0),
        none_up: outcomes.iter().map(|outcome| outcome.none_up).sum(),
    }
}

#[test]
fn what_stands_ends_few_engines_and_refuses_hardly_an_innocent_request() {
    println!("way, relays, engines: innocent, refused as suspects, failed, engines ended (mean, most), none up");
    for (relays, engines) in [(3, 3), (7, 9), (67, 30)] {
        for way in [
            Way::Nothing,
            Way::Counting,
            Way::CountingWithPause,
            Way::TwoEngines,
            Way::NotAtTheLast,
            Way::OneAtATimeNotAtTheLast,
            Way::OneAtATime,
        ] {
            let Measured { innocent, refused_as_suspects, failed, mean_ended, most_ended, none_up } =
                measure(way, relays, engines);
            println!(
                "{way:?}, {relays}, {engines}: {innocent}, {refused_as_suspects}, {failed}, {mean_ended:.2}, {most_ended}, \
                 {:.1} s",
                none_up.as_secs_f64()
            );
            if matches!(way, Way::CountingWithPause | Way::OneAtATime) {
                assert!(refused_as_suspects * 10_000 < innocent, "{refused_as_suspects} of {innocent} refused");
                assert!(most_ended <= 4, "one kind of work ended {most_ended} engines");
            }
        }
    }
}

/// Engines that end by themselves, and no such work in the mix.
#[test]
fn without_such_work_no_request_is_refused_for_it() {
    for (relays, engines) in [(3, 3), (67, 30)] {
        let refused = SEEDS.map(|seed| Model::new(Way::OneAtATime, relays, engines, seed).run(0).refused_as_suspects);
        assert_eq!(refused.sum::<usize>(), 0, "{relays} relays, {engines} engines");
    }
}
