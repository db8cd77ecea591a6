//! Events of the simulation, in the order of their time.

use std::{cmp::Ordering, time::Duration};

use turmericloft::core::placement::{LoadReport, Probe};

use super::endpoint::RequestIndex;

/// What happens next to a request or to the gateways.
#[derive(Debug)]
pub(super) enum Event {
    /// A request arrived at its gateway.
    Arrived(RequestIndex),
    /// The responses to probes arrived, in this round.
    Probed(RequestIndex, Vec<Probe>, u32),
    /// A waiting request checks for capacity.
    Check(RequestIndex),
    /// A request ended at an endpoint.
    Finished(RequestIndex, usize),
    /// What one gateway was told of an endpoint reaches the others of its zone.
    Told {
        by: usize,
        endpoint: usize,
        load: LoadReport,
    },
}

/// An event in the order of time, then of scheduling.
#[derive(Debug)]
pub(super) struct Scheduled {
    pub(super) at: Duration,
    pub(super) number: u64,
    pub(super) event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}
