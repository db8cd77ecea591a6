//! Sends a request that is handed over to its helper, and reads the response.

use std::time::Duration;

use bytes::BufMut;
use tokio_util::sync::CancellationToken;

use super::{
    attempt::ForwardedRequest,
    client_response::GatewayResponse,
    endpoint_exchange::{MAX_BODY_BYTES, RESPONSE_MARGIN, begin_message},
    handover::{DOCUMENT_HEADER, HANDOVER_HEADER},
    helper_address::helper_address,
    shared::Ingress,
};
use crate::{
    core::{
        handover::{AttemptGrant, HandoverTry, HelperRefusal, HelperTry},
        relay::RelayMember,
    },
    sources::http1::{ClientConnection, ExchangeError, Message, Response, ResponseLimits},
};

/// Header fields of a request that are not passed on: its body is complete, and its grant is that of this gateway.
const SKIPPED_HEADERS: [&str; 3] = ["Expect", HANDOVER_HEADER, DOCUMENT_HEADER];
/// Timeout for opening a connection to a helper: a few round trips between zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after which a connection with unacknowledged data is closed (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Sends a request to a helper and returns the response for the client. Each request has a connection of its own:
/// a helper's own responses have no id, so on a kept connection nothing tells them from those to earlier requests.
pub(super) async fn send_to_helper(
    ingress: &Ingress,
    port: u16,
    forwarded: &ForwardedRequest,
    helper: &RelayMember,
    next: HelperTry,
) -> Result<Response, HandoverTry> {
    let address = helper_address(helper, port);
    let left = next.sign_by.saturating_duration_since(ingress.now());
    let limit = CONNECT_TIMEOUT.min(left);
    let opened = ClientConnection::open(address, limit, UNACKNOWLEDGED_TIMEOUT).await;
    let connection = opened.map_err(|_| HandoverTry::Unsent)?;
    exchange(ingress, forwarded, connection, next).await
}

/// Sends the request over this connection. A helper that has taken it says so at once, so one that has said nothing until
/// `next.sign_by` is frozen; one that has may respond until the deadline.
async fn exchange(
    ingress: &Ingress,
    forwarded: &ForwardedRequest,
    mut connection: ClientConnection,
    next: HelperTry,
) -> Result<Response, HandoverTry> {
    let now = ingress.now();
    let left = forwarded.deadline.saturating_duration_since(now);
    if left.is_zero() || !forwarded.gate.try_send() {
        return Err(HandoverTry::Unsent);
    }
    let message = request_message(ingress, forwarded, next.grant, left);
    let limits = ResponseLimits {
        body_bytes: MAX_BODY_BYTES,
        memory: Some(ingress.memory.clone()),
    };
    let is_own_response = |response: &Response| {
        match ingress.protocol.read_metadata(response).request_id {
            Some(id) => id == forwarded.id,
            // Successes are those of endpoints, which have an id.
            None => !(200..300).contains(&response.status),
        }
    };
    let method = &forwarded.req.method;
    connection.history.record_request();
    let taken = CancellationToken::new();
    let on_informational = || taken.cancel();
    let exchanging = connection.exchange_with_informational(
        method,
        &message,
        &limits,
        is_own_response,
        on_informational,
    );
    let timed_out = async {
        let clock = &ingress.clock;
        tokio::select! {
            biased;
            () = taken.cancelled() => {}
            () = clock.sleep_until(next.sign_by + RESPONSE_MARGIN) => return HandoverTry::Silent,
        }
        clock
            .sleep_until(forwarded.deadline + RESPONSE_MARGIN)
            .await;
        HandoverTry::TimedOut
    };
    let exchanged = tokio::select! {
        biased;
        exchanged = exchanging => exchanged,
        end = timed_out => return Err(end),
    };
    let response = exchanged.map_err(|e| failed_try(&e))?;
    let has_id = ingress
        .protocol
        .read_metadata(&response)
        .request_id
        .is_some();
    if !has_id && !connection.history.proves_response_without_id() {
        return Err(HandoverTry::Broken);
    }
    match refusal(&response) {
        Some(refusal) => Err(HandoverTry::Refused(refusal)),
        None => Ok(response),
    }
}

fn failed_try(error: &ExchangeError) -> HandoverTry {
    match error.is_unsent() {
        true => HandoverTry::Unsent,
        false => HandoverTry::Broken,
    }
}

/// Why the helper does not take the request; `None` if it has taken it.
fn refusal(response: &Response) -> Option<HelperRefusal> {
    let marker = response.headers.get_str(HANDOVER_HEADER)?;
    marker.parse().ok()
}

/// Encodes the request as the client sent it, with the time and the attempts that are left.
fn request_message(
    ingress: &Ingress,
    forwarded: &ForwardedRequest,
    grant: AttemptGrant,
    left: Duration,
) -> Message {
    let protocol = &*ingress.protocol;
    let req = &forwarded.req;
    let mut buf = begin_message(req);
    let replaced = protocol.replaced_headers();
    let skipped: Vec<_> = replaced.iter().chain(&SKIPPED_HEADERS).copied().collect();
    req.headers
        .write_end_to_end(&mut buf, &skipped, protocol.kept_headers());
    protocol.write_client_timeout(&mut buf, left);
    buf.put_slice(format!("{HANDOVER_HEADER}: {grant}\r\n").as_bytes());
    if let Some(version) = ingress.document_version() {
        buf.put_slice(format!("{DOCUMENT_HEADER}: {version}\r\n").as_bytes());
    }
    buf.put_slice(format!("Content-Length: {}\r\n\r\n", req.body.len()).as_bytes());
    Message::new(buf, &req.body)
}

/// Whether a response says that the request has failed, so that an idempotent one is worth another attempt: that of an
/// endpoint, or of a helper that has got none. Its other responses promise that the request has not run, or come late.
pub(super) fn is_failure(response: &Response) -> bool {
    match response.headers.contains(HANDOVER_HEADER) {
        true => response.status == GatewayResponse::NoAnswer.status(),
        false => response.status >= 500,
    }
}
