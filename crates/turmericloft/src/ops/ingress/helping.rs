//! Serves requests that other gateways, which are cut off from all endpoints, hand over.

use std::sync::Arc;

use tokio::{net::TcpListener, time::sleep};

use super::{
    client::serve_connection, metrics::count_helped, origin::RequestOrigin,
    run::ACCEPT_RETRY_DELAY, shared::Ingress,
};
use crate::{
    core::handover::{HelperRefusal, check_help},
    util::supervised_tasks::spawn_contained,
};

/// Accepts connections of other gateways until this one begins to stop. Those that are open then are served
/// like those of clients.
pub async fn serve_handed_over(ingress: Arc<Ingress>, listener: TcpListener) {
    let stopping = ingress.stopping.clone();
    loop {
        let accepted = tokio::select! {
            biased;
            () = stopping.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let origin = RequestOrigin::Gateway;
                let serving = serve_connection(Arc::clone(&ingress), stream, origin);
                spawn_contained("serve-gateway", serving);
            }
            Err(e) => {
                log::warn!("cannot accept a connection of another gateway; retrying: {e}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// A request of another gateway, counted until it is dropped.
#[derive(Debug)]
pub(super) struct HelpedRequest(Arc<Ingress>);

impl HelpedRequest {
    /// Counts one more request, unless this gateway cannot help.
    pub(super) fn admit(ingress: &Arc<Ingress>) -> Result<Self, HelperRefusal> {
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
