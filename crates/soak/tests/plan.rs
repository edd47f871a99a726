//! The faults of a seed are the same every time, and all kinds come up.

use saddlerelay_soak_runner::command_line::{Options, read_seeds};
use saddlerelay_soak_runner::plan::{Fault, Planned, draw};
use std::ffi::OsString;
use std::time::Duration;

const LENGTH: Duration = Duration::from_secs(600);

#[test]
fn a_seed_always_has_the_same_faults_in_order_within_its_length() {
    let planned = draw(7, LENGTH);
    assert_eq!(planned, draw(7, LENGTH));
    assert_ne!(planned, draw(8, LENGTH));
    assert!(planned.is_sorted_by_key(|planned| planned.at));
    assert!(planned.iter().all(|planned| planned.at < LENGTH));
}

#[test]
fn a_longer_soak_begins_like_a_shorter_one() {
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

fn parse(arguments: &[&str]) -> anyhow::Result<Options> {
    Options::parse(arguments.iter().map(OsString::from).collect())
}

#[test]
fn the_command_line_names_seeds_and_length() {
    let options = parse(&["--seeds", "3..5", "--seed", "9", "--length", "12", "--keep"]).expect("it is right");
    assert_eq!(options, Options { seeds: vec![3, 4, 9], length: Duration::from_secs(12), keep: true });
    assert_eq!(parse(&["--count", "4"]).expect("it is right").seeds.len(), 4);
    assert_eq!(parse(&[]).expect("it is right").seeds.len(), 1, "a fresh seed");
    for wrong in [&["--seeds", "5..5"][..], &["--seeds", "x"], &["--length", "soon"], &["--other"]] {
        assert!(parse(wrong).is_err(), "{wrong:?}");
    }
}

#[test]
fn a_list_of_seeds_has_a_seed_and_its_cause_on_each_line() {
    let file = std::env::temp_dir().join(format!("saddlerelay-seeds-{}", std::process::id()));
    std::fs::write(&file, "# comment\n\n14  the cause\n15\n").expect("a file");
    assert_eq!(read_seeds(&file).expect("a list"), [14, 15]);
    std::fs::write(&file, "cause 14\n").expect("a file");
    assert!(read_seeds(&file).is_err());
    std::fs::remove_file(&file).expect("it is there");
}
