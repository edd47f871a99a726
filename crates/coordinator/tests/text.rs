//! Item texts: growth, partial saves, and restoring.

use quickcheck::QuickCheck;
use saddlerelay_coordinator::text::{ItemText, aborted_outcome};
use saddlerelay_types::job::{ItemEnd, PartialText};
use saddlerelay_upstream::events::{Event, EventParser};

fn event(number: u64, data: &str) -> Event {
    Event { id: Some(number), data: data.into(), extra_value: None, raw: Vec::new() }
}

#[test]
fn events_are_joined_by_line_feeds_and_versions_are_recorded() {
    let mut text = ItemText::default();
    text.push(&event(1, "one"), 6);
    text.push(&event(2, "two"), 7);
    let outcome = text.outcome(3, None);
    assert_eq!(
        (outcome.end, outcome.remaining_text.item, &outcome.remaining_text.data[..]),
        (ItemEnd::Completed, 3, &b"one\ntwo"[..])
    );
    assert_eq!((outcome.remaining_text.versions, text.last_event), (vec![6, 7], Some(2)));
    assert!(text.satisfies(6, false) && !text.satisfies(7, false) && !text.satisfies(6, true));
}

#[test]
fn an_aborted_item_has_no_text() {
    let outcome = aborted_outcome(4);
    assert_eq!((outcome.end, outcome.remaining_text.item, outcome.remaining_text.data.len()), (ItemEnd::Aborted, 4, 0));
}

/// Whenever parts are saved and whichever acknowledgements are lost, the group reassembles the full text.
#[test]
fn saved_parts_and_the_rest_make_up_the_text() {
    fn check(steps: Vec<(u8, bool, bool)>) -> bool {
        let mut text = ItemText::default();
        let mut group_text = PartialText::default();
        for (index, (data, keep, acknowledged)) in steps.iter().enumerate() {
            text.push(&event(index as u64 + 1, &"x".repeat(usize::from(data % 5))), 1);
            if *keep {
                let part = text.unsaved_part(0);
                if !group_text.add(&part) {
                    return false;
                }
                // Without an acknowledgement, the group has saved the part but the leader does not know it.
                if *acknowledged {
                    text.mark_saved(&part);
                }
            }
        }
        let mut expected = ItemText::default();
        for (index, (data, ..)) in steps.iter().enumerate() {
            expected.push(&event(index as u64 + 1, &"x".repeat(usize::from(data % 5))), 1);
        }
        group_text.add(&text.outcome(0, None).remaining_text)
            && group_text.data == expected.outcome(0, None).remaining_text.data
    }
    QuickCheck::new().tests(500).quickcheck(check as fn(Vec<(u8, bool, bool)>) -> bool);
}

/// The same events must result however the stream's bytes are split.
#[test]
fn events_do_not_depend_on_how_the_stream_is_split() {
    fn check(cuts: Vec<u8>) -> bool {
        let stream =
            b"version: 7\nid: 1\ndata: one\n\nid: 2\ndata: two\ndata: lines\n\r\n\r\nid: 3\r\ndata: three\r\n\r\n";
        let read = |pieces: Vec<&[u8]>| {
            let mut parser = EventParser::new("Version");
            let mut events = Vec::new();
            for piece in pieces {
                parser.push(piece);
                while let Some(event) = parser.next_event().expect("an event is too long") {
                    events.push((event.id, event.data, event.extra_value));
                }
            }
            (events, parser.is_mid_event())
        };
        let mut pieces: Vec<&[u8]> = Vec::new();
        let mut remaining: &[u8] = stream;
        for cut in cuts {
            let (piece, after) = remaining.split_at(usize::from(cut % 9).min(remaining.len()));
            pieces.push(piece);
            remaining = after;
        }
        pieces.push(remaining);
        let expected = read(vec![&stream[..]]);
        expected.0.len() >= 3 && read(pieces) == expected
    }
    QuickCheck::new().tests(500).quickcheck(check as fn(Vec<u8>) -> bool);
}

#[test]
fn a_complete_saved_text_is_complete_for_the_next_leader() {
    let mut text = ItemText::default();
    text.push(&event(1, "one"), 1);
    let mut group_text = PartialText::default();
    assert!(!text.is_completion_unsaved());
    text.complete();
    assert!(text.is_completion_unsaved());
    let part = text.unsaved_part(0);
    assert!(group_text.add(&part));
    text.mark_saved(&part);
    assert!(!text.is_completion_unsaved());
    let restored = ItemText::restored(&group_text);
    assert!(restored.is_complete() && !restored.is_completion_unsaved());
    assert!(ItemText::copied(&group_text).is_completion_unsaved(), "nothing is saved yet for the item of another job");
    let outcome = restored.outcome(0, Some("stamp".to_string()));
    assert_eq!((outcome.remaining_text.data.len(), outcome.score.as_deref()), (0, Some("stamp")));
}
