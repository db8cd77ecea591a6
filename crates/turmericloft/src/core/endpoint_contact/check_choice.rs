//! Choice of the endpoints to check.

use std::collections::HashSet;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::core::placement::{DiscoveredEndpoint, EndpointState};

/// Services, and zones, in which endpoints have to fail before the gateway counts as cut off, unless there are
/// fewer: one service may be down as a whole, and so may one zone.
const MIN_COVERED: usize = 3;

/// Services and zones of some endpoints.
#[derive(Clone, Debug, Default)]
pub(super) struct Coverage<'a> {
    services: HashSet<&'a str>,
    zones: HashSet<&'a str>,
}

impl<'a> Coverage<'a> {
    pub(super) fn of(endpoints: impl IntoIterator<Item = &'a DiscoveredEndpoint>) -> Self {
        let mut coverage = Self::default();
        endpoints.into_iter().for_each(|e| coverage.add(e));
        coverage
    }

    fn add(&mut self, endpoint: &'a DiscoveredEndpoint) {
        self.services.insert(&endpoint.service);
        self.zones.insert(&endpoint.zone);
    }

    /// How many services and zones are missing, compared with those of `all` endpoints.
    pub(super) fn missing(&self, all: &Self) -> usize {
        let missing = |seen: usize, known: usize| known.min(MIN_COVERED).saturating_sub(seen);
        missing(self.services.len(), all.services.len())
            .max(missing(self.zones.len(), all.zones.len()))
    }

    /// Whether an endpoint adds a service, a zone, or both.
    fn gain(&self, endpoint: &DiscoveredEndpoint) -> usize {
        usize::from(!self.services.contains(&*endpoint.service))
            + usize::from(!self.zones.contains(&*endpoint.zone))
    }
}

/// Chooses up to `count` of the candidates, first those of services and zones that `seen` lacks, otherwise at
/// random. Endpoints that drain are chosen only if there are no others.
pub(super) fn choose_checks(
    rng: &mut Pcg64Mcg,
    candidates: &[&DiscoveredEndpoint],
    seen: &Coverage<'_>,
    count: usize,
) -> Vec<DiscoveredEndpoint> {
    let mut left = candidates.to_vec();
    if left.iter().any(|e| e.state == EndpointState::Ready) {
        left.retain(|e| e.state == EndpointState::Ready);
    }
    let mut seen = seen.clone();
    let mut chosen = Vec::new();
    while chosen.len() < count && !left.is_empty() {
        let order: Vec<u32> = left.iter().map(|_| rng.random()).collect();
        let best = (0..left.len()).max_by_key(|i| (seen.gain(left[*i]), order[*i]));
        let Some(best) = best else { break };
        let endpoint = left.swap_remove(best);
        seen.add(endpoint);
        chosen.push(endpoint.clone());
    }
    chosen
}
