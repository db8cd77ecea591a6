//! Attempts that the gateway has abandoned, at endpoints that crash, leave or fall silent.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use turmericloft::core::{
    placement::{DiscoveredEndpoint, EndpointState},
    quarantine::{AbandonedAttempt, AbandonedAttempts, ConcludedCrash, EndpointSign},
};

use super::request;

/// Time for which an endpoint serves after its entry was removed or says that it drains.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time after which the registry removes the entry of an endpoint that has fallen silent.
const LAPSE: Duration = Duration::from_millis(4_500);
/// Time for which the attempts of these tests may run.
const TIMEOUT: Duration = Duration::from_millis(1_500);
const STEP: Duration = Duration::from_millis(10);

fn endpoint() -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        id: "e0".into(),
        service: "calendar".into(),
        address: "10.0.0.1:1".parse().expect("an address"),
        zone: "a".into(),
        slots: 4,
        state: EndpointState::Ready,
        warmup_left: Duration::ZERO,
        started_at_ms: 1,
    }
}

fn attempt(sent_at: Instant) -> AbandonedAttempt {
    AbandonedAttempt {
        request: request(),
        sent_at,
        runs_until: sent_at + TIMEOUT,
    }
}

/// A table with one attempt that was sent and abandoned at `now`.
fn table(now: Instant) -> AbandonedAttempts {
    let mut table = AbandonedAttempts::default();
    table.add(now, &endpoint(), attempt(now));
    table
}

fn sign(table: &mut AbandonedAttempts, at: Instant, sign: EndpointSign) -> Vec<ConcludedCrash> {
    table.record_sign(at, &endpoint().id, at, sign)
}

#[test]
fn endpoint_that_refuses_connections_has_crashed_with_the_attempt() {
    let now = Instant::now();
    let mut table = table(now);
    let at = now + Duration::from_millis(100);
    assert_eq!(table.next_check(), Some(at));
    assert_eq!(table.take_due(at), [endpoint()]);
    assert_eq!(sign(&mut table, at, EndpointSign::Responded), []);
    let later = at + Duration::from_millis(200);
    let crashes = sign(&mut table, later, EndpointSign::Ended);
    let [(fingerprint, crash)] = &crashes[..] else {
        panic!("one crash: {crashes:?}");
    };
    assert_eq!(*fingerprint, request());
    assert_eq!((crash.sent_at, crash.at), (now, later));
    assert_eq!(table.next_check(), None);
}

/// A client gave up on a sound request, and much later the endpoint crashes for another reason.
#[test]
fn attempt_whose_time_was_over_when_the_endpoint_responded_is_not_accused() {
    let now = Instant::now();
    let mut table = table(now);
    let over = now + TIMEOUT;
    assert_eq!(sign(&mut table, over, EndpointSign::Responded), []);
    assert_eq!(sign(&mut table, over + STEP, EndpointSign::Ended), []);
}

#[test]
fn endpoint_that_has_said_that_it_leaves_accuses_no_attempt() {
    let now = Instant::now();
    let mut by_notice = table(now);
    by_notice.record_leaving(&endpoint().id);
    assert_eq!(sign(&mut by_notice, now + STEP, EndpointSign::Ended), []);
    let mut by_entry = table(now);
    let draining = DiscoveredEndpoint {
        state: EndpointState::Draining,
        ..endpoint()
    };
    assert_eq!(by_entry.set_endpoints(now, &[draining]), []);
    assert_eq!(sign(&mut by_entry, now + STEP, EndpointSign::Ended), []);
}

/// The network may be at fault, or the endpoint's host may be suspended.
#[test]
fn silence_alone_accuses_no_attempt() {
    let now = Instant::now();
    let mut table = table(now);
    for s in 1..10 {
        let at = now + Duration::from_secs(s);
        assert_eq!(sign(&mut table, at, EndpointSign::Silent), []);
    }
    let back = now + Duration::from_secs(10);
    assert_eq!(sign(&mut table, back, EndpointSign::Responded), []);
    assert_eq!(table.next_check(), None);
}

#[test]
fn silent_endpoint_whose_entry_has_lapsed_has_crashed_with_the_attempt() {
    let now = Instant::now();
    let mut table = table(now);
    sign(&mut table, now + STEP, EndpointSign::Silent);
    assert_eq!(table.set_endpoints(now + LAPSE, &[]).len(), 1);
}

