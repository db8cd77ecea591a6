//! What an action is known by.

use std::{mem::size_of, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::core::Name;

/// Key of an action in the table of its executor.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ActionKey {
    /// An action with an issued id.
    Issued {
        /// Incarnation that issued the id.
        incarnation: u64,
        /// Random number of the id.
        nonce: u128,
    },
    /// An action with its caller's own key.
    Caller {
        /// The caller.
        caller: Name,
        /// The service.
        service: Name,
        /// The key, as the caller sent it.
        key: Arc<str>,
    },
}

impl ActionKey {
    /// Memory that the key takes, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let text = match self {
            Self::Issued { .. } => 0,
            Self::Caller { key, .. } => key.len(),
        };
        size_of::<Self>() + text
    }
}
