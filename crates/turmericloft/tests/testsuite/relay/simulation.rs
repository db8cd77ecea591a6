//! Simulation of many gateways and one registry with message delays (some beyond
//! the response timeout), suspended hosts, a registry that is unavailable to some gateways, and
//! returns of the registry from an older copy. Time is simulated; a seed always gives the same run.
//!
//! Three invariants are checked at regular steps: a gateway's view reflects the registry as of the
//! instant that the view states; a gateway that has reached the registry for the stability window is never
//! further behind than the drain time; and what a gateway knew to be draining or removed is not ready again before
//! it starts again.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use turmericloft::core::{
    placement::{Observation, RegistryEra, RegistryPosition},
    relay::{RegistryView, RelayPoll, UpstreamChooser},
};

use super::{
    DRAIN_TIME, at, member,
    registry::Registry,
    simulated_gateway::{Exchange, Gateway},
    timings,
};

/// Time after a fault within which a gateway has to be up to date.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(10);
const STEPS: u32 = 3_000;
/// Steps between two checks of the invariants.
const CHECK_STEPS: u32 = 7;
/// Step from which on the registry may return from an older copy.
const RETURNS_FROM_STEP: u32 = 500;
const SEEDS: u64 = 24;
const GATEWAYS: usize = 12;

struct World {
    rng: Pcg64Mcg,
    started: Instant,
    registry: Registry,
    gateways: Vec<Gateway>,
    reads: u32,
    faults: bool,
    /// Injects a bug: the age of a response counts from its arrival instead of from its poll.
    counts_from_arrival: bool,
    /// Injects a bug: the hosts' clocks stop while they are suspended.
    leaves_out_suspensions: bool,
    /// Injects a bug: gateways take all offsets for positions in one era.
    ignores_eras: bool,
}