#[test]
fn endpoint_that_has_started_again_under_its_id_has_crashed_with_the_attempt() {
    let now = Instant::now();
    let mut table = table(now);
    let restarted = DiscoveredEndpoint {
        started_at_ms: 2,
        ..endpoint()
    };
    assert_eq!(table.set_endpoints(now + STEP, &[restarted]).len(), 1);
}

/// How an endpoint ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// Its process ends: connections are refused.
    Crash,
    /// Its host ends, and nothing is refused.
    DarkCrash,
    /// Its entry was removed earlier by the drain time.
    Planned,
}

impl End {
    fn entry_removed_at(self, ends_at: Instant) -> Instant {
        match self {
            Self::Crash | Self::DarkCrash => ends_at + LAPSE,
            Self::Planned => ends_at - DRAIN_TIME,
        }
    }

    fn sign(self, at: Instant, ends_at: Instant) -> EndpointSign {
        match self {
            _ if at < ends_at => EndpointSign::Responded,
            Self::DarkCrash => EndpointSign::Silent,
            Self::Crash | Self::Planned => EndpointSign::Ended,
        }
    }
}

/// Checks an endpoint as the gateway does until nothing is in question. Returns what it concludes, with
/// the time.
fn conclude(
    sent: &[Instant],
    end: End,
    ends_at: Instant,
    registry_delay: Duration,
) -> Vec<(Instant, ConcludedCrash)> {
    let mut table = AbandonedAttempts::default();
    let mut now = sent.iter().min().copied().expect("attempts");
    let removal_known_at = end.entry_removed_at(ends_at) + registry_delay;
    let mut concluded = Vec::new();
    let mut checks = 0;
    let limit = now + Duration::from_secs(60);
    while now < limit {
        for at in sent.iter().filter(|at| **at >= now && **at < now + STEP) {
            table.add(now, &endpoint(), attempt(*at));
        }
        let listed = [endpoint()];
        let entries = if now < removal_known_at {
            &listed[..]
        } else {
            &[]
        };
        let mut crashes = table.set_endpoints(now, entries);
        for due in table.take_due(now) {
            checks += 1;
            let shown = end.sign(now, ends_at);
            crashes.extend(table.record_sign(now, &due.id, now, shown));
        }
        concluded.extend(crashes.into_iter().map(|crash| (now, crash)));
        now += STEP;
    }
    assert_eq!(table.next_check(), None, "checked without end");
    assert!(checks <= 40 * sent.len(), "{checks} checks");
    concluded
}

proptest! {
    /// The registry reaches the gateway within the drain time.
    #[test]
    fn crashes_are_noticed_and_planned_ends_are_not_taken_for_crashes(
        sent_ms in prop::collection::vec(0_u64..3_000, 1..6),
        end in prop::sample::select(vec![End::Crash, End::DarkCrash, End::Planned]),
        end_ms in 0_u64..8_000,
        registry_delay_ms in 0_u64..1_900,
    ) {
        let start = Instant::now() + DRAIN_TIME;
        let ends_at = start + Duration::from_millis(end_ms);
        let ms = Duration::from_millis;
        // An endpoint whose entry is removed gets no requests, nor one that has ended.
        let known = (end.entry_removed_at(ends_at) + ms(registry_delay_ms)).min(ends_at);
        let mut sent: Vec<_> = sent_ms.iter().map(|t| start + ms(*t / 10 * 10)).collect();
        sent.retain(|at| *at < known);
        prop_assume!(!sent.is_empty());
        let concluded = conclude(&sent, end, ends_at, ms(registry_delay_ms));
        if end == End::Planned {
            prop_assert_eq!(concluded, []);
            return Ok(());
        }
        let within = if end == End::Crash { ms(1_000) } else { LAPSE + ms(registry_delay_ms) + ms(1_000) };
        for at in sent {
            let found = concluded.iter().find(|(_, (_, crash))| crash.sent_at == at);
            if at + TIMEOUT > ends_at {
                let (concluded_at, _) = found.expect("the crash is noticed");
                prop_assert!(*concluded_at <= ends_at + within + STEP);
            }
            if at + TIMEOUT + ms(1_000) + STEP < ends_at {
                prop_assert!(found.is_none(), "its time was long over");
            }
        }
    }
}
