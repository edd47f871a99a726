//! Fault plans are deterministic per seed, and every kind of fault occurs.

use saddlerelay_soak_runner::case::Case;
use saddlerelay_soak_runner::command_line::{Options, read_cases};
use saddlerelay_soak_runner::deployment::Size;
use saddlerelay_soak_runner::links::Party;
use saddlerelay_soak_runner::plan::{End, Fault, LeaderFault, Overlap, Planned, draw as draw_case};
use saddlerelay_soak_runner::trainer::StepShape;
use saddlerelay_soak_runner::waits::{ITEM_WAIT_BOUND, QUIET_PERIOD};
use std::ffi::OsString;
use std::time::Duration;

const LENGTH: Duration = Duration::from_secs(600);

const KINDS: [&str; 4] = ["single", "overlapping", "replaced", "paired"];

fn case(text: &str) -> Case {
    text.parse().expect("the case is valid")
}

fn draw_kind(kind: &str, seed: u64, length: Duration) -> Vec<Planned> {
    draw_case(case(&format!("{kind}:{seed}")), length)
}

fn draw(seed: u64, length: Duration) -> Vec<Planned> {
    draw_kind("single", seed, length)
}

#[test]
fn a_seed_has_deterministic_faults_in_order_within_its_length() {
    let planned = draw(7, LENGTH);
    assert_eq!(planned, draw(7, LENGTH));
    assert_ne!(planned, draw(8, LENGTH));
    assert!(planned.is_sorted_by_key(|planned| planned.at));
    assert!(planned.iter().all(|planned| planned.at < LENGTH));
}

#[test]
fn a_lossy_plan_kills_all_coordinators_before_or_after_the_leadership_change() {
    let zone = |seed: u64| {
        let planned = draw_kind("lossy", seed, LENGTH);
        assert_eq!(planned, draw_kind("lossy", seed, LENGTH));
        match planned.as_slice() {
            [Planned { fault: Fault::LossyZone(zone), .. }] => *zone,
            other => panic!("{other:?}"),
        }
    };
    let zones: Vec<_> = (0..20).map(zone).collect();
    assert!(zones.iter().any(|zone| zone.killed_after_handover));
    assert!(zones.iter().any(|zone| !zone.killed_after_handover));
    // The other coordinator of the zone is never the leader itself.
    assert!(zones.iter().all(|zone| (1..7).contains(&zone.companion)));
}

#[test]
fn the_plan_of_a_shorter_soak_is_a_prefix_of_a_longer_one() {
    let short = draw(7, LENGTH / 4);
    assert_eq!(short, draw(7, LENGTH)[..short.len()]);
}

#[test]
fn every_kind_of_fault_is_drawn() {
    let kinds: [fn(&Fault) -> bool; 9] = [
        |fault| matches!(fault, Fault::Restart { .. }),
        |fault| matches!(fault, Fault::KillAll { .. }),
        |fault| matches!(fault, Fault::Freeze { .. }),
        |fault| matches!(fault, Fault::Cut { .. }),
        |fault| matches!(fault, Fault::RefuseWrites { .. }),
        |fault| matches!(fault, Fault::CrashEngine { .. }),
        |fault| matches!(fault, Fault::ReplaceEngine { .. }),
        |fault| matches!(fault, Fault::Misconduct { .. }),
        |fault| matches!(fault, Fault::LateOrders { .. }),
    ];
    let planned: Vec<Planned> = (0..10).flat_map(|seed| draw(seed, LENGTH)).collect();
    for kind in kinds {
        assert!(planned.iter().any(|planned| kind(&planned.fault)));
    }
}

#[test]
fn every_kind_of_plan_is_deterministic() {
    for kind in KINDS {
        let planned = draw_kind(kind, 7, LENGTH);
        assert_eq!(planned, draw_kind(kind, 7, LENGTH), "{kind}");
        assert_ne!(planned, draw_kind(kind, 8, LENGTH), "{kind}");
        assert!(planned.is_sorted_by_key(|planned| planned.at), "{kind}");
    }
}

#[test]
fn overlapping_faults_are_added_to_the_others() {
    let single = draw(7, LENGTH);
    let mut overlapping = draw_kind("overlapping", 7, LENGTH);
    overlapping.retain(|planned| !matches!(planned.fault, Fault::Series { .. } | Fault::Suspend { .. }));
    assert_eq!(overlapping, single);
}

