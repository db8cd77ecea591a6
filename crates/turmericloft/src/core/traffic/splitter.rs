//! Shares the requests of a route among its destinations.
//!
//! Load pattern: each gateway sees a few requests a second, and a split has to show its weights
//! within some dozens of them. Random draws scatter too far for that; a low-discrepancy sequence
//! keeps each run of requests near the weights, and a random start keeps gateways apart.

use super::Destination;

/// Fraction of the golden ratio: its multiples spread most evenly over the unit interval.
const STEP: f64 = 0.618_033_988_749_894_9;

/// Where one gateway is in the sequence of one route.
#[derive(Clone, Copy, Debug)]
pub struct Splitter {
    position: f64,
}

impl Splitter {
    /// A sequence that starts at `start`, from 0 to 1.
    pub fn new(start: f64) -> Self {
        Self {
            position: start.fract(),
        }
    }

    /// The destination of the next request; none without a weight.
    pub fn next<'a>(&mut self, destinations: &'a [Destination]) -> Option<&'a Destination> {
        let total: f64 = destinations.iter().map(|d| f64::from(d.weight)).sum();
        self.position = (self.position + STEP).fract();
        let mut left = self.position * total;
        for destination in destinations {
            left -= f64::from(destination.weight);
            if left < 0.0 {
                return Some(destination);
            }
        }
        destinations.iter().rev().find(|d| d.weight > 0)
    }
}
