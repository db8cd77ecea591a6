//! Log line of a request that has ended.

use std::time::Duration;

use super::{attempt::ForwardedRequest, client_response::ClientResponse, shared::Ingress};

/// Logs the result of a request, with the time it took and its timeout.
pub(super) fn log_request(
    ingress: &Ingress,
    forwarded: &ForwardedRequest,
    response: &ClientResponse,
    attempts: usize,
    (took, timeout): (Duration, Duration),
) {
    let (kind, by) = match response {
        ClientResponse::Endpoint(r) if r.status < 500 => ("request served", "endpoint".to_owned()),
        ClientResponse::Endpoint(_) => ("request failed", "endpoint".to_owned()),
        ClientResponse::Gateway(r) => ("request not served", r.to_string()),
    };
    let version = ingress.table.load().as_ref().map(|t| t.document().version);
    ingress.log.write_line(
        ingress.now(),
        kind,
        format_args!(
            "request={} route={} version={} answer={by} status={} attempts={attempts} took_ms={} \
             of_ms={}",
            String::from_utf8_lossy(&forwarded.id),
            forwarded.route.name,
            version.unwrap_or_default(),
            response.status(),
            took.as_millis(),
            timeout.as_millis(),
        ),
    );
}
