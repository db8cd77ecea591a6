//! How the stop of a gateway ended.

use super::{connection_work::ConnectionWork, open_connections::Drained};

/// How the stop of a gateway ended.
#[derive(Debug)]
pub enum DrainEnd {
    /// Nothing was owed to anybody.
    Drained(Drained),
    /// The grace period was over. What was unfinished on each connection that was cut off.
    CutOff(Vec<ConnectionWork>),
}
