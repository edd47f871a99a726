//! When a partial text is discarded on a route with a single version per text.

use quickcheck::{Gen, QuickCheck};
use saddlerelay_coordinator::stranded_texts::{DiscardReason, Engines, PartialText, discard_reason};
use std::time::Duration;

fn text(waited_ms: u64) -> PartialText {
    PartialText { versions: 1, generation_time: Duration::from_millis(1_500), waited: Duration::from_millis(waited_ms) }
}

/// Guards against an item that waits for a version that no engine has any more (review/5).
#[test]
fn a_text_whose_version_no_engine_has_is_discarded_at_once() {
    let engines = Engines { may_continue: 0, eligible: 3, free_with_other_version: 0 };
    assert_eq!(discard_reason(&text(0), &engines), Some(DiscardReason::NoEngineWithVersion));
}

/// Guards against work lost although an engine comes back with it while no other could start over anyway.
#[test]
fn a_text_is_kept_while_no_engine_could_generate_it_again() {
    assert_eq!(discard_reason(&text(60_000), &Engines::default()), None);
}

#[test]
fn a_text_waits_for_an_engine_with_its_version_no_longer_than_it_takes_to_generate_it() {
    let engines = Engines { may_continue: 1, eligible: 3, free_with_other_version: 2 };
    assert_eq!(discard_reason(&text(1_499), &engines), None);
    assert_eq!(discard_reason(&text(1_500), &engines), Some(DiscardReason::WaitedTooLong));
    let others_are_full = Engines { free_with_other_version: 0, ..engines };
    assert_eq!(discard_reason(&text(60_000), &others_are_full), None);
}

#[test]
fn a_text_of_several_versions_is_discarded_on_a_route_that_allows_one() {
    let engines = Engines { may_continue: 2, eligible: 2, free_with_other_version: 1 };
    let mixed = PartialText { versions: 2, ..text(0) };
    assert_eq!(discard_reason(&mixed, &engines), Some(DiscardReason::SeveralVersions));
}

/// Guards against any text that is kept for more than two seconds while an engine is free to generate it again.
#[test]
fn no_text_keeps_its_item_waiting_while_another_engine_is_free() {
    fn check(may_continue: u8, others: u8, generation_ms: u16, waited_ms: u16) -> bool {
        let others = usize::from(others % 4);
        let may_continue = usize::from(may_continue % 3);
        let engines = Engines { may_continue, eligible: may_continue + others, free_with_other_version: others };
        let generation_time = Duration::from_millis(u64::from(generation_ms));
        let waited = Duration::from_millis(u64::from(waited_ms));
        let is_kept = discard_reason(&PartialText { versions: 1, generation_time, waited }, &engines).is_none();
        let must_wait = others == 0 || may_continue > 0 && waited < generation_time.min(Duration::from_secs(2));
        is_kept == must_wait
    }
    let check = check as fn(u8, u8, u16, u16) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(10_000, 5)).tests(1_000).quickcheck(check);
}
