//! Evacuations on relay connections.

use turmericloft::{
    core::{evacuation::ZoneRecord, placement::EndpointState},
    ops::relay::RelayHub,
};

use super::{at, list, record};
use crate::relay::connections::{apply_record, follower, upstream};

async fn wait_for_zones(hub: &RelayHub, wanted: &[&str]) {
    let mut evacuated = hub.evacuation().subscribe();
    let received =
        evacuated.wait_for(|zones| zones.names().map(|z| &**z).eq(wanted.iter().copied()));
    received.await.expect("the hub exists");
}

fn evacuate(hub: &RelayHub, offset: u64, is_evacuated: bool) {
    let records: Vec<ZoneRecord> = vec![record("b", at(0, offset), is_evacuated)];
    hub.evacuation().apply_records(at(0, offset + 1), records);
}

/// Guards against a follower that learns of an evacuation only with the next change of the endpoints, which may be
/// later than the evacuation has to be complete.
#[tokio::test(start_paused = true)]
async fn follower_learns_at_once_of_evacuations_and_their_ends() {
    let upstream = upstream().await;
    let follower = follower(upstream.address);
    apply_record(&upstream.hub, 0, "e1", EndpointState::Ready);
    follower.wait_until_relay_fresh().await;
    let started = tokio::time::Instant::now();
    for (offset, zones) in [(0, &["b"][..]), (1, &[]), (2, &["b"])] {
        evacuate(&upstream.hub, offset, offset != 1);
        wait_for_zones(&follower, zones).await;
    }
    // Time passes only when all tasks wait, for instance for the idle response to a poll.
    assert!(started.elapsed() < upstream.hub.timings().idle_response_after());
}

/// Guards against a follower whose document counts as confirmed although it lacks an evacuation that was read with
/// it: nobody would read it again.
#[tokio::test(start_paused = true)]
async fn follower_has_the_zones_that_were_read_before_a_confirmation() {
    let upstream = upstream().await;
    let follower = follower(upstream.address);
    apply_record(&upstream.hub, 0, "e1", EndpointState::Ready);
    follower.wait_until_relay_fresh().await;
    for offset in 0..20 {
        let is_evacuated = offset % 2 == 0;
        let read_started = upstream.hub.clock().now();
        evacuate(&upstream.hub, offset, is_evacuated);
        upstream.hub.document().confirm(read_started);
        while follower
            .document()
            .age()
            .is_none_or(|age| follower.clock().now().checked_sub(age) < Some(read_started))
        {
            tokio::time::sleep(std::time::Duration::from_micros(100)).await;
        }
        let zones = follower.evacuation().subscribe();
        assert_eq!(zones.borrow().contains("b"), is_evacuated, "{offset}");
    }
}

/// Guards against a gateway that starts while a zone is evacuated and follows another one from the beginning.
#[tokio::test]
async fn starting_follower_learns_of_an_older_evacuation() {
    let upstream = upstream().await;
    let zones = vec![record("b", at(0, 0), true)];
    upstream
        .hub
        .evacuation()
        .apply_list(1, list(at(0, 1), zones));
    let follower = follower(upstream.address);
    apply_record(&upstream.hub, 0, "e1", EndpointState::Ready);
    wait_for_zones(&follower, &["b"]).await;
}

/// Guards against an evacuation that never ends, or ends at once, when the store has returned from an older copy.
#[tokio::test(start_paused = true)]
async fn retention_after_a_new_era_ends_without_a_record() {
    let hub = RelayHub::new(crate::relay::timings());
    evacuate(&hub, 0, true);
    tokio::spawn({
        let hub = std::sync::Arc::clone(&hub);
        async move { hub.run_expiry().await }
    });
    hub.evacuation().apply_list(1, list(at(1, 1), Vec::new()));
    tokio::task::yield_now().await;
    assert!(hub.evacuation().subscribe().borrow().contains("b"));
    wait_for_zones(&hub, &[]).await;
}
