//! Whether a service has room for extra requests.

/// Room of a service, by what one gateway knows of its endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceRoom {
    /// Whether the endpoints are nearly full, or requests wait at this gateway.
    pub is_short: bool,
    /// Whether most endpoints that reported lately are slow.
    pub is_mostly_slow: bool,
}
