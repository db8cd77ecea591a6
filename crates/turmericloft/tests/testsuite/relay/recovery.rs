//! Reads of a registry that is unavailable to a whole fleet, and its return.

use std::time::{Duration, Instant};

use turmericloft::core::relay::{RecoveryTimings, UpstreamChooser};

use super::member;

const GATEWAYS: usize = 311;
const ZONES: usize = 5;
const OUTAGE: Duration = Duration::from_secs(8);
/// Time within which a gateway has to be up to date after it was cut off, or after an outage.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Time for which entries are retained after the first successful read.
const RETENTION: Duration = Duration::from_millis(1_900);

/// Time that a read takes to fail.
#[derive(Clone, Copy)]
enum FailedRead {
    /// The registry accepts connections and sends no response.
    Silent,
    /// No connection is opened.
    CutOff,
    /// The connection is open and silent, and no other one is opened.
    CutOffWhileOpen,
}

fn timings() -> RecoveryTimings {
    RecoveryTimings::new(STABILITY_WINDOW)
}

impl FailedRead {
    fn length(self) -> Duration {
        match self {
            Self::Silent => timings().call_timeout(),
            Self::CutOff => timings().connect_timeout(),
            Self::CutOffWhileOpen => timings().patience() + timings().connect_timeout(),
        }
    }
}

/// Time from the start of a failed read to the next one.
fn period(failed: FailedRead, hears_upstream: bool) -> Duration {
    let started = Instant::now();
    let next = timings().next_read(started + failed.length(), started, hears_upstream);
    next - started
}

/// Number of failed reads of one gateway during the outage.
fn reads(failed: FailedRead, hears_upstream: bool) -> u32 {
    let mut elapsed = Duration::ZERO;
    let mut reads = 0;
    while elapsed < OUTAGE {
        reads += 1;
        elapsed += period(failed, hears_upstream);
    }
    reads
}

#[test]
fn outage_is_probed_often_by_one_gateway_of_a_zone_and_seldom_by_the_others() {
    let zone = |i: usize| format!("z{}", i % ZONES);
    let members: Vec<_> = (0..GATEWAYS)
        .map(|i| member(&format!("h{i}"), &zone(i)))
        .collect();
    let now = Instant::now();
    let choosers = members.iter().map(|m| {
        let mut chooser = UpstreamChooser::new(m.host.clone(), m.zone.clone(), m.link_mbps);
        chooser.set_members(&members);
        chooser
    });
    let reads = |hears_upstream| reads(FailedRead::CutOff, hears_upstream);
    let total: u32 = choosers.map(|c| reads(c.upstream(now).is_some())).sum();
    let each_alone = GATEWAYS as u32 * reads(false);
    assert!(
        total * 3 < each_alone,
        "{total} reads, {each_alone} if each gateway tried alone"
    );
}

/// A fleet makes no more calls than these in an outage: a call of each gateway within 2.5 s.
#[test]
fn calls_of_a_fleet_in_a_silent_outage_are_bounded() {
    const MIN_PERIOD: Duration = Duration::from_millis(2_500);
    let most = OUTAGE.div_duration_f64(MIN_PERIOD).ceil() as u32;
    assert!(reads(FailedRead::Silent, true) <= most);
}

/// A read that begins just before the registry returns is lost. A gateway that nobody relays to has to
/// read endpoints and document within the window all the same, whatever the deployment.
#[test]
fn gateway_to_which_alone_the_registry_returns_reads_it_within_the_stability_window() {
    // A wake-up, two calls and their decoding on a host with a tenth of a core.
    const READS_FRACTION: f64 = 0.15;
    for window_ms in [500, 1_000, 2_000, 3_000, 5_000, 20_000] {
        let window = Duration::from_millis(window_ms);
        let timings = RecoveryTimings::new(window);
        let lost = Instant::now();
        let failed = lost + timings.patience() + timings.call_timeout();
        for relies_on_upstream in [false, true] {
            let read = timings.next_read(failed, lost, relies_on_upstream);
            let total = read - lost + window.mul_f64(READS_FRACTION);
            assert!(total <= window, "{window:?}: {total:?}");
        }
    }
}

/// A gateway is cut off while an endpoint leaves. The endpoint gets no request of a gateway that has
/// been back for the stability window, though its entry is retained for a while.
#[test]
fn endpoint_that_left_during_a_cut_is_dropped_within_the_stability_window() {
    for failed in [FailedRead::CutOff, FailedRead::CutOffWhileOpen] {
        assert!(period(failed, false) + RETENTION < STABILITY_WINDOW);
    }
}
