//! Callers' own keys, claimed in the log service.

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

async fn log_down(platform: &Platform, down: bool) {
    let faults = LogFaults {
        down,
        ..Default::default()
    };
    set_log_faults(platform.log_service, &faults).await;
}

async fn send(booking: &Booking, platform: &Platform, gateway: usize) -> BookingResponse {
    let answer = booking.send(platform.gateways()[gateway - 1]).await;
    answer.expect("the gateway answers")
}

#[tokio::test(flavor = "multi_thread")]
async fn key_runs_once_whichever_gateway_gets_its_copies() {
    let platform = start().await;
    let first = Booking::with_key("k-1");
    let answers = join_all(platform.gateways().into_iter().map(|g| first.send(g))).await;
    let answers: Vec<_> = answers.into_iter().map(Option::unwrap).collect();
    assert!(answers.iter().all(|a| a.status == 200), "{answers:?}");
    assert_eq!(send(&first, &platform, 2).await, answers[0]);
    let conflict = send(&first.with_body("another party"), &platform, 3).await;
    assert_eq!(
        (conflict.status, conflict.outcome().as_str()),
        (422, "refused")
    );
    assert_eq!(runs(platform.backend, "k-1").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_of_an_append_is_settled_by_reading_back() {
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
async fn new_key_is_not_run_during_an_outage_and_stays_so_everywhere() {
    let platform = start().await;
    let before = Booking::with_key("before");
    assert_eq!(send(&before, &platform, 1).await.status, 200);
    let mut given_up = None;
    for number in 0.. {
        log_down(&platform, true).await;
        let booking = Booking::with_key(&format!("during-{number}"));
        let answer = send(&booking, &platform, 2).await;
        if answer.outcome() == "not-run" {
            assert_eq!(answer.retry_after.as_deref(), Some("1"));
            given_up = Some(booking);
            break;
        }
        assert_eq!(answer.outcome(), "unknown", "{answer:?}");
        log_down(&platform, false).await;
        let paced = Booking::with_key(&format!("between-{number}"));
        send(&paced, &platform, 2).await;
    }
    let kept = send(&before, &platform, 3).await;
    assert_eq!(kept.status, 200, "{kept:?}");
    log_down(&platform, false).await;
    let given_up = given_up.unwrap();
    for gateway in 1..=3 {
        let again = send(&given_up, &platform, gateway).await;
        assert_eq!(again.outcome(), "not-run", "{again:?}");
    }
    assert_eq!(runs(platform.backend, &given_up.tag).await, 0);
    assert_eq!(runs(platform.backend, "before").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn key_of_a_killed_holder_is_unknown_and_not_run_again() {
    let mut platform = start().await;
    let booking = Booking::with_key("k-3");
    assert_eq!(send(&booking, &platform, 1).await.status, 200);
    platform.gateway.signal(Signal::SIGKILL);
    platform.gateway.wait();
    for gateway in 2..=3 {
        let again = send(&booking, &platform, gateway).await;
        assert_eq!(again.outcome(), "unknown", "{again:?}");
    }
    log_down(&platform, true).await;
    let new = send(&Booking::with_key("k-4"), &platform, 2).await;
    assert_eq!(new.outcome(), "unknown", "{new:?}");
    assert_eq!(runs(platform.backend, "k-3").await, 1);
}
