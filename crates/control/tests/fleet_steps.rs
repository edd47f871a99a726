//! What an event costs does not grow with the fleet: looks at members and bytes, counted in the product's own tables at
//! 1,000, 10,000 and 20,000 engines. A cost that is a product of members and events turns a test red.

use saddlerelay_control::instance_watch::InstanceWatch;
use saddlerelay_control::state::engine_subset::RelayPlace;
use saddlerelay_control::state::instances::InstanceTable;
use saddlerelay_runtime::steps::looks_of;
use saddlerelay_types::instance::{InstanceHeartbeat, InstanceId, InstanceReport, InstanceState};
use std::time::Duration;

const SIZES: [usize; 3] = [1_000, 10_000, 20_000];
const RELAYS: [usize; 3] = [100, 1_000, 2_000];
const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];
const SILENCE: Duration = Duration::from_millis(15_400);

/// Looks that any of these events may take, whatever the size.
const MOST_LOOKS: u64 = 8;

/// Engines that a relay is told of at most, whatever the size: shares go in steps of four, so this is what they allow of
/// one zone of its own and four others, twice.
const MOST_TOLD: usize = 2 * (128 + 4 * 32);

/// Bytes of the first answer to a relay at most.
const MOST_BYTES: usize = 64 * 1024;

fn report(number: usize, sequence: u64) -> InstanceReport {
    // One in 25 belongs to the service that callers' pages come from.
    let service = if number.is_multiple_of(25) { "pages" } else { "models" };
    InstanceReport {
        id: InstanceId::named(format!("engine-{number}")),
        service: service.to_string(),
        address: ([10, (number >> 16) as u8, (number >> 8) as u8, number as u8], 8_000).into(),
        zone: ZONES[(number + number / 25) % ZONES.len()].to_string(),
        slots: 6,
        leaving: false,
        models: Vec::new(),
        sequence,
    }
}

fn table(engines: usize) -> InstanceTable {
    let mut table = InstanceTable::default();
    (0..engines).for_each(|number| table.take_report(report(number, 1)));
    table
}

fn relays(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("relay-{number}")).collect()
}

fn place(name: &str) -> RelayPlace<'_> {
    RelayPlace::new(name, ZONES[usize::from(name.as_bytes()[name.len() - 1]) % ZONES.len()])
}

#[test]
fn a_report_costs_the_same_among_any_number_of_engines() {
    for engines in SIZES {
        let mut table = table(engines);
        let mut watch = InstanceWatch::default();
        watch.follow_term(1);
        let heartbeat = report(7, 2);
        let (looks, is_news) = looks_of(|| {
            watch.hear(&heartbeat, Duration::from_secs(1));
            table.is_news(&heartbeat)
        });
        assert!(!is_news && looks <= MOST_LOOKS, "{looks} looks for a report among {engines}");
        let again = InstanceHeartbeat { id: heartbeat.id.clone(), sequence: 3 };
        let (looks, ()) = looks_of(|| watch.hear_again(&again, Duration::from_secs(2)));
        assert!(looks <= MOST_LOOKS, "{looks} looks for a heartbeat among {engines}");
        let (looks, ()) = looks_of(|| table.take_report(report(engines + 1, 1)));
        assert!(looks <= MOST_LOOKS, "{looks} looks for a registration among {engines}");
        let (looks, ()) = looks_of(|| table.take_report(InstanceReport { leaving: true, ..report(7, 3) }));
        assert!(looks <= MOST_LOOKS, "{looks} looks for a leaving among {engines}");
        let replaced = InstanceReport { id: InstanceId::named("new"), ..report(8, 1) };
        let (looks, ()) = looks_of(|| table.take_report(replaced));
        assert!(looks <= MOST_LOOKS, "{looks} looks for one at an old address among {engines}");
        assert_eq!(table.get(&InstanceId::named("engine-8")).map(|held| held.state), Some(InstanceState::Gone));
    }
}

#[test]
fn a_look_for_silent_engines_looks_at_those_that_are_due() {
    for engines in SIZES {
        let mut table = table(engines);
        let mut watch = InstanceWatch::default();
        watch.follow_term(1);
        let at = Duration::from_secs;
        let first = watch.silence_changes(&table, at(0), SILENCE);
        assert!(first.is_empty(), "nobody falls silent at once");
        (0..engines).filter(|number| number % 100 != 3).for_each(|number| watch.hear(&report(number, 2), at(10)));
        let (looks, changes) = looks_of(|| watch.silence_changes(&table, at(14), SILENCE));
        assert!(changes.is_empty() && looks <= MOST_LOOKS, "{looks} looks for nothing among {engines}");
        let (looks, changes) = looks_of(|| watch.silence_changes(&table, at(16), SILENCE));
        assert_eq!(changes.silent.len(), engines / 100);
        assert!(looks <= MOST_LOOKS, "{looks} looks among {engines}");
        table.note_silence(&changes.silent, &changes.heard);
        let after = watch.silence_changes(&table, at(17), SILENCE);
        assert!(after.is_empty(), "what is noted is not noted again");
        watch.hear(&report(3, 9), at(18));
        let again = watch.silence_changes(&table, at(18), SILENCE);
        assert_eq!((again.silent.len(), again.heard), (0, vec![InstanceId::named("engine-3")]));
    }
}

