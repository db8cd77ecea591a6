//! Serves requests that other gateways, which are cut off from all endpoints, hand over.

use std::{future::Future, sync::Arc};

use tokio::net::TcpListener;

use super::{
    accept::accept, client::serve_connection, metrics::count_helped, origin::RequestOrigin,
    shared::Ingress,
};
use crate::{
    core::handover::{HelperRefusal, check_help},
    util::supervised_tasks::spawn_contained,
};

/// Accepts connections of other gateways, and serves them like those of clients, until this one closes idle
/// connections. The gateway is not drained before the returned future has ended.
pub fn serve_handed_over(
    ingress: Arc<Ingress>,
    listener: TcpListener,
) -> impl Future<Output = ()> + Send + 'static {
    let acceptor = ingress.connections().acceptor();
    async move {
        accept(&ingress, &acceptor, &listener, |stream, connection| {
            let origin = RequestOrigin::Gateway;
            let serving = serve_connection(Arc::clone(&ingress), stream, connection, origin);
            spawn_contained("serve-gateway", serving);
        })
        .await;
    }
}

/// A request of another gateway, counted until it is dropped.
#[derive(Debug)]
pub(super) struct HelpedRequest(Arc<Ingress>);

impl HelpedRequest {
    /// Counts one more request, unless this gateway stops or cannot help.
    pub(super) fn admit(ingress: &Arc<Ingress>) -> Result<Self, HelperRefusal> {
        if ingress.stopping.is_cancelled() {
            return Err(HelperRefusal::Busy);
        }
        let mut helped = ingress.helped_requests.lock();
        let own = ingress.open_requests().saturating_sub(*helped);
        let checked = check_help(ingress.is_cut_off(), *helped, own);
        count_helped(checked);
        checked?;
        *helped += 1;
        Ok(Self(Arc::clone(ingress)))
    }
}

impl Drop for HelpedRequest {
    fn drop(&mut self) {
        *self.0.helped_requests.lock() -= 1;
    }
}
