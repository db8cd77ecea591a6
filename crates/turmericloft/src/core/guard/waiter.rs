//! Who waits for the answer of an action.

use std::sync::Arc;

use super::ActionResponse;

/// One copy of a request that waits for the answer.
pub trait Waiter: Send {
    /// Takes the answer.
    fn notify(self, answer: Arc<ActionResponse>);
}