#[test]
fn a_relays_question_costs_what_has_changed_for_it() {
    for engines in SIZES {
        let mut table = table(engines);
        let held = table.revision();
        for name in relays(RELAYS[2]) {
            let (looks, news) = looks_of(|| table.news_for(place(&name), held));
            assert!(news.records.is_empty() && !news.whole);
            assert_eq!(looks, 0, "a question without news looks at {looks} of {engines} engines");
        }
        table.take_report(InstanceReport { leaving: true, ..report(7, 3) });
        for count in RELAYS {
            let (looks, told) = looks_of(|| {
                let told =
                    relays(count).into_iter().filter(|name| !table.news_for(place(name), held).records.is_empty());
                told.count()
            });
            assert_eq!(looks, count as u64, "{count} relays looked at {looks} for one change");
            assert!(told < count, "a change of one engine is told to those that know it: {told} of {count}");
        }
    }
}

#[test]
fn a_relay_is_told_of_some_engines_of_each_place_and_of_no_more_in_a_larger_fleet() {
    for engines in SIZES {
        let table = table(engines);
        let mut told_of = std::collections::BTreeMap::<InstanceId, u32>::new();
        for name in relays(RELAYS[1]) {
            let relay = place(&name);
            let (looks, news) = looks_of(|| table.news_for(relay, 0));
            assert!(news.whole && looks == news.records.len() as u64);
            assert!(news.records.len() <= MOST_TOLD, "{} of {engines} are told", news.records.len());
            let bytes = bitcode::encode(&news).len();
            assert!(bytes <= MOST_BYTES, "{bytes} bytes of {engines} engines");
            for service in ["pages", "models"] {
                let near = |zone: &str| {
                    let of = |report: &InstanceReport| report.service == service && report.zone == zone;
                    news.records.iter().filter(|record| of(&record.report)).count()
                };
                assert!(near(relay.zone) >= 8, "{} of its own zone for {service}", near(relay.zone));
                assert!(ZONES.iter().all(|zone| near(zone) >= 2), "some of each zone for {service}");
            }
            news.records.into_iter().for_each(|record| *told_of.entry(record.report.id).or_default() += 1);
        }
        assert!(told_of.len() * 100 >= engines * 99, "{} of {engines} engines are known to somebody", told_of.len());
    }
}

/// The share changes with the size of a place, in steps, and is told whole then.
#[test]
fn a_relay_is_told_anew_when_a_place_has_grown_or_shrunk_much() {
    let mut table = table(150);
    let relay = place("relay-1");
    let held = table.revision();
    assert_eq!(table.news_for(relay, 0).records.len(), 150, "all of a few");
    (150..3_000).for_each(|number| table.take_report(report(number, 1)));
    let grown = table.news_for(relay, held);
    assert!(grown.whole && grown.records.len() < 500, "{}", grown.records.len());
    let held = grown.revision;
    (50..3_000).for_each(|number| table.remove(&InstanceId::named(format!("engine-{number}"))));
    let shrunk = table.news_for(relay, held);
    assert!(shrunk.whole && shrunk.records.len() == 50, "{}", shrunk.records.len());
    assert!(table.news_for(relay, shrunk.revision + 5).whole, "one that knows of the future is told anew");
}

/// What is kept beside the records agrees with them, whatever comes.
#[test]
fn what_is_found_without_a_look_at_all_agrees_with_a_look_at_all() {
    for seed in 0..20 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut table = InstanceTable::default();
        for sequence in 0..2_000 {
            let number = random.usize(..60);
            let id = InstanceId::named(format!("engine-{number}"));
            match random.u32(..10) {
                0 => table.remove(&id),
                1 => table.take_report(InstanceReport { leaving: true, ..report(number, sequence) }),
                2 => table.note_silence(std::slice::from_ref(&id), &[]),
                3 => table.note_silence(&[], std::slice::from_ref(&id)),
                4 => {
                    let id = InstanceId::named(format!("engine-{number}-{sequence}"));
                    table.take_report(InstanceReport { id, ..report(number, 1) });
                }
                _ => table.take_report(report(number, sequence)),
            }
        }
        let silent: Vec<_> = table.iter().filter(|record| record.silent).map(|record| &record.report.id).collect();
        assert_eq!(table.silent().iter().collect::<Vec<_>>(), silent);
        let mut addresses = std::collections::BTreeSet::new();
        for record in table.iter().filter(|record| record.state != InstanceState::Gone) {
            assert!(addresses.insert(record.report.address), "two at {}", record.report.address);
        }
        for place in table.places() {
            let here = |record: &&saddlerelay_types::instance::InstanceRecord| {
                record.report.service == place.service && record.report.zone == place.zone
            };
            let there = table.iter().filter(here).filter(|record| record.state != InstanceState::Gone).count();
            assert_eq!(table.engines_in(place).count(), there);
            let present = table.iter().filter(here);
            let present = present.filter(|record| record.state == InstanceState::Ready && !record.silent).count();
            assert_eq!(table.present(place) as usize, present);
        }
    }
}
