//! Splits the requests of a route among its destinations.
//!
//! Load pattern: each gateway receives a few requests per second, and the split has to match the
//! weights within a few dozen of them. Independent random choices deviate too far from the weights;
//! a low-discrepancy sequence keeps any run of requests close to them. A random start keeps
//! gateways from choosing in step.

use super::Destination;

/// Fractional part of the golden ratio, whose multiples are spread most evenly over the unit
/// interval.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

/// Position of one gateway in the low-discrepancy sequence of one route.
#[derive(Clone, Copy, Debug)]
pub struct Splitter {
    position: f64,
}

impl Splitter {
    /// Starts the sequence at `start`, from 0 to 1.
    pub fn new(start: f64) -> Self {
        Self {
            position: start.fract(),
        }
    }

    /// Chooses the destination of the next request. Returns `None` if all weights are 0.
    pub fn next<'a>(&mut self, destinations: &'a [Destination]) -> Option<&'a Destination> {
        let total: f64 = destinations.iter().map(|d| f64::from(d.weight)).sum();
        self.position = (self.position + GOLDEN_RATIO_FRACTION).fract();
        let mut remaining = self.position * total;
        for destination in destinations {
            remaining -= f64::from(destination.weight);
            if remaining < 0.0 {
                return Some(destination);
            }
        }
        destinations.iter().rev().find(|d| d.weight > 0)
    }
}
