//! Keys of guarded actions.

use std::{mem::size_of, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::core::Name;

/// Key of an action in its executor's [`ActionTable`](super::ActionTable).
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ActionKey {
    /// The request carried an action id.
    Issued {
        /// Incarnation of the gateway that issued the id.
        incarnation: u64,
        /// Random nonce of the id.
        nonce: u128,
    },
    /// The request carried an idempotency key.
    Caller {
        /// Caller that chose the key.
        caller: Name,
        /// Service of the action. The same key may be used for another service.
        service: Name,
        /// Value of the `Idempotency-Key` header.
        key: Arc<str>,
    },
}

impl ActionKey {
    /// Returns the memory that the key uses, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let text = match self {
            Self::Issued { .. } => 0,
            Self::Caller { key, .. } => key.len(),
        };
        size_of::<Self>() + text
    }
}
