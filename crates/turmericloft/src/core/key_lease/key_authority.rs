//! Decides on the keys of requests.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use super::{Access, AccessRejection, KeyLease, KeyRules, NewestDocument, PresentedKey};
use crate::core::traffic::{KeyDigest, OrganisationTable, RouteTable};

/// Documents that are kept after others have replaced them. Operators do not write configurations so fast that more
/// of them may be active at the same time.
const MAX_REPLACED: usize = 4;

/// A document that was active before.
#[derive(Clone, Debug)]
struct ReplacedDocument {
    at: Instant,
    organisations: Arc<OrganisationTable>,
}

/// What one gateway knows of keys, and its decisions on requests.
#[derive(Clone, Debug)]
pub struct KeyAuthority {
    rules: KeyRules,
    active: Option<Arc<RouteTable>>,
    newest: NewestDocument,
    lease: KeyLease,
    /// Documents that were active lately, the latest last.
    replaced: VecDeque<ReplacedDocument>,
}

impl KeyAuthority {
    /// No document is active.
    pub fn new(rules: KeyRules) -> Self {
        Self {
            rules,
            active: None,
            newest: NewestDocument::default(),
            lease: KeyLease::default(),
            replaced: VecDeque::new(),
        }
    }

    /// Makes a document active, which has to be newer than the one before.
    pub fn activate(&mut self, now: Instant, table: Arc<RouteTable>) {
        if let Some(before) = self.active.replace(table) {
            self.replaced.push_back(ReplacedDocument {
                at: now,
                organisations: Arc::clone(before.organisations()),
            });
        }
        let overlap = self.rules.config_deadline;
        self.replaced
            .retain(|d| now.saturating_duration_since(d.at) < overlap);
        while self.replaced.len() > MAX_REPLACED {
            self.replaced.pop_front();
        }
        self.confirm_lease();
    }

    /// Records what is known of the newest document.
    pub fn record_newest(&mut self, newest: NewestDocument) {
        self.newest = newest;
        self.confirm_lease();
    }

    /// Decides whether a request may be sent now. It is asked when the request arrives and before each time that it
    /// is sent, because its key may be revoked while it waits.
    pub fn decide(
        &self,
        now: Instant,
        is_public: bool,
        key: &PresentedKey,
    ) -> Result<Access, AccessRejection> {
        let active = self.active.as_ref().ok_or(AccessRejection::NoDocument)?;
        let organisations = active.organisations();
        if organisations.is_empty() {
            return Ok(Access::default());
        }
        let may_use_keys = self.may_use_keys(now);
        let identified = match key {
            PresentedKey::Digest(digest) => self.identify(now, may_use_keys, digest),
            PresentedKey::Missing => Err(AccessRejection::MissingKey),
            PresentedKey::Malformed => Err(AccessRejection::MalformedKey),
        };
        match identified {
            Err(_) if is_public => Ok(Access {
                organisation: None,
                rank: organisations.most_urgent_rank(),
                removes_credentials: true,
            }),
            identified => identified,
        }
    }

    fn identify(
        &self,
        now: Instant,
        may_use_keys: bool,
        key: &KeyDigest,
    ) -> Result<Access, AccessRejection> {
        if !may_use_keys {
            return Err(AccessRejection::LeaseLapsed);
        }
        let active = self.active.as_ref().ok_or(AccessRejection::NoDocument)?;
        let Some(organisation) = active.organisations().find(key) else {
            return Err(if self.may_be_known_elsewhere(now, key) {
                AccessRejection::UnconfirmedKey
            } else {
                AccessRejection::UnknownKey
            });
        };
        Ok(Access {
            organisation: Some(Arc::clone(organisation)),
            rank: organisation.rank,
            removes_credentials: true,
        })
    }

    /// Whether a key that the active document lacks may be in a newer document, or in an older one that is still
    /// active at other gateways.
    fn may_be_known_elsewhere(&self, now: Instant, key: &KeyDigest) -> bool {
        let overlap = self.rules.config_deadline;
        let is_confirmed = self.lease.age(now).is_some_and(|age| age <= overlap);
        let mut recent = self
            .replaced
            .iter()
            .filter(|d| now.saturating_duration_since(d.at) < overlap);
        !is_confirmed
            || self.newest.version > self.active_version()
            || recent.any(|d| d.organisations.find(key).is_some())
    }

    /// Whether keys may be used now.
    pub fn may_use_keys(&self, now: Instant) -> bool {
        let lease = self.rules.lease.as_ref();
        lease.is_none_or(|timings| self.lease.is_held(now, timings))
    }

    /// When the right to use keys ends; `None` if it does not, or if there is none.
    pub fn lapses_at(&self) -> Option<Instant> {
        self.lease.lapses_at(self.rules.lease.as_ref()?)
    }

    /// Time since the active document was known to be the newest one; `None` if it never was.
    pub fn lease_age(&self, now: Instant) -> Option<Duration> {
        self.lease.age(now)
    }

    /// Whether the active document has organisations, so that requests need keys.
    pub fn has_organisations(&self) -> bool {
        let active = self.active.as_ref();
        active.is_some_and(|table| !table.organisations().is_empty())
    }

    fn active_version(&self) -> u64 {
        let active = self.active.as_ref();
        active.map_or(0, |table| table.document().version)
    }

    fn confirm_lease(&mut self) {
        if self.active.is_some() {
            self.lease.confirm(self.active_version(), self.newest);
        }
    }
}
