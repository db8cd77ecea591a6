//! A gateway as a process, with a store and an endpoint in this one.

use std::{fs, time::Duration};

use bytes::Bytes;
use tempfile::TempDir;
use tokio::{sync::MutexGuard, task::yield_now, time::timeout};
use turmericloft_platform::standin::{
    GatewayHost, GatewayProcess, StandinEndpoint, StandinStore, config_with_limits, upload_head,
};

use crate::{alone, crowd::Crowd, watch::Watch};

const TURMERICLOFT: &str = env!("CARGO_BIN_EXE_turmericloft");
/// Memory of the smallest host in force, in MiB.
pub const MEMORY_MB: u64 = 112;
/// Descriptors of the host, fewer than any in force has.
pub const MAX_FDS: u64 = 400;
/// Readiness checks after which a gateway counts as one that never gets ready.
const MAX_CHECKS: usize = 20_000;
/// Round trips without any progress of a crowd after which it counts as stopped.
const QUIET_ROUND_TRIPS: usize = 400;
/// Time without an answer after which a process counts as hanging.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);
/// Time that the client of an ordinary request waits for the response, in milliseconds.
const TIMEOUT_MS: u32 = 20_000;
/// Body of an ordinary request.
const ORDINARY_BODY: [u8; 300] = [b'o'; 300];

/// A gateway with an endpoint, whose memory is watched.
pub struct Installation {
    pub gateway: GatewayProcess,
    pub endpoint: StandinEndpoint,
    watch: Watch,
    _store: StandinStore,
    _folder: TempDir,
    _alone: MutexGuard<'static, ()>,
}

impl Installation {
    /// Starts a gateway at 127.0.`subnet`.1 whose clients may send bodies of this size, and waits until it is ready.
    pub async fn start(subnet: u8, max_body_bytes: usize) -> Self {
        let alone = alone().await;
        let store = StandinStore::start().await.expect("a port");
        store.put_config(&config_with_limits(1, "/a/", "unsafe", max_body_bytes));
        let endpoint = StandinEndpoint::start("e1", 64, Duration::ZERO).await;
        let endpoint = endpoint.expect("a port");
        store.put_endpoint("e1", &endpoint.entry("s1", "a", "ready"));
        let host = GatewayHost {
            name: "n1",
            zone: "a",
            ip: [127, 0, subnet, 1].into(),
        };
        let folder = TempDir::new().expect("a folder");
        let file = folder.path().join("n1.yaml");
        let settings = host.limited_settings(store.address(), MEMORY_MB, MAX_FDS);
        fs::write(&file, settings).expect("written");
        let gateway = GatewayProcess::start(TURMERICLOFT.as_ref(), host, &file);
        let gateway = gateway.expect("it starts");
        for _ in 0..MAX_CHECKS {
            if gateway.is_ready().await {
                break;
            }
            yield_now().await;
        }
        assert!(gateway.is_ready().await, "the gateway never got ready");
        Self {
            watch: Watch::start(gateway.id()),
            gateway,
            endpoint,
            _store: store,
            _folder: folder,
            _alone: alone,
        }
    }

    /// Sets the size of the endpoint's responses.
    pub fn set_response(&self, bytes: usize) {
        self.endpoint.set_body(Bytes::from(vec![b'r'; bytes]));
    }

    /// Waits until the clients of `crowd` have sent all that they send, or get on no further.
    pub async fn wait_until_stopped(&mut self, crowd: &Crowd) {
        let mut quiet = 0;
        let mut sent = 0;
        while !crowd.is_done() && quiet < QUIET_ROUND_TRIPS {
            let is_ready = timeout(HANG_TIMEOUT, self.gateway.is_ready()).await;
            assert!(is_ready.is_ok(), "the gateway hangs");
            let now = crowd.sent_bytes();
            let is_quiet = crowd.has_connected() && now == sent;
            quiet = if is_quiet { quiet + 1 } else { 0 };
            sent = now;
            if !self.gateway.is_running() {
                return;
            }
        }
    }

    /// Checks that the process runs, that its memory and descriptors have stayed within its host's, and that it answers
    /// an ordinary request, first beside the crowd and then without it.
    pub async fn assert_withstands(&mut self, crowd: Crowd) {
        self.wait_until_stopped(&crowd).await;
        self.assert_well("beside the crowd").await;
        crowd.leave();
        self.assert_well("after the crowd").await;
    }

    /// Checks the process, and that it answers an ordinary request.
    pub async fn assert_well(&mut self, when: &str) {
        assert!(self.gateway.is_running(), "{when}: the process has ended");
        let framing = format!("Content-Length: {}", ORDINARY_BODY.len());
        let head = upload_head("/a/1", "ordinary", TIMEOUT_MS, &framing);
        let request = [head.as_bytes(), &ORDINARY_BODY].concat();
        let answered = timeout(HANG_TIMEOUT, self.gateway.call(&request)).await;
        let status = answered.ok().flatten().map(|r| r.status);
        assert_eq!(status, Some(200), "{when}: answer to an ordinary request");
        self.watch.wait_for_look().await;
        let descriptors = self.watch.most_descriptors();
        assert!(descriptors <= MAX_FDS, "{when}: {descriptors} descriptors");
        let mib = self.watch.most_memory() >> 20;
        assert!(mib <= MEMORY_MB, "{when}: {mib} MiB");
    }
}
