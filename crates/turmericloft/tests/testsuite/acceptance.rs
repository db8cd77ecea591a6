//! The rule that accepts configuration records.

use turmericloft::core::{
    Name,
    config::{AcceptedRecord, ConfigRecord, Verdict},
    document::Digest,
};

const DOCUMENT: &str = "schema = 1\nzones = []\nservices = []\ncallers = []\n";

fn record(version: u64, parent: Option<Digest>, id: &str) -> ConfigRecord {
    let document = format!("{DOCUMENT}# {id}\n");
    ConfigRecord {
        version,
        parent,
        promotion_id: id.to_owned(),
        author: Name::new("anna").unwrap(),
        promoted_at_ms: 0,
        digest: Digest::of(document.as_bytes()),
        document,
    }
}

fn evaluate(current: Option<&AcceptedRecord>, record: &ConfigRecord) -> Verdict {
    AcceptedRecord::evaluate(current, 0, &record.encode().unwrap())
}

fn accept(current: Option<&AcceptedRecord>, record: &ConfigRecord) -> AcceptedRecord {
    match evaluate(current, record) {
        Verdict::Accepted(accepted) => *accepted,
        other => panic!("not accepted: {other:?}"),
    }
}

#[test]
fn second_record_with_the_same_parent_is_rejected() {
    let first = accept(None, &record(1, None, "a"));
    assert_eq!(
        evaluate(Some(&first), &record(1, None, "b")),
        Verdict::Rejected { current: 1 }
    );
}

#[test]
fn record_with_the_accepted_promotion_id_is_a_duplicate() {
    let first = accept(None, &record(1, None, "a"));
    assert_eq!(
        evaluate(Some(&first), &record(1, None, "a")),
        Verdict::Duplicate
    );
}

#[test]
fn record_with_a_wrong_digest_is_malformed() {
    let mut bad = record(1, None, "a");
    bad.digest = Digest::of(b"another");
    assert!(matches!(evaluate(None, &bad), Verdict::Malformed(_)));
}
