//! Requests that crash backend servers.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use super::Fingerprint;

/// Time between two crashes by one request within which they count together, and time for which a
/// request is then kept from all backend servers, in milliseconds.
const QUARANTINE_MS: u64 = 60_000;
/// Requests remembered for one crash, and requests held.
const MAX_ENTRIES: usize = 4_096;

/// Requests that were in flight when backend servers crashed. One that crashed two different ones
/// is held: it is sent to none.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    quarantined: HashMap<Fingerprint, u64>,
}

#[derive(Debug)]
struct Suspect {
    server: SocketAddr,
    until_ms: u64,
}

impl Quarantine {
    /// Takes the crash of `server` while it had the request. True if the request is held from now
    /// on and the other gateways have to be told.
    pub fn record_crash(&mut self, now_ms: u64, request: Fingerprint, server: SocketAddr) -> bool {
        self.remove_expired(now_ms);
        if self
            .suspects
            .get(&request)
            .is_some_and(|s| s.server != server)
        {
            self.suspects.remove(&request);
            self.add(now_ms, request);
            return true;
        }
        if self.suspects.len() < MAX_ENTRIES {
            let until_ms = now_ms + QUARANTINE_MS;
            self.suspects.insert(request, Suspect { server, until_ms });
        }
        false
    }

    /// The request was answered, so an earlier crash was not its doing.
    pub fn record_response(&mut self, request: &Fingerprint) {
        self.suspects.remove(request);
    }

    /// Holds a request, as another gateway has found.
    pub fn add(&mut self, now_ms: u64, request: Fingerprint) {
        self.remove_expired(now_ms);
        if self.quarantined.len() < MAX_ENTRIES {
            self.quarantined.insert(request, now_ms + QUARANTINE_MS);
        }
    }

    /// How long the request is still held; `None` if it is not.
    pub fn remaining(&self, now_ms: u64, request: &Fingerprint) -> Option<Duration> {
        let until_ms = self.quarantined.get(request)?;
        let left_ms = until_ms.checked_sub(now_ms).filter(|ms| *ms > 0)?;
        Some(Duration::from_millis(left_ms))
    }

    fn remove_expired(&mut self, now_ms: u64) {
        self.suspects.retain(|_, s| s.until_ms > now_ms);
        self.quarantined.retain(|_, until_ms| *until_ms > now_ms);
    }
}
