//! What an upstream sends to a follower.

use serde::{Deserialize, Serialize};

use super::{DocumentNotice, RelayResponse};

/// A message of an upstream. Crash reports may be behind either kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum UpstreamMessage {
    /// Response to the earliest poll that has none yet.
    Response(Box<RelayResponse>),
    /// Crash reports alone, which cannot wait until a response is due.
    CrashReports,
    /// The upstream's document was confirmed.
    DocumentConfirmed(DocumentNotice),
}
