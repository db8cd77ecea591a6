//! Relaying of registry data from one gateway to the other gateways of its availability zone.
//!
//! Load pattern: every endpoint writes a heartbeat every second or two. If every gateway read all
//! of them, the load on the registry would grow with the product of endpoints and gateways.
//! Instead a few gateways of a zone read the registry and the others follow them. Each gateway
//! follows at most one upstream, and the upstream always precedes it in an order that all gateways
//! compute alike, so that there are no cycles. A follower whose data becomes stale reads the
//! registry itself until its upstream sends fresh data again.
//!
//! A registry that returns from an older copy of its data begins a new era. A gateway that has not
//! seen it yet is no upstream for one that has; one that has sends all entries to a follower that
//! has not.

mod document_as_of;
mod document_freshness;
mod document_history;
mod document_notice;
mod document_timings;
mod era_change;
mod read_pace;
mod recovery_timings;
mod registry_view;
mod relay_bounds;
mod relay_member;
mod relay_poll;
mod relay_response;
mod relay_timings;
mod relayed_document;
mod skipped_history;
mod spread;
mod upstream_chooser;
mod upstream_message;

pub use self::{
    document_as_of::{DocumentAsOf, PollOffset},
    document_freshness::DocumentFreshness,
    document_history::DocumentHistory,
    document_notice::DocumentNotice,
    document_timings::DocumentTimings,
    era_change::EraChange,
    read_pace::ReadPace,
    recovery_timings::RecoveryTimings,
    registry_view::RegistryView,
    relay_bounds::RelayBounds,
    relay_member::RelayMember,
    relay_poll::RelayPoll,
    relay_response::RelayResponse,
    relay_timings::RelayTimings,
    relayed_document::{RelayedDocument, RelayedDocumentError},
    spread::delay_of_host,
    upstream_chooser::UpstreamChooser,
    upstream_message::UpstreamMessage,
};
