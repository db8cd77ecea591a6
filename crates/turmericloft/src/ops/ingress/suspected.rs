//! Finds out whether endpoints that are said to have crashed have survived.

use std::{
    future::pending,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::select;

use super::{abandoned_checks::check_endpoint, shared::Ingress};
use crate::{
    core::placement::{DiscoveredEndpoint, InstanceId},
    util::supervised_tasks::spawn_contained,
};

/// Shortest time between two looks at the crashes in the table, which change often where endpoints reset connections.
const READ_INTERVAL: Duration = Duration::from_millis(100);

/// Follows the endpoints of the crashes in the quarantine table. Does not return.
pub(super) async fn follow_suspected(ingress: Arc<Ingress>) {
    let mut revision = ingress.quarantine.revision();
    revision.mark_changed();
    let mut next_read = ingress.now();
    loop {
        let now = ingress.now();
        let next_poll = ingress.suspected.lock().next_poll(now);
        let due = async {
            match next_poll {
                Some(at) => ingress.clock.sleep_until(at).await,
                None => pending().await,
            }
        };
        let changed = async {
            ingress.clock.sleep_until(next_read).await;
            revision.changed().await
        };
        select! {
            biased;
            Ok(()) = changed => {
                let now = ingress.now();
                next_read = now + READ_INTERVAL;
                let crashes = ingress.quarantine.suspected_crashes(now);
                ingress.suspected.lock().set_crashes(now, crashes);
            }
            () = due => poll(&ingress),
            () = ingress.suspected_changed.notified() => {}
        }
    }
}

fn poll(ingress: &Arc<Ingress>) {
    let now = ingress.now();
    let (survivors, checks) = ingress.suspected.lock().poll(now);
    for survivor in survivors {
        ingress.quarantine.clear_survived(now, &survivor);
    }
    for endpoint in checks {
        let check = check(Arc::clone(ingress), endpoint);
        spawn_contained("check-suspected-endpoint", check);
    }
}

/// Checks an endpoint; a response is recorded like any other.
async fn check(ingress: Arc<Ingress>, endpoint: DiscoveredEndpoint) {
    check_endpoint(&ingress, &endpoint).await;
}

impl Ingress {
    /// Records that an endpoint, and no other one at its address, has responded to what was asked at `asked_at`.
    pub(super) fn record_sign_of_life(&self, endpoint: &InstanceId, asked_at: Instant) {
        let now = self.now();
        let mut suspected = self.suspected.lock();
        if suspected.is_empty() {
            return;
        }
        if suspected.record_response(now, endpoint, asked_at) {
            self.suspected_changed.notify_one();
        }
    }
}
