//! Gateways beside a store whose lists hold names of another writer, on more than two pages.

use std::{cell::Cell, fs, time::Duration};

use tempfile::TempDir;
use turmericloft_platform::standin::{
    GatewayHost, GatewayProcess, StandinEndpoint, StandinStore, TOPICS, idempotent_config,
    idempotent_request,
};

use crate::support::eventually;

const TURMERICLOFT: &str = env!("CARGO_BIN_EXE_turmericloft");

const ENDPOINTS: usize = 6;
/// Entries of the other writer in each topic. They sort before those of endpoints and gateways.
const ODD_ENTRIES: usize = 1_030;
const REQUESTS: usize = 40;

/// Two gateways with their store and endpoints.
struct Zone {
    store: StandinStore,
    endpoints: Vec<StandinEndpoint>,
    gateways: Vec<GatewayProcess>,
    _folder: TempDir,
}

impl Zone {
    /// Starts a store with odd entries whose names hold `part`, and then all others.
    async fn start(subnet: u8, part: &str) -> Self {
        let store = StandinStore::start().await.expect("a port");
        for topic in TOPICS {
            for n in 0..ODD_ENTRIES {
                store.put(topic, &format!("A{part}{n:04}"), b"odd");
            }
        }
        store.put_config(&idempotent_config(1, "/a/"));
        let mut endpoints = Vec::new();
        for n in 0..ENDPOINTS {
            let id = format!("i-{n}");
            let endpoint = StandinEndpoint::start(&id, 4, Duration::ZERO).await;
            let endpoint = endpoint.expect("a port");
            store.put_endpoint(&id, &endpoint.entry("s1", "a", "ready"));
            endpoints.push(endpoint);
        }
        // Only the lists have what was written so far.
        TOPICS.iter().for_each(|topic| store.delete_history(topic));
        let folder = TempDir::new().expect("a folder");
        let gateways = (1..=2).map(|n| {
            let host = GatewayHost {
                name: ["g1", "g2"][n - 1],
                zone: "a",
                ip: [127, 0, subnet, n as u8].into(),
            };
            let file = folder.path().join(host.name);
            fs::write(&file, host.settings(store.address())).expect("written");
            GatewayProcess::start(TURMERICLOFT.as_ref(), host, &file).expect("it starts")
        });
        Self {
            gateways: gateways.collect(),
            store,
            endpoints,
            _folder: folder,
        }
    }

    /// Sends requests to each gateway once it is ready; all have to be served.
    async fn assert_serves(&self, part: &str) {
        for gateway in &self.gateways {
            eventually(async || gateway.is_ready().await.then_some(())).await;
            for n in 0..REQUESTS {
                let request = idempotent_request("/a/1", &format!("r{n}"));
                let response = gateway.call(request.as_bytes()).await;
                assert_eq!(
                    response.map(|r| r.status),
                    Some(200),
                    "{part:?}, request {n}"
                );
            }
        }
    }
}

async fn assert_odd_names_are_harmless(subnet: u8, parts: &[&str]) {
    for part in parts {
        let mut zone = Zone::start(subnet, part).await;
        zone.assert_serves(part).await;

        // An entry that comes while the gateways run.
        for topic in TOPICS {
            zone.store.put(topic, &format!("B{part}"), b"odd");
        }
        for (n, endpoint) in zone.endpoints.iter().enumerate().skip(1) {
            let entry = endpoint.entry("s1", "a", "draining");
            zone.store.put_endpoint(&format!("i-{n}"), &entry);
        }
        let last = zone.endpoints[0].clone();
        for gateway in &zone.gateways {
            // Requests in a row that go to the only endpoint that is left.
            let alone = Cell::new(0);
            eventually(async || {
                let before = last.executed().len();
                let request = idempotent_request("/a/1", "again");
                let response = gateway.call(request.as_bytes()).await?;
                assert_eq!(response.status, 200, "{part:?}");
                let is_alone = last.executed().len() > before;
                alone.set(if is_alone { alone.get() + 1 } else { 0 });
                (alone.get() == REQUESTS).then_some(())
            })
            .await;
        }

        for gateway in &mut zone.gateways {
            gateway.restart().expect("it starts");
        }
        zone.assert_serves(part).await;
    }
}

/// Guards against a gateway that reads a list wrongly, and never becomes ready, because of a name in it.
#[tokio::test(flavor = "multi_thread")]
async fn names_with_a_meaning_in_a_query_keep_no_gateway_from_serving() {
    assert_odd_names_are_harmless(40, &["&", "+", "#", "%", " "]).await;
}

/// The same with further names.
#[tokio::test(flavor = "multi_thread")]
async fn other_odd_names_keep_no_gateway_from_serving() {
    assert_odd_names_are_harmless(41, &["=", "?", "/", "\u{e9}", "%41", "\r\n"]).await;
}
