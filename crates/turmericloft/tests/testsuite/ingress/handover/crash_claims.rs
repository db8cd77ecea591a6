//! Connections that end may show a crash of the endpoint or a fault of the network: what each of the two errors costs.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use tokio::time::sleep;
use turmericloft::core::{
    guard::Fingerprint,
    quarantine::{Crash, SendDecision},
};

use super::{
    super::{
        client::Client,
        endpoint::{Behaviour, Script},
    },
    block_on,
    fleet::{Fleet, FleetGateway},
    link::Cut,
};

/// Time within which gateways have to take part again after a disruption.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);

async fn call(gateway: &FleetGateway, method: &str, path: &str, id: &str) -> u16 {
    let mut client = Client::connect(gateway.clients).await;
    client.call(method, path, id).await.status
}

/// All endpoints are down after a request has crashed them, which looks like a cut: it was sent again to the next
/// incarnations, without end.
#[test]
fn request_that_crashed_all_endpoints_is_not_sent_to_their_next_incarnations() {
    for (net, cut) in [(40, Cut::Reset), (41, Cut::Hang)] {
        block_on(async {
            let script = Script::new(&[], Behaviour::RunAndClose);
            let fleet = Fleet::start_with_script(net, 1, 2, &script).await;
            let gateway = &fleet.gateways[0];
            sleep(Duration::from_millis(100)).await;
            for _ in 0..3 {
                assert_eq!(call(gateway, "POST", "/act/1", "deadly").await, 502);
            }
            gateway.cut(cut);
            for first in [2, 4, 6] {
                sleep(STABILITY_WINDOW).await;
                assert_eq!(
                    call(gateway, "POST", "/act/1", "deadly").await,
                    503,
                    "{cut:?}"
                );
                let numbers = first..first + 2;
                for (number, endpoint) in numbers.clone().zip(&fleet.endpoints) {
                    endpoint.set_instance(&format!("e{number}"));
                }
                gateway.restart_endpoints(numbers);
                gateway.cut(Cut::None);
                sleep(STABILITY_WINDOW).await;
                assert_eq!(
                    call(gateway, "POST", "/act/1", "deadly").await,
                    503,
                    "{cut:?}"
                );
                gateway.cut(cut);
            }
            assert_eq!(fleet.runs("deadly"), 3, "{cut:?}");
        });
    }
}

/// Endpoints reset connections for a moment and do not end: all clients use one path, which was refused for a minute.
#[test]
fn path_whose_connections_were_reset_is_served_again_once_the_endpoints_are_heard() {
    block_on(async {
        let script = Script::new(&[Behaviour::RunAndClose; 12], Behaviour::Respond);
        let fleet = Fleet::start_with_script(42, 1, 4, &script).await;
        let gateway = &fleet.gateways[0];
        sleep(Duration::from_millis(100)).await;
        let mut statuses = Vec::new();
        for n in 0..12 {
            statuses.push(call(gateway, "POST", "/act/1", &format!("before{n}")).await);
            sleep(Duration::from_millis(300)).await;
        }
        assert!(statuses.contains(&502), "{statuses:?}");
        // The rest of the resets.
        for n in 0..12 {
            call(gateway, "POST", &format!("/act/other{n}"), "other").await;
        }
        sleep(STABILITY_WINDOW).await;
        for n in 0..4 {
            let status = call(gateway, "POST", "/act/1", &format!("after{n}")).await;
            assert_eq!(status, 200, "{n}");
        }
    });
}

/// The connections of all gateways are reset for some seconds, and all clients use one path.
#[test]
fn path_of_all_clients_is_served_again_after_all_gateways_were_cut_off() {
    for (net, cut) in [(46, Cut::ResetAtRequest), (47, Cut::Reset), (48, Cut::Hang)] {
        block_on(async {
            let fleet = Fleet::start(net, 3, 6).await;
            sleep(Duration::from_millis(100)).await;
            send_to_all(&fleet, "before", Duration::from_secs(2)).await;
            fleet.gateways.iter().for_each(|gateway| gateway.cut(cut));
            send_to_all(&fleet, "during", Duration::from_secs(4)).await;
            fleet
                .gateways
                .iter()
                .for_each(|gateway| gateway.cut(Cut::None));
            send_to_all(&fleet, "just after", STABILITY_WINDOW).await;
            let statuses = send_to_all(&fleet, "after", Duration::from_secs(4)).await;
            assert!(
                statuses.iter().all(|status| *status == 200),
                "{cut:?}: {statuses:?}"
            );
        });
    }
}

/// Sends requests with the same path to all gateways, which tell each other of crashes. Returns the statuses.
async fn send_to_all(fleet: &Fleet, name: &str, length: Duration) -> Vec<u16> {
    const PERIOD: Duration = Duration::from_millis(110);
    let rounds = length.div_duration_f64(PERIOD) as u32;
    let mut calls = Vec::new();
    for n in 0..rounds {
        for (i, gateway) in fleet.gateways.iter().enumerate() {
            let id = format!("{name}-{i}-{n}");
            calls.push(async move {
                sleep(PERIOD * n).await;
                call(gateway, "POST", "/act/1", &id).await
            });
        }
    }
    let sharing = async {
        loop {
            share_crashes(fleet);
            sleep(PERIOD).await;
        }
    };
    tokio::select! {
        statuses = join_all(calls) => statuses,
        () = sharing => unreachable!("it has no end"),
    }
}

/// Tells all gateways what each of them knows of crashes.
fn share_crashes(fleet: &Fleet) {
    let now = tokio::time::Instant::now().into_std();
    for from in &fleet.gateways {
        for to in &fleet.gateways {
            let reports = from.quarantine.reports_since(now, 0);
            to.quarantine.merge(now, reports.reports);
        }
    }
}

/// A gateway that was cut off made all others forget crashes that they had seen themselves.
#[test]
fn gateway_that_is_cut_off_does_not_erase_the_crashes_that_others_saw() {
    block_on(async {
        let fleet = Fleet::start(43, 2, 4).await;
        let [seeing, cut_off] = &fleet.gateways[..] else {
            panic!("two gateways");
        };
        sleep(Duration::from_millis(100)).await;
        cut_off.cut(Cut::Reset);
        let request = Fingerprint::of("h", "POST", "/act/deadly", b"");
        let start = Instant::now();
        for n in 0..3 {
            let at = start + Duration::from_millis(n);
            let crash = Crash {
                endpoint: format!("gone{n}").into(),
                sent_at: at,
                at,
            };
            seeing.quarantine.record_crash(at, request, crash);
        }
        let reports = seeing.quarantine.reports_since(start, 0);
        cut_off.quarantine.merge(start, reports.reports);
        sleep(STABILITY_WINDOW).await;
        let now = start + STABILITY_WINDOW;
        let reports = cut_off.quarantine.reports_since(now, 0);
        seeing.quarantine.merge(now, reports.reports);
        for gateway in [seeing, cut_off] {
            let decision = gateway.quarantine.decide(now, &request);
            assert!(
                matches!(decision, SendDecision::Refused { .. }),
                "{decision:?}"
            );
        }
    });
}
