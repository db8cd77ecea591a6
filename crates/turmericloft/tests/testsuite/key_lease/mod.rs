//! Keys of organisations and the lease on them.

mod authority;
mod fault_pairs;
mod fleet;
mod lease;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use turmericloft::core::{
    key_lease::{KeyRules, LeaseTimings, PresentedKey},
    traffic::{KeyDigest, Organisation, RequestLimits, RouteTable, TrafficDocument},
};

/// Time within which a revocation has to be effective.
const REVOCATION: Duration = Duration::from_secs(5);
/// Time within which a document has to be active at every gateway.
const CONFIG_DEADLINE: Duration = Duration::from_secs(2);

fn leased() -> KeyRules {
    KeyRules {
        lease: Some(LeaseTimings::new(REVOCATION)),
        config_deadline: CONFIG_DEADLINE,
    }
}

fn organisation(name: &str, rank: u32, keys: &[&str]) -> Organisation {
    Organisation {
        name: name.into(),
        keys: keys.iter().map(|k| KeyDigest::of(k.as_bytes())).collect(),
        rank,
        quota: None,
    }
}

fn table(version: u64, organisations: Vec<Organisation>) -> Arc<RouteTable> {
    Arc::new(RouteTable::new(TrafficDocument {
        version,
        routes: Vec::new(),
        services: BTreeMap::new(),
        organisations,
        limits: RequestLimits::default(),
    }))
}

fn key(text: &str) -> PresentedKey {
    PresentedKey::Digest(KeyDigest::of(text.as_bytes()))
}
