//! Rank of a request among those that wait.

/// Rank with which a request waits: first by the organisation, then by the route. 0 is the most urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitRank {
    /// Rank of the organisation; 0 where no requests have organisations.
    pub organisation: u32,
    /// Rank of the route.
    pub route: u32,
}

impl WaitRank {
    /// Rank of a request where requests have no organisations.
    pub fn of_route(route: u32) -> Self {
        Self {
            organisation: 0,
            route,
        }
    }
}