#[test]
fn every_overlap_and_suspension_is_drawn() {
    let planned: Vec<Planned> = (0..10).flat_map(|seed| draw_kind("overlapping", seed, LENGTH)).collect();
    let rounds = planned.iter().filter_map(|planned| match &planned.fault {
        Fault::Series { rounds, .. } => Some(rounds),
        _ => None,
    });
    let overlaps: Vec<Overlap> = rounds.clone().flatten().map(|round| round.overlap).collect();
    for overlap in [
        Overlap::StopDuringReload,
        Overlap::StopTwice,
        Overlap::ReloadWhileStopping,
        Overlap::KillWhileStopping,
        Overlap::RestartUnderOldConnections,
    ] {
        assert!(overlaps.contains(&overlap), "{overlap:?}");
    }
    assert!(rounds.clone().any(|rounds| rounds.len() > 1), "no series has several rounds");
    let suspended: Vec<usize> = planned
        .iter()
        .filter_map(|planned| match &planned.fault {
            Fault::Suspend { parties, time } => {
                assert!(
                    *time > saddlerelay_soak_runner::deployment::ORDER_LEASE,
                    "the suspension is shorter than a lease"
                );
                Some(parties.len())
            }
            _ => None,
        })
        .collect();
    assert!(
        suspended.contains(&1) && suspended.contains(&3),
        "one process and all processes of a role are not both suspended"
    );
}

#[test]
fn the_members_are_replaced_at_the_end() {
    let planned = draw_kind("replaced", 7, LENGTH);
    let replaced = planned.iter().filter(|planned| planned.fault == Fault::ReplaceMembers);
    assert_eq!(replaced.count(), 1);
    assert_eq!(planned.last().map(|planned| &planned.fault), Some(&Fault::ReplaceMembers));
    let size = case("replaced:7").size;
    assert!(
        size.coordinators > 2 * Size::SMALL.coordinators,
        "too few coordinators for replacement voters and a learner"
    );
}

/// Whether a fault hits a process that holds state.
fn is_fault_of_stateful_process(fault: &Fault) -> bool {
    matches!(fault, Fault::HarmLeader(_) | Fault::KillAll { .. } | Fault::Restart { .. })
}

/// The duration of a fault of a process that holds state.
fn duration_of(fault: &Fault) -> Duration {
    match fault {
        Fault::KillAll { down } | Fault::Restart { down, .. } => *down,
        Fault::HarmLeader(
            LeaderFault::Kill(time)
            | LeaderFault::Freeze(time)
            | LeaderFault::CutFromProcesses(time)
            | LeaderFault::CutFromAll(time)
            | LeaderFault::RefuseWrites(time),
        ) => *time,
        other => panic!("{other:?}"),
    }
}

/// The pairs of a seed: engine faults, and the subsequent fault of a process that holds state.
fn pairs(seed: u64, length: Duration) -> Vec<(Vec<Planned>, Planned)> {
    let mut pairs = Vec::new();
    let mut engines = Vec::new();
    for planned in draw_kind("paired", seed, length) {
        if is_fault_of_stateful_process(&planned.fault) {
            pairs.push((std::mem::take(&mut engines), planned));
        } else {
            engines.push(planned);
        }
    }
    assert!(engines.is_empty(), "an engine fault has no second fault");
    pairs
}

#[test]
fn an_engine_fault_is_followed_by_a_stateful_process_fault_and_a_quiet_period() {
    for seed in 0..20 {
        let pairs = pairs(seed, LENGTH);
        assert!(pairs.len() > 30, "only {} pairs", pairs.len());
        for (engines, stateful) in &pairs {
            assert!((2..=3).contains(&engines.len()), "{engines:?}");
            assert!(engines.iter().all(|fault| fault.at == engines[0].at));
            let gap = stateful.at - engines[0].at;
            assert!((Duration::from_millis(300)..=Duration::from_secs(3)).contains(&gap), "{gap:?}");
        }
        for pair in pairs.windows(2) {
            let (stateful, next) = (&pair[0].1, &pair[1].0[0]);
            assert!(next.at - stateful.at > duration_of(&stateful.fault) + QUIET_PERIOD + ITEM_WAIT_BOUND);
        }
    }
}

#[test]
fn a_short_paired_plan_has_a_pair_and_is_a_prefix_of_a_longer_one() {
    for seed in 0..20 {
        let (short, long) = (Duration::from_secs(15), Duration::from_secs(60));
        let planned = draw_kind("paired", seed, short);
        assert!(!planned.is_empty());
        assert_eq!(planned, draw_kind("paired", seed, long)[..planned.len()]);
    }
}

