//! Follows whether this gateway reaches endpoints, and checks some while it seems not to.

use std::{future::pending, pin::pin, sync::Arc, time::Instant};

use futures_util::FutureExt;
use tokio::{select, time::timeout};

use super::{
    IngressFeeds,
    handover::Handover,
    metrics::{count_probe, set_cut_off_gauge},
    probe::{health_path, probe_over},
    shared::Ingress,
};
use crate::{
    core::{
        endpoint_contact::{CHECK_TIMEOUT, ContactChange},
        placement::{DiscoveredEndpoint, InstanceId},
    },
    sources::http1::{ClientConnection, ExchangeError, Response, ResponseError},
    util::supervised_tasks::spawn_contained,
};

/// Follows the contact of a gateway that can hand over requests. Does not return while it runs.
pub(super) async fn follow_contact(ingress: Arc<Ingress>, mut feeds: IngressFeeds) {
    let Some(handover) = ingress.handover.get() else {
        return;
    };
    let clock = ingress.clock.clone();
    let mut resumed = pin!(clock.resumed());
    set_cut_off_gauge(false);
    set_endpoints(&ingress, handover, &mut feeds);
    loop {
        let now = ingress.now();
        if (&mut resumed).now_or_never().is_some() {
            resumed.set(clock.resumed());
            handover.contact.lock().record_resume(now);
        }
        let (checks, change) = handover.contact.lock().poll(now);
        report_change(&ingress, handover, change);
        for endpoint in checks {
            spawn_contained("check-contact", check(Arc::clone(&ingress), endpoint, now));
        }
        let next_poll = handover.contact.lock().next_poll(now);
        let due = async {
            match next_poll {
                Some(at) => clock.sleep_until(at).await,
                None => pending().await,
            }
        };
        select! {
            biased;
            () = &mut resumed => {
                resumed.set(clock.resumed());
                handover.contact.lock().record_resume(ingress.now());
            }
            () = handover.contact_changed.notified() => {}
            changed = feeds.endpoints.changed() => match changed {
                Ok(()) => set_endpoints(&ingress, handover, &mut feeds),
                Err(_) => return,
            },
            Ok(()) = feeds.evacuated.changed() => set_endpoints(&ingress, handover, &mut feeds),
            changed = feeds.documents.changed() => match changed {
                Ok(()) => set_endpoints(&ingress, handover, &mut feeds),
                Err(_) => return,
            },
            () = due => {}
        }
    }
}

/// Sets the endpoints that can be checked: those of services whose health check is known.
fn set_endpoints(ingress: &Ingress, handover: &Handover, feeds: &mut IngressFeeds) {
    let table = feeds.documents.borrow_and_update().clone();
    let endpoints = feeds.endpoints.borrow_and_update().clone();
    let services = table.as_ref().map(|t| &t.document().services);
    let evacuated = feeds.evacuated.borrow_and_update().clone();
    // No check goes to an evacuated zone.
    let is_checkable = |e: &&DiscoveredEndpoint| {
        !evacuated.contains(&e.zone) && services.is_some_and(|s| s.contains_key(&*e.service))
    };
    let endpoints = endpoints.iter().flat_map(|list| list.iter());
    let checkable = endpoints.filter(is_checkable).cloned().collect();
    let mut contact = handover.contact.lock();
    contact.set_endpoints(ingress.now(), checkable);
}

/// Checks an endpoint over a new connection.
async fn check(ingress: Arc<Ingress>, endpoint: DiscoveredEndpoint, started_at: Instant) {
    let has_responded = send_check(&ingress, &endpoint, started_at).await;
    let Some(handover) = ingress.handover.get() else {
        return;
    };
    let now = ingress.now();
    let mut contact = handover.contact.lock();
    let change = contact.record_check_end(now, &endpoint.id, started_at, has_responded);
    drop(contact);
    report_change(&ingress, handover, change);
    handover.contact_changed.notify_one();
}

