//! Effect of registry data on the known endpoints.

/// What an observation changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryChange {
    /// Nothing that affects placement.
    None,
    /// An endpoint was added, removed or changed.
    Endpoints,
}

impl DiscoveryChange {
    /// The combined change: `Endpoints` if either of them is.
    pub fn or(self, other: Self) -> Self {
        if self == Self::None { other } else { self }
    }
}