#[test]
fn every_fault_of_a_pair_is_drawn() {
    use saddlerelay_soak_runner::engine::EngineBehavior;
    let kinds: [fn(&Fault) -> bool; 12] = [
        |fault| matches!(fault, Fault::CrashEngine { .. }),
        |fault| matches!(fault, Fault::EndEngine { .. }),
        |fault| matches!(fault, Fault::Misconduct { conduct: EngineBehavior::Hanging, .. }),
        |fault| matches!(fault, Fault::Misconduct { conduct: EngineBehavior::BreakingOff, .. }),
        |fault| matches!(fault, Fault::Cut { party: Party::Engine(_), .. }),
        |fault| matches!(fault, Fault::HarmLeader(LeaderFault::Kill(_))),
        |fault| matches!(fault, Fault::HarmLeader(LeaderFault::Freeze(_))),
        |fault| matches!(fault, Fault::HarmLeader(LeaderFault::CutFromProcesses(_))),
        |fault| matches!(fault, Fault::HarmLeader(LeaderFault::CutFromAll(_))),
        |fault| matches!(fault, Fault::HarmLeader(LeaderFault::RefuseWrites(_))),
        |fault| matches!(fault, Fault::KillAll { .. }),
        |fault| matches!(fault, Fault::Restart { party: Party::Gateway(_), end: End::Kill, .. }),
    ];
    let planned: Vec<Planned> = (0..10).flat_map(|seed| draw_kind("paired", seed, LENGTH)).collect();
    for (number, kind) in kinds.into_iter().enumerate() {
        assert!(planned.iter().any(|planned| kind(&planned.fault)), "no fault of kind {number} was drawn");
    }
}

#[test]
fn a_case_round_trips_through_its_text() {
    for text in ["single:14", "overlapping:3", "replaced:8", "paired:4", "overlapping:3:20+60"] {
        assert_eq!(case(text).to_string(), text);
    }
    assert_eq!(case("14"), case("single:14"), "a case without a kind is single");
    for invalid in
        ["", "x", "other:3", "single:x", "single:3:2+3", "single:3:3+0", "single:3:31+3", "single:3:3", "a:b:c:d"]
    {
        assert!(invalid.parse::<Case>().is_err(), "{invalid}");
    }
}

fn parse(arguments: &[&str]) -> anyhow::Result<Options> {
    Options::parse(arguments.iter().map(OsString::from).collect())
}

#[test]
fn the_command_line_sets_cases_and_length() {
    let options =
        parse(&["--seeds", "3..5", "--seed", "9", "--length", "12", "--keep"]).expect("the options are valid");
    let cases = ["overlapping:3", "overlapping:4", "overlapping:9"].map(case).to_vec();
    assert_eq!(options, Options { cases, length: Duration::from_secs(12), keep: true, production: None });
    let options =
        parse(&["--seed", "9", "--plan", "replaced", "--case", "14", "--size", "9+2"]).expect("the options are valid");
    assert_eq!(options.cases, ["14", "replaced:9:9+2"].map(case));
    assert_eq!(parse(&["--count", "4"]).expect("the options are valid").cases.len(), 4);
    assert_eq!(parse(&[]).expect("the options are valid").cases.len(), 1, "a random seed");
    let invalid_arguments =
        [&["--seeds", "5..5"][..], &["--seeds", "x"], &["--length", "soon"], &["--other"], &["--plan", "x"]];
    for invalid in invalid_arguments {
        assert!(parse(invalid).is_err(), "{invalid:?}");
    }
}

#[test]
fn a_case_list_has_a_case_and_a_reason_on_each_line() {
    let file = std::env::temp_dir().join(format!("saddlerelay-seeds-{}", std::process::id()));
    std::fs::write(&file, "# comment\n\n14  the cause\nreplaced:15\n").expect("the file can be written");
    assert_eq!(read_cases(&file).expect("the case list is valid"), ["14", "replaced:15"].map(case));
    std::fs::write(&file, "cause 14\n").expect("the file can be written");
    assert!(read_cases(&file).is_err());
    std::fs::remove_file(&file).expect("the file can be removed");
}

#[test]
fn only_long_steps_have_crashing_items() {
    let crashing = |shape: StepShape| (0..9).filter(|step| shape.has_crashing_item(*step)).collect::<Vec<u64>>();
    assert_eq!(crashing(StepShape::LONG), [2, 5, 8]);
    assert!(crashing(StepShape::SHORT).is_empty());
    assert_eq!(case("paired:1").kind.step_shape(), StepShape::LONG);
    for kind in ["single:1", "overlapping:1", "replaced:1"] {
        assert_eq!(case(kind).kind.step_shape(), StepShape::SHORT, "{kind}");
    }
}
