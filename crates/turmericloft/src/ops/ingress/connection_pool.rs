//! Idle connections to endpoints.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use parking_lot::Mutex;

use crate::{
    core::{placement::InstanceId, traffic::RouteKind},
    sources::http1::ClientConnection,
};

/// Idle connections kept for one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 3;
/// Longest time a connection is kept idle when the endpoint told no limit.
const MAX_IDLE: Duration = Duration::from_secs(5);
/// Share of the endpoint's idle limit that is used, so that both ends do not meet.
const IDLE_SHARE: f64 = 0.6;
/// Longest idle time of a connection for a request that cannot be repeated: an older one may have
/// been forgotten on the way.
const MAX_IDLE_AT_MOST_ONCE: Duration = Duration::from_millis(700);

/// Idle connections, by endpoint.
#[derive(Debug, Default)]
pub(super) struct ConnectionPool {
    idle: Mutex<HashMap<InstanceId, Vec<ClientConnection>>>,
}

impl ConnectionPool {
    /// A connection to an endpoint that is fit for a request of this kind.
    pub(super) fn take(
        &self,
        now: Instant,
        id: &InstanceId,
        kind: RouteKind,
    ) -> Option<ClientConnection> {
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(id)?;
        while let Some(connection) = connections.pop() {
            if !is_fresh(now, &connection) || !connection.is_quiet() {
                continue;
            }
            let age = now.saturating_duration_since(connection.idle_since);
            if kind == RouteKind::AtMostOnce && age > MAX_IDLE_AT_MOST_ONCE {
                connections.push(connection);
                return None;
            }
            return Some(connection);
        }
        None
    }

    /// Keeps a connection whose response was whole.
    pub(super) fn put(&self, now: Instant, id: &InstanceId, mut connection: ClientConnection) {
        connection.idle_since = now;
        connection.reused = true;
        connection.rest();
        let mut idle = self.idle.lock();
        let connections = idle.entry(id.clone()).or_default();
        if connections.len() >= MAX_IDLE_PER_ENDPOINT {
            connections.remove(0);
        }
        connections.push(connection);
    }

    /// Closes connections that were idle too long, and those to endpoints that are gone.
    pub(super) fn sweep(&self, now: Instant, lives: impl Fn(&InstanceId) -> bool) {
        let mut idle = self.idle.lock();
        idle.retain(|id, connections| {
            connections.retain(|c| is_fresh(now, c));
            lives(id) && !connections.is_empty()
        });
    }
}

fn is_fresh(now: Instant, connection: &ClientConnection) -> bool {
    let told = connection.keep_alive.map(|t| t.mul_f64(IDLE_SHARE));
    let limit = told.unwrap_or(MAX_IDLE).min(MAX_IDLE);
    now.saturating_duration_since(connection.idle_since) < limit
}
