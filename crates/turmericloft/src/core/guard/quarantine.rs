//! Quarantine of requests that crash backend servers.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use super::Fingerprint;

/// Time within which two crashes with the same request in flight put it in quarantine, and time for
/// which it then stays there, in milliseconds.
const QUARANTINE_MS: u64 = 60_000;
/// Largest number of suspects, and largest number of requests in quarantine.
const MAX_ENTRIES: usize = 4_096;

/// Requests that were in flight when a backend server crashed.
///
/// A request that was in flight at the crashes of two different servers is quarantined: it is not
/// sent to any server.
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
    /// Records a crash of `server` while the request was in flight there. Returns true if this puts
    /// the request in quarantine, in which case the other gateways must be notified.
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

    /// Records that a server responded to the request, so the request did not cause the earlier
    /// crash.
    pub fn record_response(&mut self, request: &Fingerprint) {
        self.suspects.remove(request);
    }

    /// Quarantines a request, also on behalf of another gateway.
    pub fn add(&mut self, now_ms: u64, request: Fingerprint) {
        self.remove_expired(now_ms);
        if self.quarantined.len() < MAX_ENTRIES {
            self.quarantined.insert(request, now_ms + QUARANTINE_MS);
        }
    }

    /// Returns how long the request stays in quarantine; `None` if it is not there.
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
