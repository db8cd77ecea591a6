//! Access of a simulated gateway to the other ones.

use std::sync::{Arc, Weak};

use futures_util::future::BoxFuture;
use turmericloft::ops::gateway::{ConfigPeers, Gateway};

use super::world::{Step, World};

/// Access of one gateway to the others.
pub(super) struct FakePeers {
    pub(super) world: Weak<World>,
    pub(super) index: usize,
}

impl FakePeers {
    fn newer(&self, have: u64) -> Option<Arc<Gateway>> {
        let world = self.world.upgrade()?;
        let gateways = world.gateways.lock();
        let mut others = gateways.iter().enumerate();
        let found = others.find(|(i, other)| {
            let newer = other.gateway.config.version() > have;
            newer && other.alive && world.reaches(self.index, *i)
        });
        found.map(|(_, other)| Arc::clone(&other.gateway))
    }
}

impl ConfigPeers for FakePeers {
    fn have_newer(&self, have: u64) -> bool {
        self.newer(have).is_some()
    }

    fn fetch_newer(&self, have: u64) -> BoxFuture<'_, Option<Vec<u8>>> {
        Box::pin(async move {
            let bytes = self.newer(have)?.config.checkpoint_newer_than(have)?;
            self.world.upgrade()?.on_step(Step::SentToPeer);
            Some(bytes)
        })
    }

    fn announce_version(&self) -> BoxFuture<'_, ()> {
        Box::pin(async {})
    }
}
