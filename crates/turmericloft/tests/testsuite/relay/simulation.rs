//! Many gateways with one registry, under lost messages, halts, delays and a registry that is away
//! for some. Time is simulated; each seed gives the same run.
//!
//! Two promises are checked at every step: what a gateway claims to know as of a moment it does
//! know, and a gateway that reaches the registry is never further behind than the time for leaving
//! endpoints.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use turmericloft::core::{
    placement::{EndpointState, Observation},
    relay::{RegistryView, RelayPoll, RelayResponse, UpstreamChooser},
};

use super::{DRAIN_TIME, member, observed, removed, timings};

const STEP: Duration = Duration::from_millis(10);
const STEPS: u32 = 3_000;
/// Steps between two checks of the promises.
const CHECK_STEPS: u32 = 7;
const SEEDS: u64 = 24;
const GATEWAYS: usize = 12;
const ENDPOINTS: usize = 6;

/// The registry's history; the place of a record is its offset.
#[derive(Default)]
struct Registry {
    records: Vec<(Instant, Observation)>,
}

impl Registry {
    fn write(&mut self, now: Instant, rng: &mut Pcg64Mcg) {
        let offset = self.records.len() as u64;
        let id = format!("e{}", rng.random_range(0..ENDPOINTS));
        let record = match rng.random_range(0..10) {
            0 => removed(&id, offset),
            1 => observed(&id, offset, EndpointState::Draining),
            _ => observed(&id, offset, EndpointState::Ready),
        };
        self.records.push((now, record));
    }

    fn since(&self, from: u64) -> Vec<Observation> {
        let records = self.records.iter().skip(from as usize);
        records.map(|(_, record)| record.clone()).collect()
    }

    /// Newest record of each key among those written before `at`.
    fn as_of(&self, at: Instant) -> BTreeMap<&str, &Observation> {
        let before = self.records.iter().filter(|(written, _)| *written < at);
        before.map(|(_, r)| (&*r.id, r)).collect()
    }
}

/// A question under way, at its destination, or its answer on the way back.
struct Exchange {
    upstream: usize,
    polled: Instant,
    poll: RelayPoll,
    /// On the steady clock of the upstream, once it is there.
    received: Option<Instant>,
    arrives: Instant,
    answer: Option<RelayResponse>,
}

struct Gateway {
    view: RegistryView,
    chooser: UpstreamChooser,
    exchange: Option<Exchange>,
    next_read: Instant,
    /// Halted until then; its clock stands still.
    halted_until: Instant,
    /// Begins and lengths of its halts.
    halts: Vec<(Instant, Duration)>,
    /// Cut off from the registry until then.
    cut_until: Instant,
    /// Since when it ran and reached the registry.
    sound_since: Instant,
}

impl Gateway {
    fn is_halted(&self, now: Instant) -> bool {
        self.halted_until > now
    }

    /// Its own steady clock, which leaves out halts.
    fn clock(&self, now: Instant) -> Instant {
        now - self.halts.iter().map(|(_, halt)| *halt).sum::<Duration>()
    }

    /// The first moment at which its clock showed `clock`.
    fn real_time(&self, clock: Instant) -> Instant {
        let halts = self.halts.iter();
        halts.fold(
            clock,
            |at, (begun, halt)| if at > *begun { at + *halt } else { at },
        )
    }
}

struct World {
    rng: Pcg64Mcg,
    begun: Instant,
    registry: Registry,
    gateways: Vec<Gateway>,
    reads: u32,
    faults: bool,
    /// A fault of the simulated program: it takes answers to be as new as their arrival.
    trusts_arrival: bool,
}

