//! Reads of a registry that is unavailable to a whole fleet.

use std::time::{Duration, Instant};

use turmericloft::core::relay::{UpstreamChooser, read_retry_delay};

use super::member;

const GATEWAYS: usize = 311;
const ZONES: usize = 5;
const OUTAGE: Duration = Duration::from_secs(8);
/// Time within which a gateway that was cut off has to be up to date again.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);

/// Time that a read takes to fail while the registry is silent.
const SILENT_READ: Duration = Duration::from_millis(300);
/// Time for which entries are retained after the first successful read.
const RETENTION: Duration = Duration::from_millis(1_900);

/// Number of failed reads of one gateway during the outage.
fn reads(hears_upstream: bool) -> u32 {
    let mut elapsed = Duration::ZERO;
    let mut reads = 0;
    while elapsed < OUTAGE {
        reads += 1;
        elapsed += SILENT_READ + read_retry_delay(hears_upstream);
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
    assert!(SILENT_READ + read_retry_delay(true) < STABILITY_WINDOW);
}

/// A gateway is cut off while an endpoint leaves. The endpoint gets no request of a gateway that has
/// been back for the stability window, though its entry is retained for a while.
#[test]
fn endpoint_that_left_during_a_cut_is_dropped_within_the_stability_window() {
    assert!(SILENT_READ + read_retry_delay(false) + RETENTION < STABILITY_WINDOW);
}
