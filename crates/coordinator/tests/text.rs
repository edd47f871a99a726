//! Texts that grow, are kept in part, go on and begin anew.

use quickcheck::QuickCheck;
use saddlerelay_coordinator::text::{ItemText, aborted};
use saddlerelay_types::job::{ItemEnd, PartialText};
use saddlerelay_upstream::events::{Event, EventCutter};

fn event(number: u64, data: &str) -> Event {
    Event { id: Some(number), data: data.into(), noted: None, raw: Vec::new() }
}

#[test]
fn events_are_parted_by_line_feeds_and_versions_noted() {
    let mut text = ItemText::default();
    text.push(&event(1, "one"), 6);
    text.push(&event(2, "two"), 7);
    let outcome = text.outcome(3, None);
    assert_eq!((outcome.end, outcome.rest.item, &outcome.rest.data[..]), (ItemEnd::Completed, 3, &b"one\ntwo"[..]));
    assert_eq!((outcome.rest.versions, text.last_event), (vec![6, 7], Some(2)));
    assert!(text.fits(6, false) && !text.fits(7, false) && !text.fits(6, true));
}

#[test]
fn an_item_that_is_given_up_has_no_text() {
    let outcome = aborted(4);
    assert_eq!((outcome.end, outcome.rest.item, outcome.rest.data.len()), (ItemEnd::Aborted, 4, 0));
}

/// Whenever parts are kept and whichever of them are lost on the way, what the group puts together is the text.
#[test]
fn kept_parts_make_the_whole() {
    fn check(steps: Vec<(u8, bool, bool)>) -> bool {
        let mut text = ItemText::default();
        let mut held = PartialText::default();
        for (index, (data, keep, answered)) in steps.iter().enumerate() {
            text.push(&event(index as u64 + 1, &"x".repeat(usize::from(data % 5))), 1);
            if *keep {
                let part = text.unsaved_part(0);
                if !held.add(&part) {
                    return false;
                }
                // A lost answer: the group holds the part, the leader does not know.
                if *answered {
                    text.mark_saved(&part);
                }
            }
        }
        let mut whole = ItemText::default();
        for (index, (data, ..)) in steps.iter().enumerate() {
            whole.push(&event(index as u64 + 1, &"x".repeat(usize::from(data % 5))), 1);
        }
        held.add(&text.outcome(0, None).rest) && held.data == whole.outcome(0, None).rest.data
    }
    QuickCheck::new().tests(500).quickcheck(check as fn(Vec<(u8, bool, bool)>) -> bool);
}

/// However the bytes of a stream are cut on their way, its events are the same.
#[test]
fn events_do_not_depend_on_how_bytes_arrive() {
    fn check(cuts: Vec<u8>) -> bool {
        let stream =
            b"version: 7\nid: 1\ndata: one\n\nid: 2\ndata: two\ndata: lines\n\r\n\r\nid: 3\r\ndata: three\r\n\r\n";
        let read = |pieces: Vec<&[u8]>| {
            let mut cutter = EventCutter::new("Version");
            let mut events = Vec::new();
            for piece in pieces {
                cutter.push(piece);
                while let Some(event) = cutter.next_event() {
                    events.push((event.id, event.data, event.noted));
                }
            }
            (events, cutter.is_mid_event())
        };
        let mut pieces: Vec<&[u8]> = Vec::new();
        let mut rest: &[u8] = stream;
        for cut in cuts {
            let (piece, after) = rest.split_at(usize::from(cut % 9).min(rest.len()));
            pieces.push(piece);
            rest = after;
        }
        pieces.push(rest);
        let whole = read(vec![&stream[..]]);
        whole.0.len() >= 3 && read(pieces) == whole
    }
    QuickCheck::new().tests(500).quickcheck(check as fn(Vec<u8>) -> bool);
}

#[test]
fn a_whole_text_that_the_group_keeps_is_whole_for_the_next_leader() {
    let mut text = ItemText::default();
    text.push(&event(1, "one"), 1);
    let mut held = PartialText::default();
    assert!(!text.is_unsaved_as_whole());
    text.complete();
    assert!(text.is_unsaved_as_whole());
    let part = text.unsaved_part(0);
    assert!(held.add(&part));
    text.mark_saved(&part);
    assert!(!text.is_unsaved_as_whole());
    let taken_up = ItemText::saved(&held);
    assert!(taken_up.is_complete() && !taken_up.is_unsaved_as_whole());
    assert!(ItemText::unsaved(&held).is_unsaved_as_whole(), "another job's item does not hold it yet");
    let outcome = taken_up.outcome(0, Some("stamp".to_string()));
    assert_eq!((outcome.rest.data.len(), outcome.score.as_deref()), (0, Some("stamp")));
}
