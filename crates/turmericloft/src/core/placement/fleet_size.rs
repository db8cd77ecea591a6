//! How a bound of the whole fleet is divided among gateways that may not know their number.
//!
//! Load pattern: hundreds of gateways start while the list of gateways cannot be read. If each assumed a small
//! fleet, their parts would add up to many times the bound.

/// Gateways assumed while their number is not known: more than the largest fleet has.
const ASSUMED_GATEWAYS: usize = 1_000;
/// Share of the allowed probe rate that gateways use. The rest is for gateways with more than an equal share of
/// the clients, and for those that joined since the list was read.
const PROBE_SHARE: f64 = 0.75;

/// Number of gateways by which bounds of the whole fleet are divided. `known` is the number in the list of
/// gateways; `None` before the first one.
pub fn reckoned_gateways(known: Option<usize>) -> usize {
    known.filter(|known| *known > 0).unwrap_or(ASSUMED_GATEWAYS)
}

/// Probes per second that an endpoint may get from one of `gateways`, which together may send `max_rate`.
pub fn probe_rate(max_rate: f64, gateways: usize) -> f64 {
    max_rate * PROBE_SHARE / gateways.max(1) as f64
}
