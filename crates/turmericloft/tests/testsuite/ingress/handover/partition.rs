//! A third of the gateways, or a zone, cut off from all endpoints while clients go on.

use std::{net::SocketAddr, time::Duration};

use bytes::BytesMut;
use strum::IntoEnumIterator;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{Instant, sleep},
};
use turmericloft::sources::http1::{ResponseLimits, ResponseReader};

use super::{block_on, fleet::Fleet, link::Cut};

const GATEWAYS: usize = 9;
const ENDPOINTS: usize = 12;
/// Time between two requests at one gateway: 924 requests a second at 99 gateways.
const PERIOD: Duration = Duration::from_millis(107);
/// Time after the cut from which on the bounds hold.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Time for which a client waits for a response.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);

/// A first try of a client, and the status it got; `None` without a response.
#[derive(Clone, Debug)]
struct Try {
    id: String,
    gateway: usize,
    sent_at: Instant,
    is_idempotent: bool,
    status: Option<u16>,
}

async fn call(gateway: SocketAddr, method: &str, path: &str, id: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(gateway).await.ok()?;
    let left = CLIENT_TIMEOUT.as_millis();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: h\r\nId: {id}\r\nLeft-Ms: {left}\r\nContent-Length: 4\r\n\r\nbody"
    );
    stream.write_all(text.as_bytes()).await.ok()?;
    let limits = ResponseLimits {
        body_bytes: 1 << 16,
        memory: None,
    };
    let mut reader = ResponseReader::new(method.as_bytes(), limits);
    let mut buf = BytesMut::new();
    loop {
        if let Some(response) = reader.next(&mut buf).expect("well-formed") {
            assert!(!response.headers.contains("X-Handover"));
            return Some(response.status);
        }
        let n = stream.read_buf(&mut buf).await.ok()?;
        if n == 0 {
            return None;
        }
    }
}

/// Sends requests to all gateways for `length`, and waits for their responses.
async fn send_requests(fleet: &Fleet, name: &str, length: Duration) -> Vec<Try> {
    let mut running = JoinSet::new();
    let end = Instant::now() + length;
    let mut n = 0;
    while Instant::now() < end {
        for (gateway, front) in fleet.gateways.iter().enumerate() {
            let front = front.clients;
            let is_idempotent = (n + gateway).is_multiple_of(2);
            let id = format!("{name}-{gateway}-{n}");
            running.spawn(async move {
                let sent_at = Instant::now();
                let (method, path) = match is_idempotent {
                    true => ("PUT", "/read/1"),
                    false => ("POST", "/act/1"),
                };
                let status = call(front, method, path, &id).await;
                Try {
                    id,
                    gateway,
                    sent_at,
                    is_idempotent,
                    status,
                }
            });
        }
        n += 1;
        sleep(PERIOD).await;
    }
    running.join_all().await
}

/// Checks what holds for every request at any time.
fn check_runs(fleet: &Fleet, tries: &[Try], case: &str) {
    for t in tries {
        let runs = fleet.runs(&t.id);
        assert!(
            t.is_idempotent || runs <= 1,
            "{case}: {t:?} ran {runs} times"
        );
        if !t.is_idempotent && t.status == Some(503) {
            assert_eq!(runs, 0, "{case}: {t:?} was rejected and has run");
        }
        if t.status == Some(200) {
            assert!(runs >= 1, "{case}: {t:?} has not run");
        }
    }
}

/// Ids and statuses of the requests that were not served.
fn unserved(tries: &[Try]) -> Vec<(&str, Option<u16>)> {
    let unserved = tries.iter().filter(|t| t.status != Some(200));
    unserved.map(|t| (t.id.as_str(), t.status)).collect()
}

