//! Prometheus counter of requests that are rejected before admission.

use metrics::counter;
use strum::{EnumIter, IntoStaticStr};

use crate::util::metrics_table::UNADMITTED;

/// Why a request was rejected before it was admitted; the variants are values of a metric label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum UnadmittedReason {
    /// The request is not valid HTTP.
    Malformed,
    /// The request head exceeds the size limit.
    LargeHead,
    /// The request head was not complete in time.
    SlowHead,
    /// The gateway has no active environment yet.
    NotReady,
    /// No caller has the bearer token.
    UnknownToken,
    /// No service or kind matches the path and method.
    UnknownService,
    /// The caller has no contract for the service and kind.
    NoContract,
}

impl UnadmittedReason {
    /// Counts one request.
    pub(super) fn count(self) {
        let reason: &'static str = self.into();
        counter!(UNADMITTED.name, "reason" => reason).increment(1);
    }
}
