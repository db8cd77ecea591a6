//! Which requests may use the key of an organisation, and for how long a gateway may rely on what it knows of keys.
//!
//! Load pattern: keys are revoked seldom, but a revoked key is used at full rate, at every gateway. A gateway that the
//! store and the other gateways cannot reach learns nothing of it. The right to use keys therefore ends by itself,
//! unless the gateway learns again and again that its document is the newest one.

mod access;
mod key_authority;
mod key_rules;
mod lease;
mod lease_timings;
mod newest_document;

pub use self::{
    access::{Access, AccessRejection, PresentedKey},
    key_authority::KeyAuthority,
    key_rules::KeyRules,
    lease::KeyLease,
    lease_timings::LeaseTimings,
    newest_document::NewestDocument,
};
