//! Load test: relays and engines under overload, today's decisions against those by reported load.

mod overload;

use overload::{End, Outcome, Reports, Setup, ends, run, shares};

const AWAY_FROM: u64 = 10_500_000;
const AWAY_TO: u64 = 18_000_000;

/// Requests per second that two engines serve.
const CAPACITY_LEFT: f64 = 480.0;

fn report(name: &str, outcomes: &[Outcome]) -> f64 {
    for (part, from, to) in [("whole", 0, u64::MAX), ("away", AWAY_FROM, AWAY_TO), ("after", AWAY_TO, u64::MAX)] {
        let mut sum = [0; 4];
        for outcome in outcomes {
            for (sum, count) in sum.iter_mut().zip(ends(outcome, from, to)) {
                *sum += count;
            }
        }
        println!("{name} {part}: in time, late, rejected, failed {sum:?}");
    }
    let sum = |count: fn(&Outcome) -> u64| outcomes.iter().map(count).sum::<u64>();
    let requests: usize = outcomes.iter().map(|outcome| outcome.ended.len()).sum();
    let attempts_away: u32 = outcomes
        .iter()
        .flat_map(|outcome| &outcome.ended)
        .filter(|ended| (AWAY_FROM..AWAY_TO).contains(&ended.arrived))
        .map(|ended| ended.tries)
        .sum();
    let away: usize = outcomes.iter().map(|outcome| ends(outcome, AWAY_FROM, AWAY_TO).iter().sum::<usize>()).sum();
    let in_time: usize = outcomes.iter().map(|outcome| ends(outcome, AWAY_FROM, AWAY_TO)[0]).sum();
    let seconds = (AWAY_TO - AWAY_FROM) as f64 / 1e6 * outcomes.len() as f64;
    let goodput = in_time as f64 / seconds / CAPACITY_LEFT;
    println!(
        "{name}: goodput {goodput:.3}, engines per request {:.2} (away {:.2}), hedges {}, rejections {}, wrong {}, beside an idle engine {}, run and rejected {}, shares {:?}",
        sum(|outcome| outcome.attempts) as f64 / requests as f64,
        f64::from(attempts_away) / away as f64,
        sum(|outcome| outcome.hedges),
        sum(|outcome| outcome.rejections),
        sum(|outcome| outcome.wrong_rejections),
        sum(|outcome| outcome.rejections_beside_idle),
        sum(|outcome| outcome.run_and_rejected),
        shares(outcomes, AWAY_FROM, AWAY_TO),
    );
    goodput
}

fn outcomes(by_load: bool) -> Vec<Outcome> {
    (1..=4).map(|seed| run(Setup::new(seed, by_load))).collect()
}

/// Guards against capacity that is spent on answers that come too late, and against tenants that get less than others.
#[test]
fn goodput_stays_at_the_capacity_that_is_left() {
    let today = report("today", &outcomes(false));
    let by_load = outcomes(true);
    let goodput = report("by load", &by_load);
    assert!(goodput > 0.95 && goodput > today, "{goodput} {today}");
    for (least, greatest) in shares(&by_load, AWAY_FROM, AWAY_TO).into_values() {
        assert!(least >= 0.8 * greatest, "{least} {greatest}");
    }
    let sum = |count: fn(&Outcome) -> u64| by_load.iter().map(count).sum::<u64>();
    assert_eq!(sum(|outcome| outcome.wrong_rejections), 0);
    assert_eq!(sum(|outcome| outcome.run_and_rejected), 0);
    let beside_idle = sum(|outcome| outcome.rejections_beside_idle);
    assert!(beside_idle * 100 <= sum(|outcome| outcome.rejections), "{beside_idle}");
}

/// Guards against decisions that change where no engine reports.
#[test]
fn without_reports_everything_is_as_today() {
    let without = |by_load| run(Setup { reports: Reports::None, ..Setup::new(5, by_load) });
    let (today, by_load) = (without(false), without(true));
    assert_eq!(ends(&today, 0, u64::MAX), ends(&by_load, 0, u64::MAX));
    assert_eq!((today.attempts, today.hedges), (by_load.attempts, by_load.hedges));
}

