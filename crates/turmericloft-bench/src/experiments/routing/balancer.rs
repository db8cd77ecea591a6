//! Routing policies that are compared, and their state.

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

/// A routing policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, ValueEnum)]
pub enum Policy {
    /// The gateway's own scheduler
    Ours,
    /// Each gateway cycles through the endpoints
    RoundRobin,
    /// Endpoint with the fewest requests in flight from the same gateway
    LeastOwn,
    /// Of two random endpoints, the one with fewer requests in flight from the same gateway
    TwoChoices,
    /// One central queue that knows every free slot
    Limit,
}

/// State of a policy in all gateways.
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
    /// The gateway's own requests in flight, by endpoint.
    in_flight: Vec<u32>,
    /// First endpoint that the following round-robin search tries.
    next_endpoint: usize,
    rng: Pcg64Mcg,
}

/// Requests that one gateway queues.
const QUEUE_CAPACITY: u32 = 256;
/// Budget of hedges and retries, in percent of the calls.
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
            queue_capacity: QUEUE_CAPACITY,
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
            next_endpoint: gateway,
            rng: Pcg64Mcg::seed_from_u64(seed.wrapping_add(gateway as u64)),
        }
    }

    /// Chooses among the endpoints that `is_usable` accepts and counts the request as in flight;
    /// `None` if it accepts none.
    pub fn choose_endpoint(&mut self, is_usable: impl Fn(usize) -> bool) -> Option<usize> {
        let n = self.in_flight.len();
        let mut candidates = (0..n).filter(|&e| is_usable(e));
        let chosen = match self.policy {
            Policy::RoundRobin => {
                let first = self.next_endpoint;
                let chosen = (first..first + n).map(|e| e % n).find(|&e| is_usable(e));
                self.next_endpoint = chosen.map_or(first, |e| e + 1);
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
                let all = (first..first + n).map(|e| e % n).filter(|&e| is_usable(e));
                all.min_by_key(|&e| self.in_flight[e])
            }
        }?;
        self.in_flight[chosen] += 1;
        Some(chosen)
    }

    /// Records that a request to the endpoint ended.
    pub fn record_end(&mut self, endpoint: usize) {
        self.in_flight[endpoint] -= 1;
    }
}
