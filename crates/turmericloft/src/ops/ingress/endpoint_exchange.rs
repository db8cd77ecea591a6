//! Exchange of one attempt with an endpoint on an open connection.

use std::time::Duration;

use bytes::{BufMut, BytesMut};

use super::{
    attempt::ForwardedRequest,
    handover::{DOCUMENT_HEADER, HANDOVER_HEADER},
    in_flight_attempt::InFlightAttempt,
    protocol::{AttemptHeaders, EndpointProtocol},
    quotas::bound_transit,
    shared::Ingress,
};
use crate::{
    core::key_lease::Access,
    sources::http1::{ClientConnection, ExchangeError, Message, Request, Response, ResponseLimits},
};

/// Largest response body that is forwarded, in bytes.
pub(super) const MAX_BODY_BYTES: usize = 16 << 20;
/// Time past the deadline that the gateway still waits, so that a response which the endpoint sends
/// at the deadline arrives.
pub(super) const RESPONSE_MARGIN: Duration = Duration::from_millis(40);

/// Sends the request on `connection` and reads its response. Returns `None` if no response arrived in time.
pub(super) async fn exchange(
    ingress: &Ingress,
    forwarded: &ForwardedRequest,
    in_flight: &InFlightAttempt,
    access: &Access,
    connection: &mut ClientConnection,
) -> Option<Result<Response, ExchangeError>> {
    let left = forwarded.deadline.saturating_duration_since(ingress.now());
    let protocol = &*ingress.protocol;
    let instance = &in_flight.placement().endpoint.id;
    let message = request_message(
        protocol,
        forwarded,
        &AttemptHeaders {
            timeout: left,
            instance,
            organisation: access.organisation.as_ref().map(|o| &*o.name),
        },
        access.removes_credentials,
    );
    if let Err(e) = bound_transit(ingress, in_flight, connection) {
        return Some(Err(e));
    }
    let is_own_response = |response: &Response| {
        let metadata = protocol.read_metadata(response);
        match metadata.request_id {
            Some(id) => id == forwarded.id,
            None => !(200..300).contains(&response.status),
        }
    };
    let method = &forwarded.req.method;
    let limits = ResponseLimits {
        body_bytes: MAX_BODY_BYTES,
        memory: Some(ingress.memory.clone()),
    };
    // What an endpoint states of its limit holds although the rest of the response is missing.
    let read_truncated = |head: &Response| {
        if is_own_response(head) {
            let placement = in_flight.placement();
            let limit = protocol.read_metadata(head).limit;
            ingress.record_limit(placement.started_at, &placement.endpoint, limit);
        }
    };
    connection.history.record_request();
    let response =
        connection.exchange_with_heads(method, &message, &limits, is_own_response, read_truncated);
    tokio::select! {
        biased;
        response = response => Some(response),
        () = ingress.clock.sleep_until(forwarded.deadline + RESPONSE_MARGIN) => None,
    }
}

/// Encodes the first line of a request, with room for the rest of the head and a small body.
pub(super) fn begin_message(req: &Request) -> BytesMut {
    let small = req.body.len().min(Message::JOINED_BYTES);
    let mut buf = BytesMut::with_capacity(512 + small);
    buf.put_slice(&req.method);
    buf.put_u8(b' ');
    buf.put_slice(&req.target);
    buf.put_slice(b" HTTP/1.1\r\n");
    buf
}

fn request_message(
    protocol: &dyn EndpointProtocol,
    forwarded: &ForwardedRequest,
    attempt: &AttemptHeaders<'_>,
    removes_credentials: bool,
) -> Message {
    let req = &forwarded.req;
    let mut buf = begin_message(req);
    let mut removed = protocol.replaced_headers().to_vec();
    if removes_credentials {
        removed.extend(protocol.credential_headers());
    }
    if forwarded.grant.is_some() {
        removed.extend([HANDOVER_HEADER, DOCUMENT_HEADER]);
    }
    let kept = protocol.kept_headers();
    req.headers.write_end_to_end(&mut buf, &removed, kept);
    protocol.write_attempt_headers(&mut buf, attempt);
    let is_bodiless = matches!(&req.method[..], b"GET" | b"HEAD" | b"DELETE" | b"OPTIONS");
    if !req.body.is_empty() || !is_bodiless {
        buf.put_slice(format!("Content-Length: {}\r\n", req.body.len()).as_bytes());
    }
    buf.put_slice(b"\r\n");
    Message::new(buf, &req.body)
}