/// Cuts gateways off and checks the first tries there against those at the others.
async fn check_partition(net: u8, cut: Cut, is_cut_off: impl Fn(usize) -> bool) {
    let case = format!("{cut:?}");
    let fleet = Fleet::start(net, GATEWAYS, ENDPOINTS).await;
    let before = send_requests(&fleet, "before", Duration::from_secs(4)).await;
    assert_eq!(unserved(&before), [], "{case}: before the cut");
    let cut_off = fleet.gateways.iter().enumerate();
    let cut_off: Vec<_> = cut_off.filter(|(i, _)| is_cut_off(*i)).collect();
    cut_off.iter().for_each(|(_, gateway)| gateway.cut(cut));
    let cut_at = Instant::now();
    let during = send_requests(&fleet, "during", Duration::from_secs(9)).await;
    check_runs(&fleet, &during, &case);
    let counted = during
        .iter()
        .filter(|t| t.sent_at >= cut_at + STABILITY_WINDOW);
    let (there, elsewhere): (Vec<_>, Vec<_>) = counted.partition(|t| is_cut_off(t.gateway));
    let served = |tries: &[&Try]| {
        let served = tries.iter().filter(|t| t.status == Some(200)).count();
        (served, tries.len())
    };
    let (served_there, all_there) = served(&there);
    let (served_elsewhere, all_elsewhere) = served(&elsewhere);
    assert!(
        3 * served_there * all_elsewhere >= 2 * served_elsewhere * all_there,
        "{case}: {served_there} of {all_there} there, {served_elsewhere} of {all_elsewhere} elsewhere"
    );
    let failed = all_there - served_there;
    assert!(
        50 * failed <= 50 * 10 + all_there,
        "{case}: {failed} of {all_there} failed"
    );
    let failed_elsewhere = all_elsewhere - served_elsewhere;
    assert!(
        50 * failed_elsewhere <= all_elsewhere,
        "{case}: {failed_elsewhere} failed elsewhere"
    );
    cut_off
        .iter()
        .for_each(|(_, gateway)| gateway.cut(Cut::None));
    sleep(STABILITY_WINDOW).await;
    let after = send_requests(&fleet, "after", Duration::from_secs(2)).await;
    check_runs(&fleet, &after, &case);
    assert_eq!(unserved(&after), [], "{case}: after the cut");
}

/// Requests of clients fail at gateways that cannot reach endpoints, although others could serve them.
#[test]
fn requests_at_a_third_of_the_gateways_are_served_while_these_are_cut_off() {
    for (net, cut) in Cut::iter().filter(|cut| *cut != Cut::None).enumerate() {
        block_on(check_partition(net as u8, cut, |i| i / 3 == 0));
    }
}

/// All helpers are in other zones then.
#[test]
fn requests_in_a_zone_are_served_while_all_its_gateways_are_cut_off() {
    for (net, cut) in Cut::iter().filter(|cut| *cut != Cut::None).enumerate() {
        block_on(check_partition(10 + net as u8, cut, |i| {
            i.is_multiple_of(3)
        }));
    }
}

/// When all endpoints of the only service are down, no gateway can help, and requests end with a promise that
/// they have not run, in time.
#[test]
fn requests_are_rejected_once_while_all_gateways_are_cut_off() {
    block_on(async {
        let fleet = Fleet::start(20, 5, 4).await;
        send_requests(&fleet, "before", Duration::from_secs(1)).await;
        fleet
            .gateways
            .iter()
            .for_each(|gateway| gateway.cut(Cut::Reset));
        sleep(STABILITY_WINDOW).await;
        let during = send_requests(&fleet, "during", Duration::from_secs(3)).await;
        check_runs(&fleet, &during, "all");
        let other: Vec<_> = during.iter().filter(|t| t.status != Some(503)).collect();
        assert!(other.is_empty(), "{other:?}");
        fleet
            .gateways
            .iter()
            .for_each(|gateway| gateway.cut(Cut::None));
        sleep(STABILITY_WINDOW).await;
        let after = send_requests(&fleet, "after", Duration::from_secs(1)).await;
        assert_eq!(unserved(&after), []);
    });
}

/// Requests in flight when the connections begin to hang would all end only at their deadlines. One that runs at
/// most once must not be sent again.
#[test]
fn idempotent_request_in_flight_is_handed_over_when_the_cut_is_noticed() {
    block_on(async {
        let fleet = Fleet::start(23, 3, ENDPOINTS).await;
        send_requests(&fleet, "before", Duration::from_secs(2)).await;
        let front = fleet.gateways[0].clients;
        let read = tokio::spawn(call(front, "PUT", "/read/1", "read"));
        let act = tokio::spawn(call(front, "POST", "/act/1", "act"));
        sleep(Duration::from_millis(60)).await;
        fleet.gateways[0].cut(Cut::Hang);
        assert_eq!(read.await.expect("no panic"), Some(200));
        assert_eq!(act.await.expect("no panic"), Some(504));
        assert_eq!(fleet.runs("act"), 1);
    });
}
