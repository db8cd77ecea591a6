//! Pool of idle connections to endpoints.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use parking_lot::Mutex;

use crate::{
    core::{placement::InstanceId, traffic::RouteKind},
    sources::http1::ClientConnection,
};

/// Idle connections kept per endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 3;
/// Longest time that a connection is kept idle, also when the endpoint states no limit.
const MAX_IDLE_TIME: Duration = Duration::from_secs(5);
/// Share of the endpoint's keep-alive timeout that is used, so that the endpoint does not close a
/// connection while a request is being sent on it.
const KEEP_ALIVE_SHARE: f64 = 0.6;
/// Longest idle time of a connection that is used for an at-most-once request. A device on the
/// path may have dropped the state of a connection that was idle for longer.
const MAX_IDLE_TIME_AT_MOST_ONCE: Duration = Duration::from_millis(700);

/// Idle connections by endpoint.
#[derive(Debug, Default)]
pub(super) struct ConnectionPool {
    idle: Mutex<HashMap<InstanceId, Vec<ClientConnection>>>,
}

impl ConnectionPool {
    /// Removes and returns a connection to an endpoint that may carry a request of this kind;
    /// `None` if there is none.
    pub(super) fn take(
        &self,
        now: Instant,
        id: &InstanceId,
        kind: RouteKind,
    ) -> Option<ClientConnection> {
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(id)?;
        while let Some(connection) = connections.pop() {
            if !is_fresh(now, &connection) || !connection.is_reusable() {
                continue;
            }
            let age = now.saturating_duration_since(connection.idle_since);
            if kind == RouteKind::AtMostOnce && age > MAX_IDLE_TIME_AT_MOST_ONCE {
                connections.push(connection);
                return None;
            }
            return Some(connection);
        }
        None
    }

    /// Adds a connection whose last response was complete. The oldest one of the endpoint is closed
    /// if there are too many.
    pub(super) fn put(&self, now: Instant, id: &InstanceId, mut connection: ClientConnection) {
        connection.idle_since = now;
        connection.release_buffer();
        let mut idle = self.idle.lock();
        let connections = idle.entry(id.clone()).or_default();
        if connections.len() >= MAX_IDLE_PER_ENDPOINT {
            connections.remove(0);
        }
        connections.push(connection);
    }

    /// Closes connections that were idle for too long and those to endpoints for which
    /// `is_registered` returns false.
    pub(super) fn sweep(&self, now: Instant, is_registered: impl Fn(&InstanceId) -> bool) {
        let mut idle = self.idle.lock();
        idle.retain(|id, connections| {
            connections.retain(|c| is_fresh(now, c));
            is_registered(id) && !connections.is_empty()
        });
    }
}

fn is_fresh(now: Instant, connection: &ClientConnection) -> bool {
    let stated = connection
        .keep_alive_timeout
        .map(|t| t.mul_f64(KEEP_ALIVE_SHARE));
    let limit = stated.unwrap_or(MAX_IDLE_TIME).min(MAX_IDLE_TIME);
    now.saturating_duration_since(connection.idle_since) < limit
}