impl World {
    fn new(seed: u64, faults: bool) -> Self {
        let begun = Instant::now() + Duration::from_secs(3_600);
        let members: Vec<_> = (0..GATEWAYS)
            .map(|i| member(&format!("h{i}"), "a"))
            .collect();
        let gateways = members.iter().map(|m| {
            let mut chooser = UpstreamChooser::new(m.host.clone(), m.zone.clone());
            chooser.set_members(&members);
            Gateway {
                view: RegistryView::new(timings()),
                chooser,
                exchange: None,
                next_read: begun,
                halted_until: begun,
                halts: Vec::new(),
                cut_until: begun,
                sound_since: begun,
            }
        });
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            begun,
            registry: Registry::default(),
            gateways: gateways.collect(),
            reads: 0,
            faults,
            trusts_arrival: false,
        }
    }

    fn run(&mut self) -> Result<(), String> {
        for step in 0..STEPS {
            let now = self.begun + STEP * step;
            if self.rng.random_bool(0.3) {
                self.registry.write(now, &mut self.rng);
            }
            for i in 0..GATEWAYS {
                self.upset(now, i);
                if !self.gateways[i].is_halted(now) {
                    let clock = self.gateways[i].clock(now);
                    self.gateways[i].view.expire(clock);
                    self.read(now, i);
                    self.follow(now, i);
                }
                if step % CHECK_STEPS == 0 {
                    self.check(now, i)?;
                }
            }
        }
        Ok(())
    }

    /// Halts a gateway or cuts it off, now and then.
    fn upset(&mut self, now: Instant, i: usize) {
        if !self.faults {
            return;
        }
        let g = &mut self.gateways[i];
        if !g.is_halted(now) && self.rng.random_bool(0.001) {
            let halt = Duration::from_millis(self.rng.random_range(50..4_000));
            g.halted_until = now + halt;
            g.halts.push((now, halt));
        }
        if self.rng.random_bool(0.001) {
            let cut = Duration::from_millis(self.rng.random_range(50..6_000));
            g.cut_until = now + cut;
        }
        if g.halted_until > now || g.cut_until > now {
            g.sound_since = now;
        }
    }

    fn read(&mut self, now: Instant, i: usize) {
        let g = &mut self.gateways[i];
        let clock = g.clock(now);
        if g.view.relay_fresh_until(clock).is_some() || now < g.next_read {
            return;
        }
        self.reads += 1;
        if g.cut_until > now {
            g.next_read = now + Duration::from_millis(250);
            return;
        }
        let next = self.registry.records.len() as u64;
        let records = self.registry.since(g.view.next_offset());
        g.view.apply_records(clock, clock, next, records);
        g.next_read = now + timings().read_interval();
    }

    fn follow(&mut self, now: Instant, i: usize) {
        let Some(mut exchange) = self.gateways[i].exchange.take() else {
            self.ask(now, i);
            return;
        };
        let clock = self.gateways[i].clock(now);
        if clock.saturating_duration_since(exchange.polled) > timings().response_timeout() {
            let g = &mut self.gateways[i];
            let host = format!("h{}", exchange.upstream);
            g.chooser.record_failure(clock, &host);
            return;
        }
        if now >= exchange.arrives {
            if let Some(answer) = &exchange.answer {
                let polled = if self.trusts_arrival {
                    clock
                } else {
                    exchange.polled
                };
                let g = &mut self.gateways[i];
                g.view.apply_response(clock, polled, answer);
                if !answer.is_current {
                    let host = format!("h{}", exchange.upstream);
                    g.chooser.record_stale(clock, &host);
                }
                return;
            }
            self.answer(now, &mut exchange);
        }
        self.gateways[i].exchange = Some(exchange);
    }

    fn ask(&mut self, now: Instant, i: usize) {
        let clock = self.gateways[i].clock(now);
        let g = &self.gateways[i];
        let Some(upstream) = g.chooser.upstream(clock) else {
            return;
        };
        let upstream = upstream.host[1..].parse().expect("a number");
        let poll = RelayPoll {
            host: format!("h{i}").into(),
            from_offset: g.view.next_offset(),
            document_version: 0,
        };
        let arrives = now + self.delay();
        self.gateways[i].exchange = Some(Exchange {
            upstream,
            polled: clock,
            poll,
            received: None,
            arrives,
            answer: None,
        });
    }

    /// The upstream answers when it knows more than when the question came.
    fn answer(&mut self, now: Instant, exchange: &mut Exchange) {
        let delay = self.delay();
        let upstream = &self.gateways[exchange.upstream];
        if upstream.is_halted(now) {
            return;
        }
        let clock = upstream.clock(now);
        let received = *exchange.received.get_or_insert(clock);
        let is_news = upstream.view.has_update(received, &exchange.poll);
        let refresh_deadline = upstream.view.refresh_deadline(received);
        let grace = received + timings().read_grace();
        let idle_at = received + timings().idle_response_after();
        if is_news || clock >= idle_at.min(refresh_deadline.max(grace)) {
            exchange.answer = Some(upstream.view.response(clock, received, &exchange.poll));
            exchange.arrives = now + delay;
        }
    }

    /// Time on the way; now and then a message is stuck for long.
    fn delay(&mut self) -> Duration {
        let stuck = self.faults && self.rng.random_bool(0.02);
        let most = if stuck { 1_500 } else { 20 };
        Duration::from_millis(self.rng.random_range(0..most))
    }

    fn check(&self, now: Instant, i: usize) -> Result<(), String> {
        let g = &self.gateways[i];
        if g.is_halted(now) {
            return Ok(());
        }
        let sound_for = now.saturating_duration_since(g.sound_since);
        if sound_for <= 2 * DRAIN_TIME {
            return Ok(());
        }
        if let Some(as_of) = g.view.as_of() {
            self.check_known(i, g.real_time(as_of), "claims to know")?;
        }
        self.check_known(i, now - DRAIN_TIME, "has to know")
    }

    /// The gateway shows each key as it was at `at` or later.
    fn check_known(&self, i: usize, at: Instant, why: &str) -> Result<(), String> {
        let shown = self.gateways[i].view.endpoints();
        for (key, last) in self.registry.as_of(at) {
            let later = self.registry.records.iter().skip(last.offset as usize);
            let mut allowed = later
                .filter(|(_, r)| *r.id == *key)
                .map(|(_, r)| &r.endpoint);
            let shown = shown.iter().find(|e| *e.id == *key);
            if !allowed.any(|e| e.as_ref() == shown) {
                let offset = last.offset;
                let shown = shown.map(|e| e.state);
                return Err(format!(
                    "h{i} {why} record {offset} and shows {key} as {shown:?}"
                ));
            }
        }
        Ok(())
    }
}

fn run(seed: u64, faults: bool) -> Result<u32, String> {
    let mut world = World::new(seed, faults);
    world.run().map_err(|e| format!("seed {seed}: {e}"))?;
    Ok(world.reads)
}

#[test]
fn nobody_claims_too_much_or_falls_behind_whatever_fails() {
    for seed in 0..SEEDS {
        if let Err(e) = run(seed, true) {
            panic!("{e}");
        }
    }
}

/// Twelve gateways that each read once an interval would make twelve times as many reads.
#[test]
fn in_calm_one_gateway_reads_for_all() {
    let alone = STEP * STEPS;
    let alone = alone.as_secs_f64() / timings().read_interval().as_secs_f64();
    let reads = run(7, false).expect("no promise is broken");
    assert!(
        f64::from(reads) < 2.0 * alone,
        "{reads} reads, {alone} by one alone"
    );
}

/// A program that takes answers to be as new as their arrival is found out.
#[test]
fn trust_in_late_answers_is_caught() {
    let caught = (0..SEEDS).any(|seed| {
        let mut world = World::new(seed, true);
        world.trusts_arrival = true;
        world.run().is_err()
    });
    assert!(caught);
}
