//! A request that counts towards the load of its organisation at this gateway.

use std::sync::Arc;

use super::shared::Ingress;

/// An open request of an organisation. It is counted until this value is dropped.
#[derive(Debug)]
pub(super) struct OrganisationRequest {
    ingress: Arc<Ingress>,
    organisation: Option<Arc<str>>,
}

impl OrganisationRequest {
    /// Counts a request of an organisation; `None` counts nothing.
    pub(super) fn open(ingress: &Arc<Ingress>, organisation: Option<Arc<str>>) -> Self {
        if let Some(organisation) = &organisation {
            ingress.queue.lock().open_request(organisation);
        }
        Self {
            ingress: Arc::clone(ingress),
            organisation,
        }
    }
}

impl Drop for OrganisationRequest {
    fn drop(&mut self) {
        if let Some(organisation) = &self.organisation {
            self.ingress.queue.lock().close_request(organisation);
        }
    }
}