/// Guards against load figures that stop or are wrong: rejections by such figures, and less service than today.
#[test]
fn reports_that_stop_or_are_wrong_do_no_harm() {
    for (name, reports) in [("stopped", Reports::Until(11_000_000)), ("always idle", Reports::AlwaysIdle)] {
        let today = run(Setup { reports, ..Setup::new(6, false) });
        let by_load = run(Setup { reports, ..Setup::new(6, true) });
        let (before, after) = (ends(&today, 0, u64::MAX), ends(&by_load, 0, u64::MAX));
        println!("{name}: today {before:?}, by load {after:?}, wrong {}", by_load.wrong_rejections);
        assert!(after[0] * 100 >= before[0] * 99, "{name}: {before:?} {after:?}");
        assert_eq!(by_load.wrong_rejections, 0, "{name}");
    }
}

/// Guards against an engine that rejects everything and draws requests because it looks idle.
#[test]
fn an_engine_that_rejects_everything_costs_little() {
    let setup = |by_load| Setup { rejecting: 1, per_second: 384.0, away_engines: 0, ..Setup::new(7, by_load) };
    let (today, by_load) = (run(setup(false)), run(setup(true)));
    let ended = ends(&by_load, 0, u64::MAX);
    println!(
        "rejecting: today {:?} {}, by load {ended:?} {}",
        ends(&today, 0, u64::MAX),
        today.attempts,
        by_load.attempts
    );
    assert!(ended[0] * 1_000 >= ended.iter().sum::<usize>() * 995, "{ended:?}");
    assert!(by_load.attempts * 10 <= ended.iter().sum::<usize>() as u64 * 13, "{}", by_load.attempts);
}

/// Time after `from` until 100 ms windows of arrivals are in time to 95 % for one second, in milliseconds.
fn time_to_normal(outcome: &Outcome, from: u64) -> u64 {
    let is_normal = |start: u64| {
        let ended = ends(outcome, start, start + 100_000);
        ended[0] * 100 >= ended.iter().sum::<usize>() * 95
    };
    let windows = (0..100).map(|window| from + window * 100_000);
    let normal = windows.into_iter().find(|start| (0..10).all(|window| is_normal(start + window * 100_000)));
    (normal.expect("service is not normal again within 10 s") - from) / 1_000
}

/// Guards against a stampede when all engines are back at once after 8 s.
#[test]
fn service_is_soon_normal_when_all_engines_are_back() {
    for seed in 8..12 {
        let setup = |by_load| Setup { away_engines: 3, ..Setup::new(seed, by_load) };
        let [today, by_load] = [false, true].map(|by_load| time_to_normal(&run(setup(by_load)), AWAY_TO));
        println!("all back, seed {seed}: normal after {today} ms today, {by_load} ms by load");
        assert!(by_load <= 1_500, "{by_load} ms");
    }
}

/// Guards against rejections and crossings without need on an ordinary day.
#[test]
fn an_ordinary_day_has_no_rejections() {
    for per_second in [12.0, 360.0] {
        let setup = |by_load| Setup { per_second, away_engines: 0, ..Setup::new(13, by_load) };
        let (today, by_load) = (run(setup(false)), run(setup(true)));
        let ended = ends(&by_load, 0, u64::MAX);
        println!("{per_second} per second: today {:?}, by load {ended:?}", ends(&today, 0, u64::MAX));
        assert_eq!(by_load.rejections, 0);
        assert_eq!(by_load.count(End::InTime, 0, u64::MAX), ended.iter().sum::<usize>());
    }
}

/// Guards against slow phases of engines, of which relays hear late, that cost more than today: in time, late, rejected.
#[test]
fn slow_phases_of_engines_are_avoided() {
    for per_second in [360.0, 560.0] {
        let setup = |by_load| Setup { per_second, away_engines: 0, slow_phases: true, ..Setup::new(14, by_load) };
        let (today, by_load) = (run(setup(false)), run(setup(true)));
        let (before, after) = (ends(&today, 0, u64::MAX), ends(&by_load, 0, u64::MAX));
        println!("slow phases, {per_second} per second: today {before:?}, by load {after:?}");
        assert!(after[0] >= before[0], "{before:?} {after:?}");
        assert_eq!(by_load.wrong_rejections, 0);
    }
}
