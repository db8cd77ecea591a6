//! Owners whose processes end and start again.

use std::{sync::Arc, time::Instant};

use turmericloft::core::{
    quota::{EarlierRecords, QuotaAnswer, QuotaBounds, Quotas, RestartRecord},
    rate_limit::SharingGateways,
    traffic::RequestQuota,
};

/// A quota that may be used up at once.
const QUOTA: RequestQuota = RequestQuota {
    per_second: 0.001,
    burst: 120.0,
};

/// The only gateway, which owns the whole allowance.
fn owner(now: Instant) -> Quotas {
    let own: Arc<str> = "own".into();
    let mut quotas = Quotas::new(QuotaBounds::default(), Arc::clone(&own), 1);
    let list = SharingGateways::new(Arc::clone(&own), vec![own], now, now);
    quotas.record_list(now, &list);
    quotas
}

fn restarted(now: Instant, before: RestartRecord) -> Quotas {
    let mut quotas = owner(now);
    quotas.record_restart(now);
    let mut earlier = EarlierRecords::default();
    earlier.add(Some(1), before);
    quotas.record_before_restart(now, &earlier);
    quotas
}

/// Grants until the first denial. Records are written if `has_store`.
fn grants(quotas: &mut Quotas, now: Instant, has_store: bool) -> u32 {
    let mut count = 0;
    while let QuotaAnswer::Granted { .. } = quotas.answer(now, "north", &QUOTA) {
        count += 1;
        if has_store {
            write(quotas, now);
        }
    }
    count
}

fn write(quotas: &mut Quotas, now: Instant) -> Option<RestartRecord> {
    let write = quotas.start_restart_write(now, 1)?;
    let record = write.record.clone();
    quotas.record_restart_write_confirmed(write);
    Some(record)
}

/// Guards against an organisation that gets the allowance twice because its owner has restarted, and against one that
/// gets nothing for a whole window after all owners have.
#[test]
fn earlier_and_present_process_grant_no_more_than_the_allowance() {
    let now = Instant::now();
    let allowance = QuotaBounds::default().allowance(&QUOTA);
    let before = grants(&mut owner(now), now, false);
    let mut restarted = restarted(now, RestartRecord::default());
    assert_eq!(grants(&mut restarted, now, false), 0);
    write(&mut restarted, now);
    let after = grants(&mut restarted, now, true);
    assert!(after >= allowance / 3, "{after} of {allowance}");
    assert_eq!(before + after, allowance);
}

/// Guards against a second restart within the window of the first one.
#[test]
fn nothing_is_granted_after_a_second_restart_in_one_window() {
    let now = Instant::now();
    let mut first = restarted(now, RestartRecord::default());
    let record = write(&mut first, now).expect("a record");
    let mut second = restarted(now, record);
    write(&mut second, now);
    assert_eq!(grants(&mut second, now, true), 0);
}

/// Guards against the last third of a part that is granted twice: once to a busy organisation, and once after a
/// restart.
#[test]
fn busy_organisation_gets_nothing_in_the_window_after_a_restart() {
    let now = Instant::now();
    let bounds = QuotaBounds::default();
    let mut busy = owner(now);
    let mut record = RestartRecord::default();
    let mut granted = 0;
    while let QuotaAnswer::Granted { .. } = busy.answer(now, "north", &QUOTA) {
        granted += 1;
        record = write(&mut busy, now).unwrap_or(record);
    }
    assert_eq!(granted, bounds.allowance(&QUOTA));
    let mut restarted = restarted(now, record);
    write(&mut restarted, now);
    assert_eq!(grants(&mut restarted, now, true), 0);
    let later = now + bounds.grant_interval();
    assert_eq!(grants(&mut restarted, later, true), granted);
}

/// Guards against an organisation that once was busy and gets nothing for a window after each later restart.
#[test]
fn organisation_that_was_busy_long_ago_is_served_after_a_restart() {
    let now = Instant::now();
    let mut busy = owner(now);
    let granted = grants(&mut busy, now, true);
    let calm = now + QuotaBounds::default().grant_interval();
    let record = write(&mut busy, calm).expect("a record");
    let mut restarted = restarted(calm, record);
    write(&mut restarted, calm);
    assert_eq!(grants(&mut restarted, calm, true), granted / 3);
}

/// Guards against the last third of a part that is granted twice: a record by which the organisation is calm got no
/// answer, it is busy again, and the store executes the record later.
#[test]
fn owner_keeps_to_two_thirds_while_a_write_without_an_answer_may_be_executed() {
    let now = Instant::now();
    let allowance = QuotaBounds::default().allowance(&QUOTA);
    let mut owner = owner(now);
    // Enough for a record that it is busy.
    for _ in 0..allowance * 3 / 5 {
        assert!(matches!(
            owner.answer(now, "north", &QUOTA),
            QuotaAnswer::Granted { .. }
        ));
        write(&mut owner, now);
    }
    let calm = now + QuotaBounds::default().grant_interval();
    assert!(owner.start_restart_write(calm, 1).is_some());
    owner.record_restart_write_unconfirmed();
    assert_eq!(grants(&mut owner, calm, false), allowance - allowance / 3);
    write(&mut owner, calm).expect("a record");
    assert!(grants(&mut owner, calm, false) > 0);
}

/// Guards against a write that is taken for one of the next process, or for a later one of its own.
#[test]
fn each_write_after_one_without_an_answer_is_of_a_higher_generation() {
    let now = Instant::now();
    let mut earlier = EarlierRecords::default();
    earlier.add(Some(7), RestartRecord::default());
    earlier.add(Some(5), RestartRecord::default());
    let mut owner = owner(now);
    owner.record_restart(now);
    owner.record_before_restart(now, &earlier);
    let first = owner.start_restart_write(now, 3).expect("a record");
    assert_eq!((first.generation, &*first.superseded), (8, &[5, 7][..]));
    // Nothing is recorded of it.
    let second = owner.start_restart_write(now, 3).expect("a record");
    assert_eq!(
        (second.generation, &*second.superseded),
        (9, &[5, 7, 8][..])
    );
    owner.record_restart_write_confirmed(second);
    assert_eq!(owner.start_restart_write(now, 3), None);
    let later = now + QuotaBounds::default().grant_interval();
    let third = owner.start_restart_write(later, 3).expect("a record");
    assert_eq!((third.generation, &*third.superseded), (9, &[][..]));
}

/// Guards against the record of an older build, which has no generation, that is passed over after a downgrade.
#[test]
fn record_of_an_older_build_counts_beside_the_newest_one() {
    let busy = |name: &str| RestartRecord {
        busy: [name.into()].into(),
        is_restarting: false,
    };
    let mut earlier = EarlierRecords::default();
    earlier.add(Some(1), busy("late"));
    earlier.add(Some(2), busy("north"));
    earlier.add(None, busy("south"));
    let newest = earlier.newest();
    let names: Vec<_> = newest.busy.iter().map(|name| &**name).collect();
    assert_eq!(names, ["north", "south"]);
}
