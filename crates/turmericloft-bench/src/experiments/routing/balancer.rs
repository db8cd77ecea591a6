//! The policies that are compared.

use std::{
    collections::{HashMap, VecDeque},
    time::Instant,
};

use clap::ValueEnum;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use turmericloft::core::{
    admission::Ticket,
    routing::{EndpointSettings, SchedulerSettings, ServiceScheduler},
};

use super::case::Case;

/// A policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, ValueEnum)]
pub enum Policy {
    /// The gateway's own decisions
    Ours,
    /// Each gateway goes round the endpoints
    RoundRobin,
    /// Fewest own requests in flight
    LeastOwn,
    /// Fewer own requests in flight of two random endpoints
    TwoChoices,
    /// One queue that knows every slot
    Limit,
}

/// State of a policy on all gateways.
#[derive(Debug)]
pub enum Balancer {
    /// For [`Policy::Ours`], by gateway.
    Scheduler(Vec<SchedulerGateway>),
    /// For the policies that need only the gateway's own requests in flight, by gateway.
    Baseline(Vec<BaselineGateway>),
    /// For [`Policy::Limit`]: the calls that wait for a slot, for all gateways together.
    CentralQueue(VecDeque<usize>),
}

/// One gateway that uses the gateway's own scheduler.
#[derive(Debug)]
pub struct SchedulerGateway {
    pub scheduler: ServiceScheduler,
    /// Indices of the queued calls.
    pub waiting: HashMap<Ticket, usize>,
}

/// One gateway with a baseline policy: no queue, no hedges, no retries.
#[derive(Debug)]
pub struct BaselineGateway {
    policy: Policy,
    in_flight: Vec<u32>,
    next: usize,
    rng: Pcg64Mcg,
}

/// Requests that may wait in one gateway.
const QUEUE: u32 = 256;
/// Extra calls for each 100 calls.
const EXTRA_CALLS_PERCENT: u32 = 5;

impl Policy {
    /// Name, as on the command line.
    pub fn name(self) -> String {
        let value = self.to_possible_value();
        value.map_or_else(String::new, |v| v.get_name().to_owned())
    }
}

impl Balancer {
    pub fn new(policy: Policy, case: &Case, start: Instant, seed: u64) -> Self {
        let gateways = 0..case.gateways;
        match policy {
            Policy::Ours => Self::Scheduler(
                gateways
                    .map(|g| SchedulerGateway::new(case, g, start, seed))
                    .collect(),
            ),
            Policy::Limit => Self::CentralQueue(VecDeque::new()),
            _ => Self::Baseline(
                gateways
                    .map(|g| BaselineGateway::new(policy, case, g, seed))
                    .collect(),
            ),
        }
    }
}

impl SchedulerGateway {
    fn new(case: &Case, gateway: usize, start: Instant, seed: u64) -> Self {
        let endpoints: Vec<_> = (0..case.endpoints)
            .map(|e| EndpointSettings {
                slots: case.slots,
                max_in_flight: case.slots,
                same_zone: Case::zone(e) == Case::zone(gateway),
            })
            .collect();
        let settings = SchedulerSettings {
            endpoints: &endpoints,
            queue_capacity: QUEUE,
            extra_calls_percent: EXTRA_CALLS_PERCENT,
        };
        let rng = Pcg64Mcg::seed_from_u64(seed.wrapping_add(gateway as u64));
        Self {
            scheduler: ServiceScheduler::new(start, &settings, rng),
            waiting: HashMap::new(),
        }
    }
}

impl BaselineGateway {
    fn new(policy: Policy, case: &Case, gateway: usize, seed: u64) -> Self {
        Self {
            policy,
            in_flight: vec![0; case.endpoints],
            next: gateway,
            rng: Pcg64Mcg::seed_from_u64(seed.wrapping_add(gateway as u64)),
        }
    }

    /// Chooses among the endpoints that `usable` allows.
    pub fn choose(&mut self, usable: impl Fn(usize) -> bool) -> Option<usize> {
        let n = self.in_flight.len();
        let mut candidates = (0..n).filter(|&e| usable(e));
        let chosen = match self.policy {
            Policy::RoundRobin => {
                let first = self.next;
                let chosen = (first..first + n).map(|e| e % n).find(|&e| usable(e));
                self.next = chosen.map_or(first, |e| e + 1);
                chosen
            }
            Policy::TwoChoices => {
                let count = candidates.clone().count();
                if count == 0 {
                    return None;
                }
                let (a, b) = (
                    self.rng.random_range(0..count),
                    self.rng.random_range(0..count),
                );
                let (a, b) = (candidates.clone().nth(a)?, candidates.nth(b)?);
                Some(if self.in_flight[b] < self.in_flight[a] {
                    b
                } else {
                    a
                })
            }
            _ => {
                let first = self.rng.random_range(0..n);
                let all = (first..first + n).map(|e| e % n).filter(|&e| usable(e));
                all.min_by_key(|&e| self.in_flight[e])
            }
        }?;
        self.in_flight[chosen] += 1;
        Some(chosen)
    }

    pub fn end(&mut self, endpoint: usize) {
        self.in_flight[endpoint] -= 1;
    }
}