impl World {
    fn new(seed: u64, faults: bool) -> Self {
        let started = Instant::now() + Duration::from_secs(3_600);
        let members: Vec<_> = (0..GATEWAYS)
            .map(|i| member(&format!("h{i}"), "a"))
            .collect();
        let gateways = members.iter().map(|m| {
            let mut chooser = UpstreamChooser::new(m.host.clone(), m.zone.clone(), m.link_mbps);
            chooser.set_members(&members);
            Gateway {
                view: RegistryView::new(timings()),
                shown: HashMap::new(),
                chooser,
                exchange: None,
                next_read: started,
                suspended_until: started,
                left_out: Vec::new(),
                registry_unavailable_until: started,
                healthy_since: started,
            }
        });
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            started,
            registry: Registry::default(),
            gateways: gateways.collect(),
            reads: 0,
            faults,
            counts_from_arrival: false,
            leaves_out_suspensions: false,
            ignores_eras: false,
        }
    }

    fn run(&mut self) -> Result<(), String> {
        for step in 0..STEPS {
            let now = self.started + STEP * step;
            if self.rng.random_bool(0.3) {
                self.registry.write(now, &mut self.rng);
            }
            self.registry.rewrite(now);
            if self.faults && step > RETURNS_FROM_STEP && self.rng.random_bool(0.000_7) {
                self.registry.return_from_copy(now, &mut self.rng);
            }
            for i in 0..GATEWAYS {
                self.inject_fault(now, i);
                if !self.gateways[i].is_suspended(now) {
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

    /// Suspends a host or makes the registry unavailable to it, at random.
    fn inject_fault(&mut self, now: Instant, i: usize) {
        if !self.faults {
            return;
        }
        let g = &mut self.gateways[i];
        if !g.is_suspended(now) && self.rng.random_bool(0.001) {
            let length = Duration::from_millis(self.rng.random_range(50..4_000));
            g.suspended_until = now + length;
            if self.leaves_out_suspensions {
                g.left_out.push((now, length));
            }
        }
        if self.rng.random_bool(0.001) {
            let length = Duration::from_millis(self.rng.random_range(50..6_000));
            g.registry_unavailable_until = now + length;
        }
        if g.suspended_until > now || g.registry_unavailable_until > now {
            g.healthy_since = now;
        }
    }

    fn read(&mut self, now: Instant, i: usize) {
        let g = &mut self.gateways[i];
        let clock = g.clock(now);
        if g.view.relay_fresh_until(clock).is_some() || now < g.next_read {
            return;
        }
        self.reads += 1;
        if g.registry_unavailable_until > now {
            g.view.record_failed_read(clock);
            let relies_on_upstream =
                g.chooser.upstream(clock).is_some() && !g.view.is_current(clock);
            let recovery = timings().recovery();
            g.next_read = recovery.next_read(now, now, relies_on_upstream);
            return;
        }
        let next = self.registry.end();
        if self.ignores_eras {
            let records = self.registry.since(g.view.next().offset);
            let next = at(0, next.offset);
            g.view
                .apply_records(clock, clock, next, without_era(records));
        } else if g.view.next().era == next.era {
            let records = self.registry.since(g.view.next().offset);
            g.view.apply_records(clock, clock, next, records);
        } else {
            let list = self.registry.full_list();
            g.view.apply_full_list(clock, clock, list);
        }
        g.next_read = now + timings().read_interval();
    }

    fn follow(&mut self, now: Instant, i: usize) {
        let Some(mut exchange) = self.gateways[i].exchange.take() else {
            self.send_poll(now, i);
            return;
        };
        let clock = self.gateways[i].clock(now);
        if clock.saturating_duration_since(exchange.polled_at) > timings().response_timeout() {
            let g = &mut self.gateways[i];
            let host = format!("h{}", exchange.upstream);
            g.chooser.record_failure(clock, &host);
            return;
        }
        if now >= exchange.arrives {
            if let Some(response) = &exchange.response {
                let polled_at = if self.counts_from_arrival {
                    clock
                } else {
                    exchange.polled_at
                };
                let g = &mut self.gateways[i];
                let is_accepted = g.view.accepts(response);
                g.view.apply_response(clock, polled_at, response);
                if !response.is_current || !is_accepted {
                    let host = format!("h{}", exchange.upstream);
                    g.chooser.record_stale(clock, &host);
                }
                return;
            }
            self.respond(now, &mut exchange);
        }
        self.gateways[i].exchange = Some(exchange);
    }

    fn send_poll(&mut self, now: Instant, i: usize) {
        let clock = self.gateways[i].clock(now);
        let g = &self.gateways[i];
        let Some(upstream) = g.chooser.upstream(clock) else {
            return;
        };
        let upstream = upstream.host[1..].parse().expect("a number");
        let poll = RelayPoll {
            host: format!("h{i}").into(),
            from: g.view.next(),
            document_version: 0,
            active_version: 0,
            evacuation: RegistryPosition::default(),
            awaits_current: false,
        };
        let arrives = now + self.delay();
        self.gateways[i].exchange = Some(Exchange {
            upstream,
            polled_at: clock,
            poll,
            received: None,
            arrives,
            response: None,
        });
    }

    /// Lets the upstream respond if it has an update or its response is due.
    fn respond(&mut self, now: Instant, exchange: &mut Exchange) {
        let delay = self.delay();
        let upstream = &self.gateways[exchange.upstream];
        if upstream.is_suspended(now) {
            return;
        }
        let clock = upstream.clock(now);
        let received = *exchange.received.get_or_insert(clock);
        let has_update = upstream.view.has_update(received, &exchange.poll);
        let refresh_deadline = upstream.view.refresh_deadline(received);
        let grace = received + timings().read_grace();
        let idle_at = received + timings().idle_response_after();
        if has_update || clock >= idle_at.min(refresh_deadline.max(grace)) {
            exchange.response = Some(upstream.view.response(clock, received, &exchange.poll));
            exchange.arrives = now + delay;
        }
    }

    /// Random delivery delay of a message; with faults, some messages are delayed much longer.
    fn delay(&mut self) -> Duration {
        let is_delayed = self.faults && self.rng.random_bool(0.02);
        let max_ms = if is_delayed { 1_500 } else { 20 };
        Duration::from_millis(self.rng.random_range(0..max_ms))
    }

    fn check(&mut self, now: Instant, i: usize) -> Result<(), String> {
        if self.gateways[i].is_suspended(now) {
            return Ok(());
        }
        self.gateways[i]
            .check_progress(&self.registry)
            .map_err(|e| format!("h{i} {e}"))?;
        let g = &self.gateways[i];
        let disturbed_at = self.registry.last_return().max(Some(g.healthy_since));
        let calm_for = disturbed_at.map(|at| now.saturating_duration_since(at));
        if calm_for.is_some_and(|calm| calm <= STABILITY_WINDOW) {
            return Ok(());
        }
        if let Some(as_of) = g.view.as_of() {
            self.check_state(i, g.real_time(as_of), "states to reflect")?;
        }
        self.check_state(i, now - DRAIN_TIME, "has to reflect")
    }

    /// Checks that the gateway's state of each entry is one that the entry had at `at` or later.
    fn check_state(&self, i: usize, at: Instant, why: &str) -> Result<(), String> {
        let known = self.gateways[i].view.endpoints();
        for (id, states) in self.registry.held_since(at) {
            let known = known.iter().find(|e| *e.id == *id);
            if !states.iter().any(|o| o.endpoint.as_ref() == known) {
                let position = states.first().map(|o| o.position);
                let known = known.map(|e| e.state);
                return Err(format!(
                    "h{i} {why} {position:?} or later but has {id} as {known:?}"
                ));
            }
        }
        Ok(())
    }
}

fn without_era(records: Vec<Observation>) -> Vec<Observation> {
    let records = records.into_iter();
    let in_first_era = records.map(|o| Observation {
        position: RegistryPosition::new(RegistryEra(0), o.position.offset),
        ..o
    });
    in_first_era.collect()
}

fn run(seed: u64, faults: bool) -> Result<u32, String> {
    let mut world = World::new(seed, faults);
    world.run().map_err(|e| format!("seed {seed}: {e}"))?;
    Ok(world.reads)
}

#[test]
fn views_reflect_their_instant_and_stay_within_the_drain_time_under_faults() {
    for seed in 0..SEEDS {
        if let Err(e) = run(seed, true) {
            panic!("{e}");
        }
    }
}

/// Guards against a gateway that never gets a change which was written after the registry had returned from an older copy.
#[test]
fn change_after_a_return_of_the_registry_reaches_all_gateways() {
    if let Err(e) = run(146, true) {
        panic!("{e}");
    }
}

/// If each of the twelve gateways read once per interval, there would be twelve times as many reads.
#[test]
fn one_gateway_reads_for_all_without_faults() {
    let reads_of_one = STEP * STEPS;
    let reads_of_one = reads_of_one.as_secs_f64() / timings().read_interval().as_secs_f64();
    let reads = run(7, false).expect("the invariants hold");
    assert!(
        f64::from(reads) < 2.0 * reads_of_one,
        "{reads} reads, {reads_of_one} expected of a single reader"
    );
}

/// The simulation detects a follower that counts the age of a response from its arrival.
#[test]
fn simulation_detects_age_counted_from_arrival() {
    let detected = (0..SEEDS).any(|seed| {
        let mut world = World::new(seed, true);
        world.counts_from_arrival = true;
        world.run().is_err()
    });
    assert!(detected);
}

/// The simulation detects clocks that stop while the host is suspended: a poll before and its
/// response after a suspension make old data look new.
#[test]
fn simulation_detects_clocks_that_leave_out_suspensions() {
    let detected = (0..4 * SEEDS).any(|seed| {
        let mut world = World::new(seed, true);
        world.leaves_out_suspensions = true;
        world.run().is_err()
    });
    assert!(detected);
}

/// The simulation detects gateways that take a returned registry for the one before.
#[test]
fn simulation_detects_ignored_eras() {
    let detected = (0..SEEDS).any(|seed| {
        let mut world = World::new(seed, true);
        world.ignores_eras = true;
        world.run().is_err()
    });
    assert!(detected);
}
