//! Bounds of an action table.

/// How much an [`ActionTable`](super::ActionTable) holds, over all its shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableLimits {
    /// Actions, with and without an answer.
    pub actions: usize,
    /// Memory for keys and answers, in bytes.
    pub bytes: usize,
    /// Largest answer kept, in bytes; this much is reserved for each action without an answer.
    pub response_bytes: usize,
}
