//! `ConfigFollower` on streams whose old records expire.

use std::time::{Duration, Instant};

use turmericloft::core::config::{
    AcceptedRecord, Checkpoint, ConfigFollower, ConfigRecord, Page, Verdict,
};

use super::{documents::record, readers::ModelRecord};

fn stream(bodies: &[Vec<u8>]) -> Vec<ModelRecord> {
    let records = bodies.iter().zip(0..);
    records
        .map(|(body, offset)| ModelRecord {
            offset,
            body: body.clone(),
        })
        .collect()
}

fn bytes(record: &ConfigRecord) -> Vec<u8> {
    record.encode().unwrap()
}

fn accept(parent: Option<&AcceptedRecord>, offset: u64, record: &ConfigRecord) -> AcceptedRecord {
    match AcceptedRecord::evaluate(parent, offset, &bytes(record)) {
        Verdict::Accepted(accepted) => *accepted,
        other => panic!("not accepted: {other:?}"),
    }
}

fn read(follower: &mut ConfigFollower, all: &[ModelRecord], first: u64) {
    for _ in 0..4 {
        let from = follower.read_from().max(first) as usize;
        let page = Page {
            first,
            next: all.len() as u64,
            records: &all[from.min(all.len())..],
        };
        follower.apply_page(Instant::now(), &page);
    }
}

/// Versions 1 and 2, a rejected record, a checkpoint of version 2 that covers it, and version 3.
fn sample() -> (Vec<ModelRecord>, Vec<AcceptedRecord>) {
    let one = accept(None, 0, &record(None, "one", 1));
    let two = accept(Some(&one), 1, &record(Some(&one), "two", 2));
    let rejected = record(Some(&one), "rejected", 3);
    let checkpoint = Checkpoint {
        offset: 1,
        evaluated_until: 3,
        record: two.record.clone(),
    };
    let three = accept(Some(&two), 4, &record(Some(&two), "three", 4));
    let all = stream(&[
        bytes(&one.record),
        bytes(&two.record),
        bytes(&rejected),
        checkpoint.encode().unwrap(),
        bytes(&three.record),
    ]);
    (all, vec![one, two, three])
}

#[test]
fn late_reader_starts_from_a_checkpoint() {
    let (all, _) = sample();
    let mut late = ConfigFollower::new();
    read(&mut late, &all, 3);
    assert_eq!(late.version(), 3);
    assert!(late.is_continuous());
}

#[test]
fn late_reader_without_a_checkpoint_does_not_accept_a_rejected_record() {
    let (all, _) = sample();
    let mut late = ConfigFollower::new();
    read(&mut late, &all[..3], 2);
    assert_eq!((late.version(), late.is_continuous()), (0, false));
}

#[test]
fn checkpoint_that_does_not_cover_all_expired_records_is_not_adopted() {
    let (all, _) = sample();
    let mut late = ConfigFollower::new();
    read(&mut late, &all, 4);
    assert_eq!((late.version(), late.is_continuous()), (0, false));
}

#[test]
fn reader_with_a_gap_keeps_its_version_until_it_gets_a_peer_checkpoint() {
    let (all, accepted) = sample();
    let mut lagging = ConfigFollower::new();
    read(&mut lagging, &all[..1], 0);
    read(&mut lagging, &all, 4);
    assert_eq!((lagging.version(), lagging.is_continuous()), (1, false));
    let mut peer = ConfigFollower::new();
    read(&mut peer, &all, 0);
    let checkpoint = peer.checkpoint().unwrap().encode().unwrap();
    assert!(lagging.apply_peer_checkpoint(Instant::now(), &checkpoint));
    assert_eq!(lagging.accepted(), Some(&accepted[2]));
    assert!(lagging.is_continuous());
}

#[test]
fn outdated_or_corrupted_peer_checkpoint_is_ignored() {
    let (all, _) = sample();
    let mut reader = ConfigFollower::new();
    read(&mut reader, &all, 0);
    assert!(!reader.apply_peer_checkpoint(Instant::now(), &all[3].body));
    let mut corrupted = reader.checkpoint().unwrap().encode().unwrap();
    corrupted.truncate(corrupted.len() / 2);
    assert!(!reader.apply_peer_checkpoint(Instant::now(), &corrupted));
    assert_eq!(reader.version(), 3);
}

#[test]
fn checkpoint_is_due_when_the_last_one_is_old_or_expired() {
    let (all, _) = sample();
    let mut reader = ConfigFollower::new();
    read(&mut reader, &all, 0);
    let now = Instant::now();
    assert!(!reader.is_checkpoint_due(now, 3));
    assert!(reader.is_checkpoint_due(now, 4));
    assert!(reader.is_checkpoint_due(now + Duration::from_secs(600), 0));
}

#[test]
fn checkpoint_with_a_changed_byte_is_not_adopted() {
    let (mut all, _) = sample();
    let text = String::from_utf8(all[3].body.clone()).unwrap();
    all[3].body = text.replace("\"version\":2", "\"version\":9").into_bytes();
    assert_ne!(text.as_bytes(), all[3].body);
    let mut late = ConfigFollower::new();
    read(&mut late, &all, 3);
    assert_eq!((late.version(), late.is_continuous()), (0, false));
}
