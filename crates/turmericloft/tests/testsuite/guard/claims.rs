//! The index of claims.

use turmericloft::core::{
    HostId, Name,
    guard::{ActionKey, ClaimBatch, ClaimDigest, ClaimIndex, ClaimPage},
};

use super::host;

const LIFETIME_MS: u64 = 10_000;
const MAX_CLOCK_SKEW_MS: u64 = 1_000;

fn digest(key: &str) -> ClaimDigest {
    ClaimDigest::of(&ActionKey::Caller {
        caller: Name::new("web").unwrap(),
        service: Name::new("booking").unwrap(),
        key: key.into(),
    })
}

fn batch(holder: &HostId, keys: &[&str]) -> ClaimBatch {
    ClaimBatch {
        holder: holder.clone(),
        claims: keys.iter().map(|k| digest(k)).collect(),
    }
}

fn page(first_retained: u64, next_offset: u64, batches: &[ClaimBatch]) -> ClaimPage<'_> {
    ClaimPage {
        first_retained,
        next_offset,
        first_appended_ms: Some(50_000),
        batches,
        requested_at_ms: 50_000,
        is_at_end: true,
    }
}

#[test]
fn claim_with_the_lowest_offset_holds_the_key() {
    let (a, b) = (host("gw-1", 1), host("gw-2", 1));
    let mut index = ClaimIndex::new(LIFETIME_MS);
    index.apply_page(
        50_000,
        &page(0, 2, &[batch(&a, &["k"]), batch(&b, &["k", "l"])]),
    );
    assert_eq!(index.holder(&digest("k")), Some(&a));
    assert_eq!(index.holder(&digest("l")), Some(&b));
    assert_eq!(index.next_offset(), 2);
}

#[test]
fn new_claims_wait_for_the_first_read() {
    let mut index = ClaimIndex::new(LIFETIME_MS);
    assert_eq!(index.claim_wait_ms(50_000), None);
    index.apply_page(50_000, &page(0, 0, &[]));
    assert_eq!(index.claim_wait_ms(50_000), Some(0));
}

#[test]
fn records_dropped_unread_delay_new_claims_for_a_lifetime() {
    let mut index = ClaimIndex::new(LIFETIME_MS);
    index.apply_page(50_000, &page(0, 3, &[]));
    index.apply_page(50_000, &page(5, 6, &[]));
    let wait = LIFETIME_MS + MAX_CLOCK_SKEW_MS;
    assert_eq!(index.claim_wait_ms(50_000), Some(wait));
    assert_eq!(index.claim_wait_ms(50_000 + wait), Some(0));
    index.apply_page(50_000, &page(5, 7, &[]));
    assert_eq!(index.claim_wait_ms(50_000), Some(wait));
}

#[test]
fn records_dropped_long_before_the_start_delay_no_claims() {
    let mut index = ClaimIndex::new(LIFETIME_MS);
    index.apply_page(90_000, &page(5, 6, &[]));
    assert_eq!(index.claim_wait_ms(90_000), Some(0));
}

#[test]
fn earlier_incarnations_are_covered_once_the_stream_is_read_past_the_start() {
    let mut index = ClaimIndex::new(LIFETIME_MS);
    assert!(!index.covers_earlier_incarnations(&host("gw-1", 40_000)));
    index.apply_page(50_000, &page(0, 0, &[]));
    assert!(index.covers_earlier_incarnations(&host("gw-1", 50_000 - MAX_CLOCK_SKEW_MS)));
    assert!(!index.covers_earlier_incarnations(&host("gw-1", 50_001 - MAX_CLOCK_SKEW_MS)));
}

#[test]
fn claims_expire_after_their_lifetime() {
    let a = host("gw-1", 1);
    let mut index = ClaimIndex::new(LIFETIME_MS);
    index.apply_page(50_000, &page(0, 1, &[batch(&a, &["k"])]));
    index.apply_page(60_000, &page(0, 1, &[]));
    assert_eq!(index.len(), 1);
    index.apply_page(60_001, &page(0, 1, &[]));
    assert!(index.is_empty());
}
