//! Who sends the requests of a connection.

use std::sync::Arc;

use super::{
    client_response::{ClientResponse, GatewayResponse},
    handover::{DOCUMENT_HEADER, HANDOVER_HEADER, HANDOVER_OWN},
    helping::HelpedRequest,
    metrics::count_helped,
    shared::Ingress,
};
use crate::{
    core::handover::{AttemptGrant, HelperRefusal},
    sources::http1::Headers,
};

/// Who sends the requests of a connection, by the listener on which it came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestOrigin {
    /// A client.
    Client,
    /// Another gateway, which is cut off from all endpoints. Its requests are not handed over again.
    Gateway,
}

impl RequestOrigin {
    /// Admits a request. The guard of a request of another gateway is held until the response is complete.
    pub(super) fn admit(
        self,
        ingress: &Arc<Ingress>,
    ) -> Result<Option<HelpedRequest>, GatewayResponse> {
        match self {
            Self::Client => Ok(None),
            Self::Gateway => HelpedRequest::admit(ingress)
                .map(Some)
                .map_err(GatewayResponse::NotHelping),
        }
    }

    /// Checks that a request of another gateway was not routed by a later document than that of this one, which has `version`.
    pub(super) fn check_document(
        self,
        headers: &Headers,
        version: u64,
    ) -> Result<(), GatewayResponse> {
        let stated = match self {
            Self::Client => None,
            Self::Gateway => headers.get_str(DOCUMENT_HEADER),
        };
        let routed_by: Option<u64> = stated.and_then(|text| text.parse().ok());
        if routed_by.is_none_or(|by| by <= version) {
            return Ok(());
        }
        count_helped(Err(HelperRefusal::Outdated));
        Err(GatewayResponse::NotHelping(HelperRefusal::Outdated))
    }

    /// What the gateway that sends a request allows; `None` if it does not say, and for a request of a client.
    pub(super) fn grant(self, headers: &Headers) -> Option<AttemptGrant> {
        match self {
            Self::Client => None,
            Self::Gateway => headers.get_str(HANDOVER_HEADER)?.parse().ok(),
        }
    }

    /// Value of the header by which another gateway tells this gateway's own responses from those of endpoints;
    /// `None` for a response that has none.
    pub(super) fn marker(self, response: &ClientResponse) -> Option<&'static str> {
        if self == Self::Client {
            return None;
        }
        match response {
            ClientResponse::Endpoint(_) => None,
            ClientResponse::Gateway(GatewayResponse::NotHelping(refusal)) => Some(refusal.into()),
            // A gateway that has no document or no room, or is about to end, cannot serve what another one can.
            ClientResponse::Gateway(
                GatewayResponse::NotReady
                | GatewayResponse::Ending
                | GatewayResponse::NoMemory
                | GatewayResponse::TooManyConnections,
            ) => Some(HelperRefusal::Busy.into()),
            ClientResponse::Gateway(_) => Some(HANDOVER_OWN),
        }
    }
}
