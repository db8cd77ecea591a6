//! What one gateway knows of the evacuated zones, from its own reads and from other gateways.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use super::{EvacuatedZones, EvacuationList, ZoneRecord};
use crate::core::placement::RegistryPosition;

/// Time for which a zone stays evacuated that a later era of the store lacks: the operator writes again what the
/// older copy has lost.
pub const RETENTION: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct KnownZone {
    position: RegistryPosition,
    is_evacuated: bool,
    /// End of the evacuation if the present era has no record of it; `None` if it lasts until a record ends it.
    retained_until: Option<Instant>,
}

/// The newest record of each zone.
#[derive(Clone, Debug, Default)]
pub struct EvacuationTable {
    zones: BTreeMap<Arc<str>, KnownZone>,
    /// Position up to which all records are applied (exclusive).
    next: RegistryPosition,
    changed_at: RegistryPosition,
    /// Offset from which on records were certainly written in the present era; earlier ones may be from the older
    /// copy with which it began.
    proven_from: u64,
}

impl EvacuationTable {
    /// Applies the records of a read up to `next` (exclusive). Those of another era than the known one change
    /// nothing: an earlier one is over, and a later one begins with a list.
    pub fn apply_records(&mut self, next: RegistryPosition, records: Vec<ZoneRecord>) {
        if next.era != self.next.era {
            return;
        }
        self.next = self.next.max(next);
        for record in records {
            self.apply_record(record);
        }
    }

    /// Applies a list that was read or relayed `now`. One of an earlier era changes nothing. `end` is the offset
    /// below which records may be from the copy with which the era began.
    pub fn apply_list(&mut self, now: Instant, end: u64, list: EvacuationList) {
        if list.next.era < self.next.era {
            return;
        }
        let is_first = self.next == RegistryPosition::default();
        if list.next.era > self.next.era {
            self.begin_era(now, end, &list);
        }
        self.next = self.next.max(list.next);
        self.end_missing(&list);
        for record in list.zones {
            if record.position.era == list.next.era {
                self.apply_record(record);
            } else if is_first && record.is_evacuated {
                self.retain_unknown(now, record);
            }
        }
        self.changed_at = self.changed_at.max(list.changed_at);
    }

    /// Retains what an earlier era said, for as long as the operator may need to say it again.
    fn begin_era(&mut self, now: Instant, end: u64, list: &EvacuationList) {
        self.proven_from = end;
        self.zones.retain(|_, known| known.is_evacuated);
        for known in self.zones.values_mut() {
            known.retained_until = Some(now + RETENTION);
            // Followers begin their own retention when they get the list.
            self.changed_at = self.changed_at.max(list.next);
        }
    }

    /// Ends the evacuations of the present era that a list lacks although it is complete beyond their records.
    fn end_missing(&mut self, list: &EvacuationList) {
        for (zone, known) in &mut self.zones {
            let is_covered =
                known.position.era == list.next.era && known.position.offset < list.next.offset;
            let is_listed = || list.zones.iter().any(|record| record.zone == *zone);
            if known.is_evacuated && is_covered && !is_listed() {
                known.is_evacuated = false;
                self.changed_at = self.changed_at.max(list.next);
            }
        }
    }

    fn retain_unknown(&mut self, now: Instant, record: ZoneRecord) {
        self.zones.entry(record.zone).or_insert(KnownZone {
            position: record.position,
            is_evacuated: true,
            retained_until: Some(now + RETENTION),
        });
    }

    fn apply_record(&mut self, record: ZoneRecord) {
        let known = self.zones.get(&record.zone);
        if known.is_some_and(|known| known.position >= record.position) {
            return;
        }
        let is_retained = known.is_some_and(|known| known.retained_until.is_some());
        let is_proven = record.position.offset >= self.proven_from;
        if is_retained && !record.is_evacuated && !is_proven {
            return;
        }
        let was_evacuated = known.is_some_and(|known| known.is_evacuated);
        if was_evacuated || record.is_evacuated {
            let RegistryPosition { era, offset } = record.position;
            let after = RegistryPosition::new(era, offset.saturating_add(1));
            self.changed_at = self.changed_at.max(after);
        }
        let known = KnownZone {
            position: record.position,
            is_evacuated: record.is_evacuated,
            retained_until: None,
        };
        self.zones.insert(record.zone, known);
    }

    /// Ends the evacuations that are over because the present era has no record of them.
    pub fn expire(&mut self, now: Instant) {
        self.zones
            .retain(|_, known| known.retained_until.is_none_or(|until| until > now));
    }

    /// When the next evacuation ends without a record; `None` if none does.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.zones.values().filter_map(|k| k.retained_until).min()
    }

    /// The zones that get no requests.
    pub fn evacuated(&self) -> EvacuatedZones {
        let evacuated = self.zones.iter().filter(|(_, known)| known.is_evacuated);
        evacuated.map(|(zone, _)| Arc::clone(zone)).collect()
    }

    /// Position after the latest change; the lowest one if there never was one.
    pub fn changed_at(&self) -> RegistryPosition {
        self.changed_at
    }

    /// Everything that another gateway has to know.
    pub fn list(&self) -> EvacuationList {
        let evacuated = self.zones.iter().filter(|(_, known)| known.is_evacuated);
        let zones = evacuated.map(|(zone, known)| ZoneRecord {
            zone: Arc::clone(zone),
            position: known.position,
            is_evacuated: true,
        });
        EvacuationList {
            next: self.next,
            changed_at: self.changed_at,
            zones: zones.collect(),
        }
    }
}
