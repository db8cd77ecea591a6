//! What a gateway counts for Prometheus.

use metrics::counter;
use strum::{EnumIter, IntoStaticStr};

use crate::util::metrics_table::UNADMITTED;

/// Why a request was turned away before it was admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum Unadmitted {
    /// Not valid HTTP.
    Malformed,
    /// Head over the limit.
    LargeHead,
    /// Head not whole in time.
    SlowHead,
    /// No environment in force yet.
    NotReady,
    /// Unknown bearer token.
    UnknownToken,
    /// Unknown service or kind.
    UnknownService,
    /// No contract for the service and kind.
    NoContract,
}

impl Unadmitted {
    /// Counts one request.
    pub(super) fn count(self) {
        let reason: &'static str = self.into();
        counter!(UNADMITTED.name, "reason" => reason).increment(1);
    }
}
