//! Endpoints that fail requests while their health check is good.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use turmericloft::core::placement::{
    AttemptOutcome, Balancer, LoadReport, Probe, ProbeOutcome, RetryBudget,
};

use super::{endpoint, load, request};

const REQUESTS: u32 = 40;
const INTERVAL: Duration = Duration::from_millis(150);

/// Load pattern: one of four endpoints breaks off every other request at once. So it is always free,
/// and each probe of it reports free slots; the other endpoints were not probed lately.
#[test]
fn endpoint_that_fails_fast_is_not_preferred_for_its_free_slots() {
    let mut now = Instant::now();
    let budget = RetryBudget::new(Duration::from_secs(10), 0.2, 1.0);
    let mut balancer = Balancer::new("a".into(), budget, Pcg64Mcg::seed_from_u64(7));
    let endpoints: Vec<_> = (0..4).map(|i| endpoint(&format!("e{i}"), "a")).collect();
    balancer.set_endpoints(now, &endpoints);
    let report = |balancer: &mut Balancer, at: Instant, id: &str, load: LoadReport| {
        let probe = Probe {
            endpoint: Arc::new(endpoint(id, "a")),
        };
        balancer.record_probe_end(at, &probe, ProbeOutcome::Reported(load));
    };
    let mut sent_to_failing = 0;
    for _ in 0..REQUESTS {
        for id in ["e1", "e2", "e3"] {
            report(&mut balancer, now, id, load(1, 0, 1.0));
        }
        now += INTERVAL;
        report(&mut balancer, now, "e0", load(0, 0, 1.0));
        let placement = balancer.place(now, &request(&[])).expect("capacity");
        let is_failing = &*placement.endpoint.id == "e0";
        let outcome = match is_failing {
            true if sent_to_failing % 2 == 0 => AttemptOutcome::Broken,
            _ => AttemptOutcome::Answered,
        };
        sent_to_failing += u32::from(is_failing);
        let ended = now + Duration::from_millis(2);
        balancer.record_attempt_end(ended, &placement, outcome, None);
    }
    assert!(
        sent_to_failing <= REQUESTS / 4,
        "{sent_to_failing} of {REQUESTS} requests went to one of four endpoints, which fails"
    );
}
