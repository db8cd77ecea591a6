//! The clock that counts suspensions of the host.

use std::time::Duration;

use tokio::time::{advance, pause};
use turmericloft::util::host_clock::HostClock;

const LONG: Duration = Duration::from_secs(3_600);

#[tokio::test]
async fn time_of_a_suspension_counts() {
    pause();
    let clock = HostClock::simulated();
    let before = clock.now();
    advance(Duration::from_secs(2)).await;
    clock.suspend(Duration::from_secs(5));
    assert_eq!(clock.now() - before, Duration::from_secs(7));
}

#[tokio::test]
async fn wait_ends_when_the_host_resumes_after_its_end() {
    let clock = HostClock::simulated();
    let at = clock.now() + LONG;
    let waiting = tokio::spawn({
        let clock = clock.clone();
        async move { clock.sleep_until(at).await }
    });
    let watching = tokio::spawn({
        let clock = clock.clone();
        async move { clock.watch_suspensions().await }
    });
    clock.suspend(2 * LONG);
    waiting.await.expect("no panic");
    watching.abort();
}

#[tokio::test]
async fn wait_goes_on_when_the_host_resumes_before_its_end() {
    pause();
    let clock = HostClock::simulated();
    let at = clock.now() + LONG;
    clock.suspend(LONG / 2);
    clock.sleep_until(at).await;
    assert!(clock.now() >= at);
}

#[tokio::test]
async fn clock_of_this_host_goes_on() {
    let clock = HostClock::system();
    let before = clock.now();
    assert!(clock.now() >= before);
}
