//! What a gateway concludes from records and lists, in whatever order they reach it.

use std::time::{Duration, Instant};

use proptest::{collection::vec, prelude::*};
use turmericloft::core::evacuation::{EvacuationTable, RETENTION};

use super::{at, list, record};

const MS: Duration = Duration::from_millis(1);

/// Names of the evacuated zones.
fn zones(table: &EvacuationTable) -> Vec<String> {
    table.evacuated().names().map(ToString::to_string).collect()
}

/// A table in which zone `b` is evacuated by the record at offset 5 of era 0.
fn with_b_evacuated(now: Instant) -> EvacuationTable {
    let mut table = EvacuationTable::default();
    table.apply_list(now, 6, list(at(0, 6), vec![record("b", at(0, 5), true)]));
    assert_eq!(zones(&table), ["b"]);
    table
}

/// Guards against an older record that ends a newer evacuation, for example from a gateway that is behind.
#[test]
fn newest_record_of_a_zone_counts() {
    let now = Instant::now();
    let mut table = with_b_evacuated(now);
    table.apply_records(at(0, 6), vec![record("b", at(0, 4), false)]);
    table.apply_list(now, 5, list(at(0, 5), Vec::new()));
    assert_eq!(zones(&table), ["b"]);
    table.apply_records(at(0, 8), vec![record("b", at(0, 7), false)]);
    assert_eq!(zones(&table), [""; 0]);
    table.apply_records(at(0, 8), vec![record("b", at(0, 5), true)]);
    assert_eq!(zones(&table), [""; 0]);
}

/// Guards against zones that stay evacuated for ever when the record that ended it was deleted from the history.
#[test]
fn list_that_is_complete_beyond_a_record_ends_an_evacuation_that_it_lacks() {
    let now = Instant::now();
    let mut table = with_b_evacuated(now);
    table.apply_list(now, 9, list(at(0, 9), vec![record("c", at(0, 8), true)]));
    assert_eq!(zones(&table), ["c"]);
}

/// Guards against requests to an evacuated zone after the store has returned from a copy that lacks the record, and
/// against an evacuation that never ends.
#[test]
fn zone_that_a_new_era_lacks_stays_evacuated_for_the_retention() {
    let now = Instant::now();
    for listed in [Vec::new(), vec![record("b", at(1, 2), false)]] {
        let mut table = with_b_evacuated(now);
        table.apply_list(now, 3, list(at(1, 3), listed));
        assert_eq!(table.next_expiry(), Some(now + RETENTION));
        table.expire(now + RETENTION - MS);
        assert_eq!(zones(&table), ["b"]);
        table.expire(now + RETENTION);
        assert_eq!(zones(&table), [""; 0]);
    }
}

#[test]
fn record_that_was_written_in_the_new_era_counts_at_once() {
    let now = Instant::now();
    for is_evacuated in [true, false] {
        let mut table = with_b_evacuated(now);
        table.apply_list(now, 3, list(at(1, 2), Vec::new()));
        // From the older copy: it was read again, as the list was not complete.
        table.apply_records(at(1, 3), vec![record("b", at(1, 2), false)]);
        assert_eq!(zones(&table), ["b"]);
        table.apply_records(at(1, 4), vec![record("b", at(1, 3), is_evacuated)]);
        assert_eq!(zones(&table).len(), usize::from(is_evacuated));
        table.expire(now + RETENTION);
        assert_eq!(zones(&table).len(), usize::from(is_evacuated));
    }
}

/// Guards against a list of an earlier era, which a gateway sends that has not noticed the new one.
#[test]
fn list_of_an_earlier_era_changes_nothing() {
    let now = Instant::now();
    let mut table = EvacuationTable::default();
    table.apply_list(now, 3, list(at(1, 3), vec![record("b", at(1, 2), true)]));
    table.apply_list(now, 99, list(at(0, 99), Vec::new()));
    table.apply_records(at(0, 100), vec![record("b", at(0, 99), false)]);
    assert_eq!(zones(&table), ["b"]);
}

/// A gateway that starts just after the return learns what others retain, for no longer than they do by much.
#[test]
fn starting_gateway_retains_what_its_upstream_retains() {
    let now = Instant::now();
    let mut upstream = with_b_evacuated(now);
    upstream.apply_list(now, 3, list(at(1, 3), Vec::new()));
    let mut starting = EvacuationTable::default();
    let relayed = upstream.list();
    starting.apply_list(now + MS, relayed.next.offset, relayed.clone());
    assert_eq!(zones(&starting), ["b"]);
    starting.expire(now + MS + RETENTION);
    // A list that arrives late does not begin it again.
    starting.apply_list(now + MS + RETENTION, relayed.next.offset, relayed);
    assert_eq!(zones(&starting), [""; 0]);
}

proptest! {
    /// Guards against gateways that disagree for good: whichever of two sources each record comes from, and in
    /// whatever order lists of other gateways arrive, all know the same in the end.
    #[test]
    fn gateways_that_hear_each_other_agree(
        records in vec((0..3_usize, any::<bool>()), 1..20),
        reads in vec((0..4_usize, 0..20_usize), 0..40),
    ) {
        let now = Instant::now();
        let names = ["a", "b", "c"];
        let log: Vec<_> = records
            .iter()
            .enumerate()
            .map(|(i, (zone, is_evacuated))| record(names[*zone], at(0, i as u64), *is_evacuated))
            .collect();
        let mut tables: Vec<_> = (0..4).map(|_| EvacuationTable::default()).collect();
        for (n, count) in reads {
            let end = count.min(log.len());
            tables[n].apply_records(at(0, end as u64), log[..end].to_vec());
            let told = tables[n].list();
            tables[(n + 1) % 4].apply_list(now, told.next.offset, told);
        }
        tables[0].apply_records(at(0, log.len() as u64), log.clone());
        let told = tables[0].list();
        for table in &mut tables[1..] {
            table.apply_list(now, told.next.offset, told.clone());
            prop_assert_eq!(table.evacuated(), told.zones.iter().map(|r| r.zone.clone()).collect());
            prop_assert_eq!(table.changed_at() >= told.changed_at, true);
        }
    }
}
