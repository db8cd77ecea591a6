//! Load generator whose callers send lookups and bookings.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Method, Request, Response, header::AUTHORIZATION};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::{
    task::JoinSet,
    time::{MissedTickBehavior, interval_at, sleep},
};

use super::{
    Args,
    installation::{Installation, TOKEN},
};

/// Number of concurrent callers; each sends its requests one after the other.
const CALLERS: u32 = 100;
/// Time at the start of a case that the results leave out.
const WARM_UP: Duration = Duration::from_secs(2);
/// Header that carries the action id, in the response to a lookup and in a booking.
const ACTION_ID: &str = "turmericloft-action-id";

/// Source of the key that identifies a booking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KeySource {
    /// Action id that the gateway issued with the lookup.
    Issued,
    /// Idempotency key that the caller chose.
    OwnKey,
}

/// Load of one case. The rate is in bookings per second over all callers.
#[derive(Clone, Debug)]
pub(super) struct Load {
    pub(super) rate: u32,
    key_source: KeySource,
    resend_percent: u32,
    seed: u64,
}

/// Results as the callers measured them. Times are in microseconds.
#[derive(Debug)]
pub(super) struct Results {
    pub(super) lookup: Histogram<u64>,
    /// Bookings sent to their executor, or sent with an idempotency key.
    pub(super) executor: Histogram<u64>,
    /// Bookings sent to a gateway that forwards them to their executor.
    pub(super) forwarded: Histogram<u64>,
    pub(super) sent: u64,
    pub(super) served: u64,
    /// Tags of bookings for which a response had the outcome `not-run`.
    pub(super) not_run: Vec<String>,
}

struct Caller {
    load: Load,
    installation: Arc<Installation>,
    client: Client<HttpConnector, Full<Bytes>>,
    rng: Pcg64Mcg,
    number: u32,
}

impl Load {
    pub(super) fn new(args: &Args, seed: u64, key_source: KeySource) -> Self {
        Self {
            rate: args.rate,
            key_source,
            resend_percent: args.resend_percent,
            seed,
        }
    }

    /// Sends lookups and bookings for [`WARM_UP`] and then for `duration`, and returns the results
    /// of all callers.
    pub(super) async fn run(
        &self,
        installation: &Arc<Installation>,
        duration: Duration,
    ) -> Results {
        let mut callers = JoinSet::new();
        for number in 0..CALLERS {
            let caller = Caller {
                load: self.clone(),
                installation: Arc::clone(installation),
                client: Client::builder(TokioExecutor::new()).build_http(),
                rng: Pcg64Mcg::seed_from_u64(self.seed * 1_000 + u64::from(number)),
                number,
            };
            callers.spawn(caller.run(duration));
        }
        let mut all = Results::new();
        for results in callers.join_all().await {
            all.merge(results);
        }
        all
    }
}

impl Caller {
    async fn run(mut self, duration: Duration) -> Results {
        let mut results = Results::new();
        let period = Duration::from_secs(1) * CALLERS / self.load.rate;
        sleep(period * self.number / CALLERS).await;
        let started = tokio::time::Instant::now();
        let mut tick = interval_at(started, period);
        tick.set_missed_tick_behavior(MissedTickBehavior::Skip);
        for call in 0_u64.. {
            tick.tick().await;
            if started.elapsed() > WARM_UP + duration {
                break;
            }
            let measured = started.elapsed() > WARM_UP;
            self.send_pair(call, measured, &mut results).await;
        }
        results
    }

    /// Sends a lookup and a booking, and a share of the bookings a second time, to another gateway.
    async fn send_pair(&mut self, call: u64, measured: bool, results: &mut Results) {
        let gateways = self.installation.gateways.len();
        let (issuer, receiver) = (
            self.rng.random_range(0..gateways),
            self.rng.random_range(0..gateways),
        );
        let resend = self.rng.random_range(0..100) < self.load.resend_percent;
        let tag = format!("{}-{}-{call}", self.load.seed, self.number);
        let started = Instant::now();
        let Some(lookup) = self
            .send(
                issuer,
                Method::GET,
                "/calendar/free",
                &[("turmericloft-action-id-for", "booking")],
                "",
            )
            .await
        else {
            return;
        };
        let lookup_time = started.elapsed();
        let key = match self.load.key_source {
            KeySource::Issued => lookup
                .headers()
                .get(ACTION_ID)
                .and_then(|v| v.to_str().ok())
                .map(|id| (ACTION_ID, id.to_owned())),
            KeySource::OwnKey => Some(("idempotency-key", tag.clone())),
        };
        let Some((header, key)) = key else { return };
        let headers = [(header, key.as_str()), ("run-tag", tag.as_str())];
        let started = Instant::now();
        let response = self
            .send(receiver, Method::POST, "/booking/book", &headers, &tag)
            .await;
        let booking_time = started.elapsed();
        let mut responses = vec![response];
        if resend {
            let other = (receiver + 1) % gateways;
            responses.push(
                self.send(other, Method::POST, "/booking/book", &headers, &tag)
                    .await,
            );
        }
        let is_not_run = |r: &Response<Bytes>| {
            String::from_utf8_lossy(r.body()).contains("\"outcome\":\"not-run\"")
        };
        if responses.iter().flatten().any(is_not_run) {
            results.not_run.push(tag);
        }
        if !measured {
            return;
        }
        results.sent += 1;
        results.served += u64::from(
            responses[0]
                .as_ref()
                .is_some_and(|r| r.status().is_success()),
        );
        let _ = results.lookup.record(lookup_time.as_micros() as u64);
        let is_direct = issuer == receiver || self.load.key_source == KeySource::OwnKey;
        let times = if is_direct {
            &mut results.executor
        } else {
            &mut results.forwarded
        };
        let _ = times.record(booking_time.as_micros() as u64);
    }

    async fn send(
        &self,
        gateway: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<Response<Bytes>> {
        let address: SocketAddr = self.installation.gateways[gateway];
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(AUTHORIZATION, format!("Bearer {TOKEN}"));
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(Bytes::from(body.to_owned()))).ok()?;
        let (parts, body) = self.client.request(req).await.ok()?.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some(Response::from_parts(parts, body))
    }
}

impl Results {
    fn new() -> Self {
        let times = || Histogram::new(3).unwrap_or_else(|_| unreachable!("three digits are valid"));
        Self {
            lookup: times(),
            executor: times(),
            forwarded: times(),
            sent: 0,
            served: 0,
            not_run: Vec::new(),
        }
    }

    /// Times of all bookings, both those sent to the executor and those forwarded.
    pub(super) fn all_bookings(&self) -> Histogram<u64> {
        let mut all = self.executor.clone();
        let _ = all.add(&self.forwarded);
        all
    }

    fn merge(&mut self, other: Self) {
        let _ = self.lookup.add(&other.lookup);
        let _ = self.executor.add(&other.executor);
        let _ = self.forwarded.add(&other.forwarded);
        self.sent += other.sent;
        self.served += other.served;
        self.not_run.extend(other.not_run);
    }
}
