//! Why a gateway does not take a request that is handed over to it.

use strum::{Display, EnumString, IntoStaticStr};

/// Why a gateway does not take a request. It has not run the request and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum HelperRefusal {
    /// It is cut off from all endpoints itself.
    CutOff,
    /// It has too many requests of other gateways, or no document.
    Busy,
    /// Its document is older than the one by which the request was routed.
    Outdated,
}
