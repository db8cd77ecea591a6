//! Waiters for the response of an action.

use std::sync::Arc;

use super::ActionResponse;

/// One copy of a request that waits for the response of its action.
pub trait Waiter: Send {
    /// Delivers the response to the copy.
    fn notify(self, response: Arc<ActionResponse>);
}
