//! Zones that the operator has evacuated.

mod placement;
mod relayed;
mod table;

use turmericloft::core::{
    evacuation::{EvacuationList, ZoneRecord},
    placement::{RegistryEra, RegistryPosition},
};

fn at(era: u64, offset: u64) -> RegistryPosition {
    RegistryPosition::new(RegistryEra(era), offset)
}

fn record(zone: &str, position: RegistryPosition, is_evacuated: bool) -> ZoneRecord {
    ZoneRecord {
        zone: zone.into(),
        position,
        is_evacuated,
    }
}

/// A list that was read from the store.
fn list(next: RegistryPosition, zones: Vec<ZoneRecord>) -> EvacuationList {
    EvacuationList {
        next,
        changed_at: RegistryPosition::default(),
        zones,
    }
}
