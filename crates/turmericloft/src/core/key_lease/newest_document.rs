//! What is known of the newest document.

use std::time::Instant;

/// The newest document version known to exist, whether or not it was received, and as of when it is the newest one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NewestDocument {
    /// The version; 0 if none is known.
    pub version: u64,
    /// No newer version was acknowledged before this instant; `None` if that is not known of any instant.
    pub as_of: Option<Instant>,
}
