//! How far an action has come.

use strum::{Display, EnumIter, IntoStaticStr};

/// Stage of an action that has no answer yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Stage {
    /// Accepted by its executor.
    Received,
    /// The claim of the caller's own key is the first in the log.
    Claimed,
    /// A backend server may get it, or has it.
    Dispatched,
}
