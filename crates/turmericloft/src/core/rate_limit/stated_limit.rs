//! What one response says of the limit of its endpoint.

use super::RateLimit;

/// What one response says of the limit of its endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StatedLimit {
    /// The endpoint has no limit.
    #[default]
    None,
    /// The endpoint has this limit.
    Limit(RateLimit),
    /// The endpoint has stated something that is no limit, for example a negative number. It is not known
    /// whether it has one.
    Invalid,
}
