//! How many requests of others a gateway serves at the same time.

use super::HelperRefusal;

/// Most requests of other gateways that a gateway serves at the same time. With bodies of 360 kB they take up
/// 23 MB, a fifth of the smallest host.
pub const MAX_HELPED: usize = 64;
/// Requests of others that a gateway serves whatever it has itself. A gateway has about three of its own at
/// usual load; half of that would be too few while all gateways of a zone are cut off.
const MIN_HELPED: usize = 8;
/// Part of its own requests up to which a gateway serves others beyond that.
const OWN_PART: usize = 2;

const _: () = assert!(MIN_HELPED <= MAX_HELPED);

/// Decides whether a gateway takes one more request of another, while it serves `helped` of those and `own`
/// of its clients.
pub fn check_help(is_cut_off: bool, helped: usize, own: usize) -> Result<(), HelperRefusal> {
    if is_cut_off {
        return Err(HelperRefusal::CutOff);
    }
    if helped >= (own / OWN_PART).clamp(MIN_HELPED, MAX_HELPED) {
        return Err(HelperRefusal::Busy);
    }
    Ok(())
}
