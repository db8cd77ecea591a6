//! The end of a time in which a gateway could not read the registry.

use std::time::Duration;

/// What a gateway found when it could read the registry again, by itself or through another gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegistryReturn {
    /// Time for which it had no data.
    pub unread_for: Duration,
    /// Time for which nothing was written meanwhile; `None` if that is not known. Endpoints wrote if it is short, and
    /// the registry was out of reach of this gateway alone.
    pub log_silent_for: Option<Duration>,
    /// Time for which removed entries are retained.
    pub retained_for: Duration,
}
