//! The evacuated zones as this gateway knows them, shared by the tasks that read the store, relay and forward.

use std::future::pending;

use parking_lot::Mutex;
use tokio::sync::watch;

use crate::{
    core::{
        evacuation::{EvacuatedZones, EvacuationList, EvacuationTable, ZoneRecord},
        placement::RegistryPosition,
    },
    util::host_clock::HostClock,
};

/// Known zone records, and the zones that are evacuated by them.
#[derive(Debug)]
pub struct EvacuationState {
    clock: HostClock,
    table: Mutex<EvacuationTable>,
    evacuated: watch::Sender<EvacuatedZones>,
    /// Position after the latest change.
    changed_at: watch::Sender<RegistryPosition>,
    /// Notified when the end of a retention is set.
    expiry_changed: watch::Sender<()>,
}

impl EvacuationState {
    /// No zone is evacuated. Retention goes by `clock`.
    pub(super) fn new(clock: HostClock) -> Self {
        Self {
            clock,
            table: Mutex::default(),
            evacuated: watch::Sender::default(),
            changed_at: watch::Sender::default(),
            expiry_changed: watch::Sender::default(),
        }
    }

    /// Receives the evacuated zones whenever they change.
    pub fn subscribe(&self) -> watch::Receiver<EvacuatedZones> {
        self.evacuated.subscribe()
    }

    /// Applies the records of a read up to `next` (exclusive).
    pub fn apply_records(&self, next: RegistryPosition, records: Vec<ZoneRecord>) {
        self.update(|table| table.apply_records(next, records));
    }

    /// Applies a list that was read from the store, in which records below the offset `end` may be from an older
    /// copy.
    pub fn apply_list(&self, end: u64, list: EvacuationList) {
        let now = self.clock.now();
        self.update(|table| table.apply_list(now, end, list));
    }

    /// Applies what an upstream knows.
    pub(super) fn apply_relayed(&self, list: EvacuationList) {
        self.apply_list(list.next.offset, list);
    }

    /// What a follower has to know.
    pub(super) fn list(&self) -> EvacuationList {
        self.table.lock().list()
    }

    /// Position after the latest change.
    pub(super) fn changed_at(&self) -> RegistryPosition {
        *self.changed_at.borrow()
    }

    /// Receives the position after the latest change whenever it rises.
    pub(super) fn changes(&self) -> watch::Receiver<RegistryPosition> {
        self.changed_at.subscribe()
    }

    /// Ends evacuations when their retention is over. Does not return.
    pub(super) async fn run_expiry(&self) {
        let mut expiry_changed = self.expiry_changed.subscribe();
        loop {
            let next_expiry = self.table.lock().next_expiry();
            let expiry = async {
                match next_expiry {
                    Some(at) => self.clock.sleep_until(at).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                () = expiry => {
                    let now = self.clock.now();
                    self.update(|table| table.expire(now));
                }
                // The sender is not dropped while it is borrowed.
                _ = expiry_changed.changed() => {}
            }
        }
    }

    fn update(&self, change: impl FnOnce(&mut EvacuationTable)) {
        let mut table = self.table.lock();
        let expiry_before = table.next_expiry();
        change(&mut table);
        let evacuated = table.evacuated();
        // Publishing under the lock keeps an older state from replacing a newer one.
        self.evacuated.send_if_modified(|published| {
            let is_changed = *published != evacuated;
            if is_changed {
                let zones: Vec<_> = evacuated.names().collect();
                log::warn!(
                    "evacuated zones changed zones={zones:?} before={}",
                    published.count()
                );
                *published = evacuated;
            }
            is_changed
        });
        let changed_at = table.changed_at();
        self.changed_at.send_if_modified(|known| {
            let is_later = *known < changed_at;
            *known = (*known).max(changed_at);
            is_later
        });
        if table.next_expiry() != expiry_before {
            self.expiry_changed.send_replace(());
        }
    }
}
