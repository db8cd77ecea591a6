//! One attempt of a request at one endpoint.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::{BufMut, BytesMut};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::{
    in_flight::InFlight,
    protocol::{AttemptHeaders, EndpointProtocol},
    shared::Ingress,
};
use crate::{
    core::{
        placement::{AttemptOutcome, LoadReport},
        traffic::Route,
    },
    sources::http1::{ClientConnection, ExchangeError, Request, Response},
};

/// Time for a connection to an endpoint: some round trips, and a lost packet.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// Time without acknowledgement after which a connection is given up.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_500);
/// Time beyond its deadline that an endpoint's own answer may take to arrive.
const ANSWER_SLACK: Duration = Duration::from_millis(40);

/// A request on its way, shared by its attempts.
#[derive(Debug)]
pub(super) struct Forwarded {
    /// The request.
    pub(super) req: Request,
    /// Its id.
    pub(super) id: Vec<u8>,
    /// Its route.
    pub(super) route: Arc<Route>,
    /// When the client or the route's timeout gives up.
    pub(super) until: Instant,
    /// Whether the client has left.
    pub(super) client_gone: CancellationToken,
}

/// How an attempt ended.
#[derive(Debug)]
pub(super) enum AttemptEnd {
    /// A whole answer.
    Answered(Response),
    /// The endpoint has not run the request and never will.
    NotRun,
    /// The endpoint may have run the request; no whole answer came.
    Unknown(AttemptOutcome),
}

/// Sends a request to the endpoint of `in_flight` and judges what comes back.
pub(super) async fn attempt(
    ingress: Arc<Ingress>,
    forwarded: Arc<Forwarded>,
    in_flight: InFlight,
) -> AttemptEnd {
    let (end, outcome, load) = send(&ingress, &forwarded, &in_flight).await;
    if outcome != AttemptOutcome::Answered {
        let endpoint = &in_flight.placement().endpoint;
        let now = ingress.now();
        ingress.log.note(
            now,
            "attempt failed",
            format_args!(
                "request={} route={} endpoint={} peer={} outcome={outcome} took_ms={} \
                 expected_ms={} known_for_ms={:?} left_ms={}",
                String::from_utf8_lossy(&forwarded.id),
                forwarded.route.name,
                endpoint.id,
                endpoint.address,
                (now - in_flight.placement().started_at).as_millis(),
                in_flight.placement().expected_latency.as_millis(),
                in_flight.placement().report_age.map(|age| age.as_millis()),
                forwarded.until.saturating_duration_since(now).as_millis(),
            ),
        );
    }
    in_flight.end(outcome, load);
    end
}

type Judged = (AttemptEnd, AttemptOutcome, Option<LoadReport>);

async fn send(ingress: &Ingress, forwarded: &Forwarded, in_flight: &InFlight) -> Judged {
    let endpoint = &in_flight.placement().endpoint;
    let now = ingress.now();
    let pooled = ingress.pool.take(now, &endpoint.id, forwarded.route.kind);
    if let Some(mut connection) = pooled {
        match exchange(ingress, forwarded, in_flight, &mut connection).await {
            Some(Err(e)) if e.is_unsent() => {}
            result => return judge(ingress, in_flight, connection, result),
        }
    }
    let limit = CONNECT_LIMIT.min(forwarded.until.saturating_duration_since(ingress.now()));
    let opened = ClientConnection::open(endpoint.address, limit, UNACKNOWLEDGED_LIMIT).await;
    let mut connection = match opened {
        Ok(connection) => connection,
        Err(_) => return (AttemptEnd::NotRun, AttemptOutcome::Unreachable, None),
    };
    if forwarded.client_gone.is_cancelled() {
        return (AttemptEnd::NotRun, AttemptOutcome::Abandoned, None);
    }
    let result = exchange(ingress, forwarded, in_flight, &mut connection).await;
    judge(ingress, in_flight, connection, result)
}

/// Gives none if no answer came in time.
async fn exchange(
    ingress: &Ingress,
    forwarded: &Forwarded,
    in_flight: &InFlight,
    connection: &mut ClientConnection,
) -> Option<Result<Response, ExchangeError>> {
    let left = forwarded.until.saturating_duration_since(ingress.now());
    let protocol = &*ingress.protocol;
    let instance = &in_flight.placement().endpoint.id;
    let message = message(protocol, &forwarded.req, &AttemptHeaders { left, instance });
    let belongs = |response: &Response| {
        let marks = protocol.read_marks(response);
        match marks.request_id {
            Some(id) => id == forwarded.id,
            None => !(200..300).contains(&response.status),
        }
    };
    let answer = connection.exchange(&forwarded.req.method, &message, belongs);
    timeout(left + ANSWER_SLACK, answer).await.ok()
}

fn judge(
    ingress: &Ingress,
    in_flight: &InFlight,
    mut connection: ClientConnection,
    result: Option<Result<Response, ExchangeError>>,
) -> Judged {
    let response = match result {
        Some(Ok(response)) => response,
        Some(Err(e)) if e.is_unsent() => {
            return (AttemptEnd::NotRun, AttemptOutcome::Unreachable, None);
        }
        Some(Err(_)) => return unknown(AttemptOutcome::Broken, None),
        None => return unknown(AttemptOutcome::TimedOut, None),
    };
    let marks = ingress.protocol.read_marks(&response);
    let load = marks.load;
    if marks.other_instance {
        return (AttemptEnd::NotRun, AttemptOutcome::OtherInstance, None);
    }
    let success = (200..300).contains(&response.status);
    let encoded = response.headers.has("content-encoding");
    if (success && !marks.signed) || encoded {
        return unknown(AttemptOutcome::Broken, load);
    }
    let not_run = marks.not_run;
    if response.keeps_connection {
        connection.keep_alive = keep_alive(&response);
        let id = &in_flight.placement().endpoint.id;
        ingress.pool.put(ingress.now(), id, connection);
    }
    if not_run {
        return (AttemptEnd::NotRun, AttemptOutcome::Shed, load);
    }
    let outcome = if response.status >= 500 {
        AttemptOutcome::Failed
    } else {
        AttemptOutcome::Answered
    };
    (AttemptEnd::Answered(response), outcome, load)
}

fn unknown(outcome: AttemptOutcome, load: Option<LoadReport>) -> Judged {
    (AttemptEnd::Unknown(outcome), outcome, load)
}

fn keep_alive(response: &Response) -> Option<Duration> {
    let text = response.headers.text("keep-alive")?;
    let timeout = text
        .split(',')
        .find_map(|p| p.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}

fn message(protocol: &dyn EndpointProtocol, req: &Request, own: &AttemptHeaders<'_>) -> BytesMut {
    let mut buf = BytesMut::with_capacity(512 + req.body.len());
    buf.put_slice(&req.method);
    buf.put_u8(b' ');
    buf.put_slice(&req.target);
    buf.put_slice(b" HTTP/1.1\r\n");
    let kept = protocol.kept_headers();
    req.headers
        .write_end_to_end(&mut buf, protocol.replaced_headers(), kept);
    protocol.write_attempt(&mut buf, own);
    let bodiless = matches!(&req.method[..], b"GET" | b"HEAD" | b"DELETE" | b"OPTIONS");
    if !req.body.is_empty() || !bodiless {
        buf.put_slice(format!("Content-Length: {}\r\n", req.body.len()).as_bytes());
    }
    buf.put_slice(b"\r\n");
    buf.put_slice(&req.body);
    buf
}
