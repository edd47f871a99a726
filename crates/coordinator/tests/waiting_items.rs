//! Which engines load a newer version while items wait.

use quickcheck::{Gen, QuickCheck};
use saddlerelay_coordinator::waiting_items::{LoadReason, VersionRequirement, WaitingItems, load_reason};

fn requirement(minimum: u64) -> VersionRequirement {
    VersionRequirement { minimum, text_version: None }
}

fn waiting(requirements: &[(VersionRequirement, bool)]) -> WaitingItems {
    let mut waiting = WaitingItems::default();
    for (requirement, has_engine) in requirements {
        waiting.add(*requirement, *has_engine);
    }
    waiting
}

#[test]
fn an_engine_one_version_behind_stays_available_to_items_that_it_may_run() {
    let items = waiting(&[(requirement(4), true)]);
    assert_eq!(load_reason(4, 5, &items), None);
    assert_eq!(load_reason(3, 5, &items), Some(LoadReason::TooOld));
    assert_eq!(load_reason(5, 5, &items), None);
    assert_eq!(load_reason(4, 5, &WaitingItems::default()), Some(LoadReason::NoItemWaits));
}

/// Guards against idle engines that are held back in favor of items that they can't run (review/6).
#[test]
fn an_engine_that_no_waiting_item_may_run_on_loads_although_another_has_the_version() {
    let items = waiting(&[(requirement(5), true)]);
    assert_eq!(load_reason(4, 5, &items), Some(LoadReason::CannotServeWaiting));
}

#[test]
fn an_engine_that_only_older_texts_may_continue_on_stays_available_to_them() {
    let continued = VersionRequirement { minimum: 4, text_version: Some(4) };
    assert_eq!(load_reason(4, 5, &waiting(&[(continued, true), (requirement(5), true)])), None);
    let continued_elsewhere = VersionRequirement { minimum: 4, text_version: Some(5) };
    assert_eq!(load_reason(4, 5, &waiting(&[(continued_elsewhere, true)])), Some(LoadReason::CannotServeWaiting));
}

#[test]
fn engines_load_a_version_that_items_await_and_no_engine_has() {
    let items = waiting(&[(requirement(4), true), (requirement(5), false)]);
    assert_eq!(load_reason(4, 5, &items), Some(LoadReason::VersionAwaited));
}

/// Steps after which a fleet without failures has no engine left to load.
const MAX_STEPS: usize = 40;

/// Guards against any fleet, jobs and texts in which an item waits although an engine is idle and could load a version
/// with which the item may run.
#[test]
fn no_item_waits_while_an_idle_engine_could_be_made_able_to_run_it() {
    fn check(versions: Vec<u8>, items: Vec<(u8, bool)>, published: u8) -> bool {
        let published = 2 + u64::from(published % 4);
        let mut engines: Vec<u64> = versions.iter().map(|version| 1 + u64::from(*version) % published).collect();
        // A text can only have a version that some engine has; see the coordinator's discarding of texts for others.
        let text_version = |version: u64| engines.contains(&version).then_some(version);
        let requirements = items.iter().map(|(minimum, single_version)| {
            let minimum = 1 + u64::from(*minimum) % published;
            VersionRequirement { minimum, text_version: text_version(minimum).filter(|_| *single_version) }
        });
        let requirements: Vec<VersionRequirement> = requirements.collect();
        for _ in 0..MAX_STEPS {
            // All engines are full with items that they may run, except those that may run none.
            let mut waiting = WaitingItems::default();
            for requirement in &requirements {
                waiting.add(*requirement, engines.iter().any(|version| *version >= requirement.minimum));
            }
            let due = engines.iter().position(|version| load_reason(*version, published, &waiting).is_some());
            match due {
                Some(engine) => engines[engine] = published,
                None => break,
            }
        }
        let runs_nothing = |version: &u64| !requirements.iter().any(|requirement| requirement.accepts(*version));
        let could_help = |version: &u64| runs_nothing(version) && *version < published;
        !engines.iter().any(could_help)
    }
    let check = check as fn(Vec<u8>, Vec<(u8, bool)>, u8) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(12, 6)).tests(500).quickcheck(check);
}
