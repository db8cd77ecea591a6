//! Stages of a pending action.

use strum::{Display, EnumIter, IntoStaticStr};

/// Stage of an action that has no response yet. Decides how the action ends if it is abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Stage {
    /// The executor has accepted the action.
    Received,
    /// The executor's claim of the idempotency key is the first in the log.
    Claimed,
    /// The request may have reached a backend server.
    Dispatched,
}
