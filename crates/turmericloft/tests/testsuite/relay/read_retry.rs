//! Reads of a registry that is unavailable to a whole fleet.

use std::time::{Duration, Instant};

use turmericloft::core::relay::{ReadRetry, UpstreamChooser};

use super::member;

const GATEWAYS: usize = 311;
const ZONES: usize = 5;
const OUTAGE: Duration = Duration::from_secs(8);
/// Time within which a gateway that was cut off has to be up to date again.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);

/// Number of failed reads of one gateway during the outage.
fn reads(hears_upstream: bool) -> u32 {
    let mut retry = ReadRetry::default();
    let mut elapsed = Duration::ZERO;
    let mut reads = 0;
    while elapsed < OUTAGE {
        reads += 1;
        retry.record(false);
        elapsed += retry.delay(hears_upstream);
    }
    reads
}

#[test]
fn outage_is_probed_often_by_one_gateway_of_a_zone_and_seldom_by_the_others() {
    let zone = |i: usize| format!("z{}", i % ZONES);
    let members: Vec<_> = (0..GATEWAYS)
        .map(|i| member(&format!("h{i}"), &zone(i)))
        .collect();
    let choosers = members.iter().map(|m| {
        let mut chooser = UpstreamChooser::new(m.host.clone(), m.zone.clone());
        chooser.set_members(&members);
        chooser
    });
    let now = Instant::now();
    let total: u32 = choosers.map(|c| reads(c.upstream(now).is_some())).sum();
    let each_alone = GATEWAYS as u32 * reads(false);
    assert!(
        total * 3 < each_alone,
        "{total} reads, {each_alone} if each gateway tried alone"
    );
}

#[test]
fn gateway_to_which_alone_the_registry_returns_reads_it_within_the_stability_window() {
    let mut retry = ReadRetry::default();
    for _ in 0..10 {
        retry.record(false);
        assert!(retry.delay(true) < STABILITY_WINDOW);
    }
}

#[test]
fn first_retry_after_a_success_is_quick_again() {
    let mut retry = ReadRetry::default();
    (0..5).for_each(|_| retry.record(false));
    let late = retry.delay(false);
    retry.record(true);
    retry.record(false);
    assert!(retry.delay(false) < late);
}
