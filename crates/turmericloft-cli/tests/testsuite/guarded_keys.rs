//! Idempotency keys that callers choose and gateways claim in the log service.

use futures_util::future::join_all;
use nix::sys::signal::Signal;
use turmericloft_standins::log_service::LogFaults;

use crate::support::{Booking, BookingResponse, Platform, runs, set_log_faults};

async fn start() -> Platform {
    let mut platform = Platform::start_gateways(3).await;
    platform.promote();
    for other in &mut platform.other_gateways {
        other.process.wait_for_line("is in force");
    }
    platform
}

async fn set_log_down(platform: &Platform, down: bool) {
    let faults = LogFaults {
        down,
        ..Default::default()
    };
    set_log_faults(platform.log_service, &faults).await;
}

async fn send(booking: &Booking, platform: &Platform, gateway: usize) -> BookingResponse {
    let response = booking.send(platform.gateways()[gateway - 1]).await;
    response.expect("the gateway responds")
}

#[tokio::test(flavor = "multi_thread")]
async fn key_sent_to_every_gateway_runs_once() {
    let platform = start().await;
    let first = Booking::with_key("k-1");
    let responses = join_all(platform.gateways().into_iter().map(|g| first.send(g))).await;
    let responses: Vec<_> = responses.into_iter().map(Option::unwrap).collect();
    assert!(responses.iter().all(|a| a.status == 200), "{responses:?}");
    assert_eq!(send(&first, &platform, 2).await, responses[0]);
    let conflict = send(&first.with_body("another party"), &platform, 3).await;
    assert_eq!(
        (conflict.status, conflict.outcome().as_str()),
        (422, "refused")
    );
    assert_eq!(runs(platform.backend, "k-1").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn claim_with_a_lost_append_response_is_settled_by_reading_the_log() {
    let platform = start().await;
    let faults = LogFaults {
        lose_answers: 2,
        ..Default::default()
    };
    set_log_faults(platform.log_service, &faults).await;
    let booking = Booking::with_key("k-2");
    for gateway in 1..=3 {
        assert_eq!(send(&booking, &platform, gateway).await.status, 200);
    }
    assert_eq!(runs(platform.backend, "k-2").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn key_not_run_during_a_log_outage_stays_not_run_at_every_gateway() {
    let platform = start().await;
    let before = Booking::with_key("before");
    assert_eq!(send(&before, &platform, 1).await.status, 200);
    let mut not_run = None;
    for number in 0.. {
        set_log_down(&platform, true).await;
        let booking = Booking::with_key(&format!("during-{number}"));
        let response = send(&booking, &platform, 2).await;
        if response.outcome() == "not-run" {
            assert_eq!(response.retry_after.as_deref(), Some("1"));
            not_run = Some(booking);
            break;
        }
        assert_eq!(response.outcome(), "unknown", "{response:?}");
        set_log_down(&platform, false).await;
        let paced = Booking::with_key(&format!("between-{number}"));
        send(&paced, &platform, 2).await;
    }
    let retried = send(&before, &platform, 3).await;
    assert_eq!(retried.status, 200, "{retried:?}");
    set_log_down(&platform, false).await;
    let not_run = not_run.unwrap();
    for gateway in 1..=3 {
        let retried = send(&not_run, &platform, gateway).await;
        assert_eq!(retried.outcome(), "not-run", "{retried:?}");
    }
    assert_eq!(runs(platform.backend, &not_run.tag).await, 0);
    assert_eq!(runs(platform.backend, "before").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn key_claimed_by_a_killed_gateway_is_unknown_and_not_run_again() {
    let mut platform = start().await;
    let booking = Booking::with_key("k-3");
    assert_eq!(send(&booking, &platform, 1).await.status, 200);
    platform.gateway.signal(Signal::SIGKILL);
    platform.gateway.wait();
    for gateway in 2..=3 {
        let retried = send(&booking, &platform, gateway).await;
        assert_eq!(retried.outcome(), "unknown", "{retried:?}");
    }
    set_log_down(&platform, true).await;
    let new = send(&Booking::with_key("k-4"), &platform, 2).await;
    assert_eq!(new.outcome(), "unknown", "{new:?}");
    assert_eq!(runs(platform.backend, "k-3").await, 1);
}
