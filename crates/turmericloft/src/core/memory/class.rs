//! What memory is taken for.

use strum::{EnumCount, EnumIter, IntoStaticStr};

/// What memory is taken for. The names are values of a metric's label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum MemoryClass {
    /// Open connections, without the bodies of their messages.
    Connections,
    /// The first bytes of each body.
    Small,
    /// The rest of the bodies of responses.
    Responses,
    /// The rest of the bodies of requests.
    Requests,
}
