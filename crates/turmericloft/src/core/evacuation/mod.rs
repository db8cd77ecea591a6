//! Availability zones that the operator has evacuated.
//!
//! Load pattern: an operator evacuates a zone a few times a year, and then all of hundreds of gateways have to stop
//! sending requests there within seconds. The records are few and small, so a gateway relays all that it knows of
//! them instead of changes, and each gateway decides by the positions of the records which of two lists is newer.
//! A store that returns from an older copy may lack an evacuation; the zone stays evacuated until the operator has
//! had time to write it again.

mod evacuated_zones;
mod evacuation_list;
mod evacuation_table;
mod zone_record;

pub use self::{
    evacuated_zones::EvacuatedZones,
    evacuation_list::EvacuationList,
    evacuation_table::{EvacuationTable, RETENTION},
    zone_record::ZoneRecord,
};
