//! The cost of reports, silence checks and relay updates, in table lookups and reply bytes, does not grow with the
//! number of engines.

use saddlerelay_control::instance_watch::InstanceWatch;
use saddlerelay_control::state::engine_subset::RelayLocation;
use saddlerelay_control::state::instances::InstanceTable;
use saddlerelay_runtime::steps::lookups_of;
use saddlerelay_types::instance::{InstanceHeartbeat, InstanceId, InstanceReport, InstanceState};
use std::time::Duration;

const SIZES: [usize; 3] = [1_000, 10_000, 20_000];
const RELAYS: [usize; 3] = [100, 1_000, 2_000];
const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];
const SILENCE_TIMEOUT: Duration = Duration::from_millis(15_400);

/// Maximum number of table lookups for a report, a heartbeat or a silence check.
const MAX_LOOKUPS: u64 = 8;

/// Maximum number of engines in a relay's subset: for two services, 128 in its own zone and 32 in each of four other
/// zones.
const MAX_SUBSET_ENGINES: usize = 2 * (128 + 4 * 32);

/// Maximum size in bytes of the first reply to a relay.
const MAX_FIRST_REPLY_BYTES: usize = 64 * 1024;

fn report(number: usize, sequence: u64) -> InstanceReport {
    // One in 25 engines belongs to the smaller service.
    let service = if number.is_multiple_of(25) { "pages" } else { "models" };
    InstanceReport {
        id: InstanceId::without_start_time(format!("engine-{number}")),
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
    (0..engines).for_each(|number| table.apply_report(report(number, 1)));
    table
}

fn relays(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("relay-{number}")).collect()
}

fn relay_location(name: &str) -> RelayLocation<'_> {
    RelayLocation::new(name, ZONES[usize::from(name.as_bytes()[name.len() - 1]) % ZONES.len()])
}

#[test]
fn cost_of_a_report_does_not_depend_on_the_number_of_engines() {
    for engines in SIZES {
        let mut table = table(engines);
        let mut watch = InstanceWatch::default();
        watch.reset_for_term(1);
        let heartbeat = report(7, 2);
        let (lookups, would_change) = lookups_of(|| {
            watch.record_report(&heartbeat, Duration::from_secs(1));
            table.would_change(&heartbeat)
        });
        assert!(!would_change && lookups <= MAX_LOOKUPS, "{lookups} lookups for a report among {engines}");
        let again = InstanceHeartbeat { id: heartbeat.id.clone(), sequence: 3 };
        let (lookups, ()) = lookups_of(|| watch.record_heartbeat(&again, Duration::from_secs(2)));
        assert!(lookups <= MAX_LOOKUPS, "{lookups} lookups for a heartbeat among {engines}");
        let (lookups, ()) = lookups_of(|| table.apply_report(report(engines + 1, 1)));
        assert!(lookups <= MAX_LOOKUPS, "{lookups} lookups for a registration among {engines}");
        let (lookups, ()) = lookups_of(|| table.apply_report(InstanceReport { leaving: true, ..report(7, 3) }));
        assert!(lookups <= MAX_LOOKUPS, "{lookups} lookups for a report of leaving among {engines}");
        let replaced = InstanceReport { id: InstanceId::without_start_time("new"), ..report(8, 1) };
        let (lookups, ()) = lookups_of(|| table.apply_report(replaced));
        assert!(lookups <= MAX_LOOKUPS, "{lookups} lookups for a new instance at a used address among {engines}");
        assert_eq!(
            table.get(&InstanceId::without_start_time("engine-8")).map(|record| record.state),
            Some(InstanceState::Gone)
        );
    }
}

#[test]
fn silence_check_examines_only_due_engines() {
    for engines in SIZES {
        let mut table = table(engines);
        let mut watch = InstanceWatch::default();
        watch.reset_for_term(1);
        let at = Duration::from_secs;
        let first = watch.silence_changes(&table, at(0), SILENCE_TIMEOUT);
        assert!(first.is_empty(), "no engine is silent at first");
        (0..engines)
            .filter(|number| number % 100 != 3)
            .for_each(|number| watch.record_report(&report(number, 2), at(10)));
        let (lookups, changes) = lookups_of(|| watch.silence_changes(&table, at(14), SILENCE_TIMEOUT));
        assert!(changes.is_empty() && lookups <= MAX_LOOKUPS, "{lookups} lookups without changes among {engines}");
        let (lookups, changes) = lookups_of(|| watch.silence_changes(&table, at(16), SILENCE_TIMEOUT));
        assert_eq!(changes.silent.len(), engines / 100);
        assert!(lookups <= MAX_LOOKUPS, "{lookups} lookups among {engines}");
        table.record_silence(&changes.silent, &changes.resumed);
        let after = watch.silence_changes(&table, at(17), SILENCE_TIMEOUT);
        assert!(after.is_empty(), "engines that are marked as silent should not be returned again");
        watch.record_report(&report(3, 9), at(18));
        let again = watch.silence_changes(&table, at(18), SILENCE_TIMEOUT);
        assert_eq!((again.silent.len(), again.resumed), (0, vec![InstanceId::without_start_time("engine-3")]));
    }
}

