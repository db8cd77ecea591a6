//! Whether a request may be sent, and for which organisation.

use std::sync::Arc;

use strum::{Display, IntoStaticStr};
use thiserror::Error;

use crate::core::traffic::{KeyDigest, Organisation};

/// The key in a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PresentedKey {
    /// The request has no key.
    Missing,
    /// The request has credentials that are not one key.
    Malformed,
    /// Digest of the key.
    Digest(KeyDigest),
}

/// The right to send a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Access {
    /// The organisation that the request is for; `None` if it is for none.
    pub organisation: Option<Arc<Organisation>>,
    /// Rank with which the request waits, before that of its route; 0 is the most urgent.
    pub rank: u32,
    /// Whether endpoints do not get the credentials in the request, since the document has organisations.
    pub removes_credentials: bool,
}

/// Why a request may not be sent. The names are values of a metric and in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AccessRejection {
    /// The request has no key.
    MissingKey,
    /// The request has credentials that are not one key.
    MalformedKey,
    /// No document that may be active anywhere contains the key.
    UnknownKey,
    /// The active document does not contain the key, but another one may that is or becomes active elsewhere.
    UnconfirmedKey,
    /// The gateway has not learned for too long whether keys were revoked.
    LeaseLapsed,
    /// No document is active.
    NoDocument,
}
