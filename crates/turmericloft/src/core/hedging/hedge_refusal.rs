//! Why a slow request is not hedged.

use strum::{Display, IntoStaticStr};

/// Why a request that is slow is not hedged. The names are values of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum HedgeRefusal {
    /// The limit of the operators is used up.
    Limit,
    /// Requests wait, or the endpoints of the service are nearly full.
    NoRoom,
    /// Most endpoints of the service are slow, so that another one would hardly be faster.
    MostlySlow,
    /// No endpoint is known to be free.
    NoFreeEndpoint,
    /// The retry budget is used up, or the request may not be sent again.
    NoRetry,
}