#[test]
fn cost_of_a_relay_update_depends_only_on_changes_in_its_subset() {
    for engines in SIZES {
        let mut table = table(engines);
        let known = table.revision();
        for name in relays(RELAYS[2]) {
            let (lookups, update) = lookups_of(|| table.changes_for_relay(relay_location(&name), known));
            assert!(update.records.is_empty() && !update.whole);
            assert_eq!(lookups, 0, "an empty update takes {lookups} lookups among {engines} engines");
        }
        table.apply_report(InstanceReport { leaving: true, ..report(7, 3) });
        for count in RELAYS {
            let (lookups, receivers) = lookups_of(|| {
                let receivers = relays(count)
                    .into_iter()
                    .filter(|name| !table.changes_for_relay(relay_location(name), known).records.is_empty());
                receivers.count()
            });
            assert_eq!(lookups, count as u64, "{lookups} lookups of {count} relays for one change");
            assert!(
                receivers < count,
                "a change of one engine is sent only to relays with it in their subset: {receivers} of {count}"
            );
        }
    }
}

#[test]
fn relay_subset_is_bounded_and_covers_each_place() {
    for engines in SIZES {
        let table = table(engines);
        let mut received_by = std::collections::BTreeMap::<InstanceId, u32>::new();
        for name in relays(RELAYS[1]) {
            let relay = relay_location(&name);
            let (lookups, update) = lookups_of(|| table.changes_for_relay(relay, 0));
            assert!(update.whole && lookups == update.records.len() as u64);
            assert!(update.records.len() <= MAX_SUBSET_ENGINES, "a subset of {} among {engines}", update.records.len());
            let bytes = bitcode::encode(&update).len();
            assert!(bytes <= MAX_FIRST_REPLY_BYTES, "{bytes} bytes among {engines} engines");
            for service in ["pages", "models"] {
                let engines_in_zone = |zone: &str| {
                    let of = |report: &InstanceReport| report.service == service && report.zone == zone;
                    update.records.iter().filter(|record| of(&record.report)).count()
                };
                assert!(
                    engines_in_zone(relay.zone) >= 8,
                    "{} engines of {service} in the relay's zone",
                    engines_in_zone(relay.zone)
                );
                assert!(ZONES.iter().all(|zone| engines_in_zone(zone) >= 2), "too few engines of {service} in a zone");
            }
            update.records.into_iter().for_each(|record| *received_by.entry(record.report.id).or_default() += 1);
        }
        assert!(
            received_by.len() * 100 >= engines * 99,
            "{} of {engines} engines are in some relay's subset",
            received_by.len()
        );
    }
}

/// A change of the subset size causes a full update.
#[test]
fn relay_gets_a_full_update_when_the_size_of_a_place_changes_much() {
    let mut table = table(150);
    let relay = relay_location("relay-1");
    let known = table.revision();
    assert_eq!(table.changes_for_relay(relay, 0).records.len(), 150, "the subset should contain all engines");
    (150..3_000).for_each(|number| table.apply_report(report(number, 1)));
    let grown = table.changes_for_relay(relay, known);
    assert!(grown.whole && grown.records.len() < 500, "{}", grown.records.len());
    let known = grown.revision;
    (50..3_000).for_each(|number| table.remove(&InstanceId::without_start_time(format!("engine-{number}"))));
    let shrunk = table.changes_for_relay(relay, known);
    assert!(shrunk.whole && shrunk.records.len() == 50, "{}", shrunk.records.len());
    assert!(
        table.changes_for_relay(relay, shrunk.revision + 5).whole,
        "a relay with a revision above the table's should get a full update"
    );
}

/// The indexes agree with the records after random changes.
#[test]
fn indexes_agree_with_a_full_scan() {
    for seed in 0..20 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut table = InstanceTable::default();
        for sequence in 0..2_000 {
            let number = random.usize(..60);
            let id = InstanceId::without_start_time(format!("engine-{number}"));
            match random.u32(..10) {
                0 => table.remove(&id),
                1 => table.apply_report(InstanceReport { leaving: true, ..report(number, sequence) }),
                2 => table.record_silence(std::slice::from_ref(&id), &[]),
                3 => table.record_silence(&[], std::slice::from_ref(&id)),
                4 => {
                    let id = InstanceId::without_start_time(format!("engine-{number}-{sequence}"));
                    table.apply_report(InstanceReport { id, ..report(number, 1) });
                }
                _ => table.apply_report(report(number, sequence)),
            }
        }
        let silent: Vec<_> = table.iter().filter(|record| record.silent).map(|record| &record.report.id).collect();
        assert_eq!(table.silent().iter().collect::<Vec<_>>(), silent);
        let mut addresses = std::collections::BTreeSet::new();
        for record in table.iter().filter(|record| record.state != InstanceState::Gone) {
            assert!(addresses.insert(record.report.address), "two instances at {}", record.report.address);
        }
        for pool in table.engine_pools() {
            let is_in_pool = |record: &&saddlerelay_types::instance::InstanceRecord| {
                record.report.service == pool.service && record.report.zone == pool.zone
            };
            let expected = table.iter().filter(is_in_pool).filter(|record| record.state != InstanceState::Gone).count();
            assert_eq!(table.engines_in(pool).count(), expected);
            let available = table.iter().filter(is_in_pool);
            let available = available.filter(|record| record.state == InstanceState::Ready && !record.silent).count();
            assert_eq!(table.available(pool) as usize, available);
        }
    }
}
