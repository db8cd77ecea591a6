//! Callers that look up and book.

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

/// Callers; each sends one call after the other.
const CALLERS: u32 = 100;
/// Time at the start of a case that is not measured.
const WARM_UP: Duration = Duration::from_secs(2);
const ACTION_ID: &str = "turmericloft-action-id";

/// How bookings are named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KeySource {
    Issued,
    OwnKey,
}

/// The load of one case.
#[derive(Clone, Debug)]
pub(super) struct Load {
    pub(super) rate: u32,
    key_source: KeySource,
    resend_percent: u32,
    seed: u64,
}

/// What the callers saw. Times are in microseconds.
#[derive(Debug)]
pub(super) struct Results {
    pub(super) lookup: Histogram<u64>,
    /// Bookings sent to their executor, or with a key of the caller's own.
    pub(super) executor: Histogram<u64>,
    /// Bookings sent to another gateway.
    pub(super) forwarded: Histogram<u64>,
    pub(super) sent: u64,
    pub(super) served: u64,
    /// Tags of bookings that were told not-run.
    pub(super) not_run: Vec<String>,
}

struct Caller {
    load: Load,
    at: Arc<Installation>,
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

    /// Sends calls for this long and gives what came of them.
    pub(super) async fn run(&self, at: &Arc<Installation>, length: Duration) -> Results {
        let mut callers = JoinSet::new();
        for number in 0..CALLERS {
            let caller = Caller {
                load: self.clone(),
                at: Arc::clone(at),
                client: Client::builder(TokioExecutor::new()).build_http(),
                rng: Pcg64Mcg::seed_from_u64(self.seed * 1_000 + u64::from(number)),
                number,
            };
            callers.spawn(caller.run(length));
        }
        let mut all = Results::new();
        for results in callers.join_all().await {
            all.add(results);
        }
        all
    }
}

impl Caller {
    async fn run(mut self, length: Duration) -> Results {
        let mut results = Results::new();
        let period = Duration::from_secs(1) * CALLERS / self.load.rate;
        sleep(period * self.number / CALLERS).await;
        let started = tokio::time::Instant::now();
        let mut tick = interval_at(started, period);
        tick.set_missed_tick_behavior(MissedTickBehavior::Skip);
        for call in 0_u64.. {
            tick.tick().await;
            if started.elapsed() > WARM_UP + length {
                break;
            }
            let measured = started.elapsed() > WARM_UP;
            self.call(call, measured, &mut results).await;
        }
        results
    }

    async fn call(&mut self, call: u64, measured: bool, results: &mut Results) {
        let gateways = self.at.gateways.len();
        let (issuer, entry) = (
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
        let name = match self.load.key_source {
            KeySource::Issued => lookup
                .headers()
                .get(ACTION_ID)
                .and_then(|v| v.to_str().ok())
                .map(|id| (ACTION_ID, id.to_owned())),
            KeySource::OwnKey => Some(("idempotency-key", tag.clone())),
        };
        let Some((header, name)) = name else { return };
        let headers = [(header, name.as_str()), ("run-tag", tag.as_str())];
        let started = Instant::now();
        let answer = self
            .send(entry, Method::POST, "/booking/book", &headers, &tag)
            .await;
        let booking_time = started.elapsed();
        let mut answers = vec![answer];
        if resend {
            let other = (entry + 1) % gateways;
            answers.push(
                self.send(other, Method::POST, "/booking/book", &headers, &tag)
                    .await,
            );
        }
        let told = |a: &Response<Bytes>| {
            String::from_utf8_lossy(a.body()).contains("\"outcome\":\"not-run\"")
        };
        if answers.iter().flatten().any(told) {
            results.not_run.push(tag);
        }
        if !measured {
            return;
        }
        results.sent += 1;
        results.served += u64::from(answers[0].as_ref().is_some_and(|a| a.status().is_success()));
        let _ = results.lookup.record(lookup_time.as_micros() as u64);
        let direct = issuer == entry || self.load.key_source == KeySource::OwnKey;
        let times = if direct {
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
        let address: SocketAddr = self.at.gateways[gateway];
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(AUTHORIZATION, format!("Bearer {TOKEN}"));
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(Bytes::from(body.to_owned()))).ok()?;
        let (head, body) = self.client.request(req).await.ok()?.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some(Response::from_parts(head, body))
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

    /// Times of all bookings.
    pub(super) fn all_bookings(&self) -> Histogram<u64> {
        let mut all = self.executor.clone();
        let _ = all.add(&self.forwarded);
        all
    }

    fn add(&mut self, other: Self) {
        let _ = self.lookup.add(&other.lookup);
        let _ = self.executor.add(&other.executor);
        let _ = self.forwarded.add(&other.forwarded);
        self.sent += other.sent;
        self.served += other.served;
        self.not_run.extend(other.not_run);
    }
}
