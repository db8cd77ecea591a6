//! Cases: a fault and a load.

use std::time::Duration;

use clap::ValueEnum;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    Args,
    fake_endpoint::{FakeEndpoint, Phase},
};

/// Fault of a case, from the end of the warm-up on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Fault {
    /// No fault
    Calm,
    /// Each endpoint has random slow phases of 5 ms on average
    Noisy,
    /// Some endpoints are slower by a factor
    Straggler,
    /// One endpoint responds to each request at once with an error
    FailFast,
    /// Two endpoints report that they are draining
    Drain,
    /// Two endpoints start and are slow at first
    ColdStart,
    /// A third of the open connections stop carrying data without being closed
    Silent,
    /// The endpoints of one availability zone become unreachable
    ZoneLoss,
    /// One caller adds as many calls as all endpoints can serve
    Rush,
    /// Load reports are 500 ms old, and a quarter of the endpoints always report no load
    StaleReports,
    /// No fault; meant for a load above the endpoints' capacity
    Overload,
}

/// One case: sizes, load and fault. Durations are simulated time.
#[derive(Clone, Debug)]
pub struct Case {
    pub fault: Fault,
    pub load_percent: u32,
    pub endpoints: usize,
    pub slots: u32,
    pub gateways: usize,
    pub stragglers: usize,
    pub slowdown: f64,
    pub mean_service_time: Duration,
    pub deadline: Duration,
    /// Time at which the fault begins; calls before it are not measured.
    pub warm_up: Duration,
    /// Time at which arrivals stop.
    pub end: Duration,
}

/// Availability zones that gateways and endpoints are spread over.
pub const ZONES: usize = 3;
/// Endpoints that drain or start cold.
pub const AFFECTED_ENDPOINTS: usize = 2;
/// Responses after which a cold endpoint has its full speed.
pub const COLD_RESPONSES: u32 = 200;
/// Factor of a cold endpoint's service times.
pub const COLD_SLOWDOWN: f64 = 4.0;
/// Mean length of an endpoint's quiet phases, in seconds.
const MEAN_QUIET_PHASE_S: f64 = 0.020;
/// Mean length of an endpoint's noisy phases, in seconds.
const MEAN_NOISY_PHASE_S: f64 = 0.005;
/// Weights of the callers; apart from a rush, all send at the same rate.
pub const CALLER_WEIGHTS: [u32; 8] = [1, 1, 1, 1, 2, 2, 4, 4];

impl Case {
    /// A case with the sizes of the command line.
    pub fn new(args: &Args, fault: Fault, load_percent: u32) -> Self {
        let warm_up = Duration::from_secs(2);
        Self {
            fault,
            load_percent,
            endpoints: args.endpoints,
            slots: args.slots,
            gateways: args.gateways,
            stragglers: args.stragglers,
            slowdown: args.slowdown,
            mean_service_time: Duration::from_micros(args.work_us),
            deadline: Duration::from_millis(args.deadline_ms),
            warm_up,
            end: warm_up + Duration::from_secs(args.seconds),
        }
    }

    /// Name, as in `straggler-75`.
    pub fn name(&self) -> String {
        let fault = self.fault.to_possible_value();
        let fault = fault.map_or_else(String::new, |v| v.get_name().to_owned());
        format!("{fault}-{}", self.load_percent)
    }

    /// Calls per second that the endpoints can serve without the fault. The noisy case is the
    /// exception: its mean slowdown is taken into account.
    pub fn capacity_per_s(&self) -> f64 {
        let slots = self.endpoints as f64 * f64::from(self.slots);
        let speed = if self.fault == Fault::Noisy {
            (MEAN_QUIET_PHASE_S + MEAN_NOISY_PHASE_S / self.slowdown)
                / (MEAN_QUIET_PHASE_S + MEAN_NOISY_PHASE_S)
        } else {
            1.0
        };
        slots * speed / self.mean_service_time.as_secs_f64()
    }

    /// Calls per second that arrive, without those of a rush.
    pub fn rate_per_s(&self) -> f64 {
        self.capacity_per_s() * f64::from(self.load_percent) / 100.0
    }

    /// Calls per second that the rushing caller adds.
    pub fn rush_rate_per_s(&self) -> f64 {
        if self.fault == Fault::Rush {
            self.capacity_per_s()
        } else {
            0.0
        }
    }

    /// Index of the zone of the `i`th gateway or endpoint.
    pub fn zone(i: usize) -> usize {
        i % ZONES
    }

    /// The endpoints in their state at the start of a run.
    pub fn fake_endpoints(&self, seed: u64) -> Vec<FakeEndpoint> {
        (0..self.endpoints)
            .map(|i| FakeEndpoint::new(self.slots, self.phases(i, seed)))
            .collect()
    }

    fn phases(&self, endpoint: usize, seed: u64) -> Vec<Phase> {
        let (start_s, forever) = (self.warm_up.as_secs_f64(), f64::INFINITY);
        let quiet = |end_s| Phase {
            end_s,
            slowdown: 1.0,
        };
        match self.fault {
            Fault::Straggler if endpoint < self.stragglers => vec![
                quiet(start_s),
                Phase {
                    end_s: forever,
                    slowdown: self.slowdown,
                },
            ],
            Fault::Noisy => self.noisy_phases(endpoint, seed),
            _ => vec![quiet(forever)],
        }
    }

    fn noisy_phases(&self, endpoint: usize, seed: u64) -> Vec<Phase> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ (endpoint as u64 + 1) << 32);
        let mut draw = |mean: f64| -mean * (1.0 - rng.random::<f64>()).ln();
        let end = self.end.as_secs_f64() + 1.0;
        let mut phases = Vec::new();
        let mut at_s = 0.0;
        while at_s < end {
            at_s += draw(MEAN_QUIET_PHASE_S);
            phases.push(Phase {
                end_s: at_s,
                slowdown: 1.0,
            });
            at_s += draw(MEAN_NOISY_PHASE_S);
            phases.push(Phase {
                end_s: at_s,
                slowdown: self.slowdown,
            });
        }
        phases
    }
}
