//! Requests that run for most of their time at a helper.

use std::{collections::HashSet, time::Duration};

use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

use super::{super::client::Client, block_on, fleet::Fleet, link::Cut};

/// Time for which a client waits.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time between two requests at one gateway.
const PERIOD: Duration = Duration::from_millis(107);
/// Time after the cut from which on the bounds hold.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);

/// What is played.
#[derive(Clone, Copy, Debug)]
struct Case {
    net: u8,
    gateways: usize,
    cut_off: usize,
    cut: Cut,
    max_attempts: u32,
    /// How many of four requests are long.
    long_of_four: usize,
    /// How long these run, beside what a response takes.
    long_ms: u64,
}

/// A first try of a client.
#[derive(Clone, Debug)]
struct Try {
    id: String,
    gateway: usize,
    sent_at: Instant,
    status: Option<u16>,
}

async fn call(
    fleet: &Fleet,
    gateway: usize,
    id: &str,
    ms: u64,
) -> impl Future<Output = Option<u16>> + use<> {
    let mut client = Client::connect(fleet.gateways[gateway].clients).await;
    let left = CLIENT_TIMEOUT.as_millis();
    let text = format!(
        "GET /read/{id}?ms={ms} HTTP/1.1\r\nHost: h\r\nId: {id}\r\nLeft-Ms: {left}\r\n\r\n"
    );
    client.send(&text).await;
    async move { Some(client.response().await?.status) }
}

/// Sends requests to all gateways for `length`, and waits for their responses.
async fn send_requests(fleet: &Fleet, case: Case, length: Duration) -> Vec<Try> {
    let mut running = JoinSet::new();
    let end = Instant::now() + length;
    let mut n = 0;
    while Instant::now() < end {
        for gateway in 0..case.gateways {
            let id = format!("{gateway}-{n}");
            let ms = if n % 4 < case.long_of_four {
                case.long_ms
            } else {
                0
            };
            let sent_at = Instant::now();
            let response = call(fleet, gateway, &id, ms).await;
            running.spawn(async move {
                let status = response.await;
                Try {
                    id,
                    gateway,
                    sent_at,
                    status,
                }
            });
        }
        n += 1;
        sleep(PERIOD).await;
    }
    running.join_all().await
}

async fn check(case: Case) {
    let fleet = Fleet::start(case.net, case.gateways, 6).await;
    for gateway in &fleet.gateways {
        gateway.set_max_attempts(case.max_attempts);
    }
    sleep(Duration::from_millis(100)).await;
    let cut_off: HashSet<_> = (0..case.cut_off).collect();
    let cut_at = Instant::now() + Duration::from_secs(1);
    let cutting = async {
        sleep_until(cut_at).await;
        cut_off
            .iter()
            .for_each(|i| fleet.gateways[*i].cut(case.cut));
    };
    let sending = send_requests(&fleet, case, Duration::from_secs(11));
    let (tries, ()) = tokio::join!(sending, cutting);
    let counted = tries
        .iter()
        .filter(|t| t.sent_at >= cut_at + STABILITY_WINDOW);
    let (there, elsewhere): (Vec<_>, Vec<_>) = counted.partition(|t| cut_off.contains(&t.gateway));
    let served = |tries: &[&Try]| tries.iter().filter(|t| t.status == Some(200)).count();
    let (served_there, served_elsewhere) = (served(&there), served(&elsewhere));
    let (all_there, all_elsewhere) = (there.len(), elsewhere.len());
    for t in &tries {
        let runs = fleet.runs(&t.id);
        assert!(
            runs <= case.max_attempts as usize,
            "{case:?}: {t:?} ran {runs} times"
        );
    }
    assert!(
        3 * served_there * all_elsewhere >= 2 * served_elsewhere * all_there,
        "{case:?}: {served_there} of {all_there} there, {served_elsewhere} of {all_elsewhere} elsewhere"
    );
}

/// A helper that waits for a long run was taken for a failed one, and left out for all requests.
#[test]
fn first_tries_at_a_cut_off_gateway_are_served_although_many_run_for_most_of_their_time() {
    for cut in [Cut::Hang, Cut::Reset] {
        for max_attempts in [1, 2, 3] {
            for (long_of_four, long_ms) in [(1, 380), (1, 700), (2, 700), (4, 700)] {
                let case = Case {
                    net: 44,
                    gateways: 3,
                    cut_off: 1,
                    cut,
                    max_attempts,
                    long_of_four,
                    long_ms,
                };
                block_on(check(case));
            }
        }
    }
}

/// The same with two gateways that are cut off: each has the other one among its helpers.
#[test]
fn first_tries_at_two_cut_off_gateways_are_served_although_many_run_for_most_of_their_time() {
    for cut in [Cut::Hang, Cut::Reset] {
        for max_attempts in [1, 2] {
            let case = Case {
                net: 45,
                gateways: 5,
                cut_off: 2,
                cut,
                max_attempts,
                long_of_four: 2,
                long_ms: 700,
            };
            block_on(check(case));
        }
    }
}
