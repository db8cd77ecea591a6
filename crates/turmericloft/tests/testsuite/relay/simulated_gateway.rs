//! One gateway of the simulation, and the poll that it has sent.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use turmericloft::core::{
    placement::{DiscoveredEndpoint, EndpointState, InstanceId},
    relay::{RegistryView, RelayPoll, RelayResponse, UpstreamChooser},
};

use super::registry::Registry;

/// A poll on its way or waiting at the upstream, or its response on the way back.
pub(super) struct Exchange {
    pub(super) upstream: usize,
    pub(super) polled_at: Instant,
    pub(super) poll: RelayPoll,
    /// Arrival of the poll by the upstream's monotonic clock; `None` before it arrives.
    pub(super) received: Option<Instant>,
    pub(super) arrives: Instant,
    pub(super) response: Option<RelayResponse>,
}

/// What a gateway has shown of an endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Shown {
    last: Option<DiscoveredEndpoint>,
    /// Highest number of a change of state that the gateway knew to be over.
    over: u32,
}

pub(super) struct Gateway {
    pub(super) view: RegistryView,
    pub(super) shown: HashMap<InstanceId, Shown>,
    pub(super) chooser: UpstreamChooser,
    pub(super) exchange: Option<Exchange>,
    pub(super) next_read: Instant,
    /// The host is suspended until then.
    pub(super) suspended_until: Instant,
    /// Starts and lengths of the host's suspensions that its clock leaves out; none unless that bug
    /// is injected.
    pub(super) left_out: Vec<(Instant, Duration)>,
    /// The registry is unavailable to this gateway until then.
    pub(super) registry_unavailable_until: Instant,
    /// Since when the host has been running and able to reach the registry.
    pub(super) healthy_since: Instant,
}

impl Gateway {
    pub(super) fn is_suspended(&self, now: Instant) -> bool {
        self.suspended_until > now
    }

    /// The host's clock.
    pub(super) fn clock(&self, now: Instant) -> Instant {
        now - self
            .left_out
            .iter()
            .map(|(_, length)| *length)
            .sum::<Duration>()
    }

    /// The first real instant at which the host's clock showed `clock`.
    pub(super) fn real_time(&self, clock: Instant) -> Instant {
        let left_out = self.left_out.iter();
        left_out.fold(
            clock,
            |at, (started, length)| if at > *started { at + *length } else { at },
        )
    }

    /// Checks that no endpoint is ready in a state that the gateway knew to be over.
    pub(super) fn check_progress(&mut self, registry: &Registry) -> Result<(), String> {
        let endpoints = self.view.endpoints();
        let gone = |id: &InstanceId| endpoints.iter().all(|e| e.id != *id);
        for (id, shown) in &mut self.shown {
            let written = registry.written(id);
            if let Some(last) = shown.last.take_if(|_| gone(id))
                && written != Some(&last)
            {
                shown.over = shown.over.max(last.slots);
            }
        }
        for endpoint in endpoints {
            let shown = self.shown.entry(endpoint.id.clone()).or_default();
            match endpoint.state {
                EndpointState::Draining => shown.over = shown.over.max(endpoint.slots - 1),
                EndpointState::Ready if endpoint.slots <= shown.over => {
                    let (id, change, over) = (&endpoint.id, endpoint.slots, shown.over);
                    return Err(format!(
                        "has {id} ready by change {change}, though it knew change {over}"
                    ));
                }
                EndpointState::Ready => {}
            }
            shown.last = Some(endpoint);
        }
        Ok(())
    }
}