/// Returns whether the endpoint has responded; `None` if it accepts no check.
async fn send_check(
    ingress: &Ingress,
    endpoint: &DiscoveredEndpoint,
    started_at: Instant,
) -> Option<bool> {
    let path = health_path(ingress, &endpoint.service)?;
    if !ingress.try_take_check(started_at, &endpoint.id) {
        return None;
    }
    let exchange = async {
        let opened = ClientConnection::open(endpoint.address, CHECK_TIMEOUT, CHECK_TIMEOUT);
        probe_over(ingress, endpoint, &path, opened.await?, started_at).await
    };
    let has_responded = match timeout(CHECK_TIMEOUT, exchange).await {
        Ok(Ok(_)) => true,
        Ok(Err(e)) => is_response(&e),
        Err(_) => false,
    };
    count_probe(has_responded);
    Some(has_responded)
}

/// Whether an exchange has failed although the endpoint has responded, with something invalid.
fn is_response(error: &ExchangeError) -> bool {
    matches!(error, ExchangeError::Response { source, .. } if *source != ResponseError::Truncated)
}

fn report_change(ingress: &Ingress, handover: &Handover, change: Option<ContactChange>) {
    match change {
        None => return,
        Some(ContactChange::CutOff {
            failed,
            known,
            silent_for,
        }) => {
            log::warn!(
                "cut off from all endpoints; requests are handed over failed={failed} known={known} \
             silent_ms={} open_requests={}",
                silent_for.as_millis(),
                ingress.open_requests(),
            );
        }
        Some(ContactChange::Restored {
            lasted,
            failed_checks,
        }) => {
            log::info!(
                "endpoints respond again lasted_ms={} failed_checks={failed_checks}",
                lasted.as_millis(),
            );
        }
    }
    let is_cut_off = matches!(change, Some(ContactChange::CutOff { .. }));
    set_cut_off_gauge(is_cut_off);
    // Another task may have recorded a later change meanwhile.
    let contact = handover.contact.lock();
    handover.is_cut_off.send_replace(contact.is_cut_off());
    drop(contact);
}

impl Ingress {
    /// Records the end of an exchange with an endpoint that began at `started_at`. `is_new` says that the
    /// connection was opened for it.
    pub(super) fn record_exchange(
        &self,
        endpoint: &InstanceId,
        started_at: Instant,
        is_new: bool,
        result: Option<&Result<Response, ExchangeError>>,
    ) {
        let has_responded = match result {
            Some(Ok(_)) => true,
            Some(Err(e)) => is_response(e),
            None => false,
        };
        self.record_contact(endpoint, started_at, is_new, has_responded);
    }

    /// Like [`record_exchange`](Self::record_exchange), by whether the endpoint has responded.
    pub(super) fn record_contact(
        &self,
        endpoint: &InstanceId,
        started_at: Instant,
        is_new: bool,
        has_responded: bool,
    ) {
        let Some(handover) = self.handover.get() else {
            return;
        };
        let now = self.now();
        let mut contact = handover.contact.lock();
        if has_responded {
            return contact.record_response(now, is_new);
        }
        if !is_new {
            return;
        }
        let change = contact.record_failure(now, endpoint, started_at);
        drop(contact);
        report_change(self, handover, change);
        handover.contact_changed.notify_one();
    }

    /// Whether this gateway is cut off from all endpoints.
    pub(super) fn is_cut_off(&self) -> bool {
        self.handover.get().is_some_and(|h| *h.is_cut_off.borrow())
    }

    /// Waits until this gateway is cut off from all endpoints; for ever if it hands over no requests.
    pub(super) async fn wait_until_cut_off(&self) {
        let Some(handover) = self.handover.get() else {
            return pending().await;
        };
        let mut is_cut_off = handover.is_cut_off.subscribe();
        // The sender lives as long as the gateway.
        let _ = is_cut_off.wait_for(|is_cut_off| *is_cut_off).await;
    }
}
