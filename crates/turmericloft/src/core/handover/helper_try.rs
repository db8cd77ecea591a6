//! One try at a helper.

use std::time::Instant;

use super::AttemptGrant;

/// What a helper gets of a request, and until when it has to say that it takes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HelperTry {
    /// What the helper may do with the request.
    pub grant: AttemptGrant,
    /// When the helper has to have taken the request.
    pub sign_by: Instant,
}
