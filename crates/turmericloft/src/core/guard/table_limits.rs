//! Limits of an action table.

/// Limits of an [`ActionTable`](super::ActionTable), for all its shards together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableLimits {
    /// Largest number of actions, pending and completed.
    pub actions: usize,
    /// Memory for entries and responses, in bytes.
    pub bytes: usize,
    /// Largest response body that is stored, in bytes. This much memory is reserved for the
    /// response of each pending action.
    pub response_bytes: usize,
}
