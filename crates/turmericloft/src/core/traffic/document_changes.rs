//! Difference between two versions of the traffic rules.

use std::{cmp::Ordering, collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_128;

use super::{Organisation, RequestLimits, Route, ServiceSettings, TrafficDocument};

/// Why changes cannot be applied to a document.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ChangesError {
    /// They were made for another version.
    #[error("changes of version {expected} cannot be applied to version {found}")]
    OtherBase {
        /// Version that the changes were made for.
        expected: u64,
        /// Version of the document.
        found: u64,
    },
    /// The result is not the document that they were made from.
    #[error("changes to version {version} gave another document")]
    OtherResult {
        /// Version that the result has.
        version: u64,
    },
}

/// What turns one version of a document into a later one. It is serialised in relay responses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DocumentChanges {
    base: u64,
    version: u64,
    /// Hash of the serialised later version.
    digest: u128,
    /// Names of routes that the later version lacks.
    removed: Vec<Arc<str>>,
    /// Routes that it adds or changes, in the order of their names.
    routes: Vec<Route>,
    /// All services, if one changed.
    services: Option<BTreeMap<Arc<str>, ServiceSettings>>,
    /// All organisations, if one changed.
    organisations: Option<Vec<Organisation>>,
    limits: RequestLimits,
}

impl DocumentChanges {
    /// The changes from `base` to `later`; `None` if the routes of one are not in the order of their names.
    pub fn between(base: &TrafficDocument, later: &TrafficDocument) -> Option<Self> {
        if !is_in_order(&base.routes) || !is_in_order(&later.routes) {
            return None;
        }
        let (removed, routes) = changed_routes(&base.routes, &later.routes);
        let services = (base.services != later.services).then(|| later.services.clone());
        let has_others = base.organisations != later.organisations;
        Some(Self {
            base: base.version,
            version: later.version,
            digest: digest(later)?,
            removed,
            routes,
            services,
            organisations: has_others.then(|| later.organisations.clone()),
            limits: later.limits,
        })
    }

    /// Version to which they apply.
    pub fn base(&self) -> u64 {
        self.base
    }

    /// Version that results from them.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Number of routes that are removed, added or changed.
    pub fn route_count(&self) -> usize {
        self.removed.len() + self.routes.len()
    }

    /// Applies `steps`, each of which follows the one before, and verifies the result.
    pub fn apply_all(
        steps: &[Self],
        document: &TrafficDocument,
    ) -> Result<TrafficDocument, ChangesError> {
        let mut result = document.clone();
        let routes = std::mem::take(&mut result.routes).into_iter();
        let mut routes: BTreeMap<_, _> = routes.map(|r| (Arc::clone(&r.name), r)).collect();
        for step in steps {
            step.apply(&mut result, &mut routes)?;
        }
        result.routes = routes.into_values().collect();
        let version = result.version;
        let is_intact = steps
            .last()
            .is_none_or(|last| digest(&result) == Some(last.digest));
        is_intact
            .then_some(result)
            .ok_or(ChangesError::OtherResult { version })
    }

    /// Applies one step to a document whose routes are held apart from it.
    fn apply(
        &self,
        document: &mut TrafficDocument,
        routes: &mut BTreeMap<Arc<str>, Route>,
    ) -> Result<(), ChangesError> {
        if document.version != self.base {
            return Err(ChangesError::OtherBase {
                expected: self.base,
                found: document.version,
            });
        }
        document.version = self.version;
        for name in &self.removed {
            routes.remove(name);
        }
        let changed = self.routes.iter().cloned();
        routes.extend(changed.map(|r| (Arc::clone(&r.name), r)));
        if let Some(services) = &self.services {
            document.services.clone_from(services);
        }
        if let Some(organisations) = &self.organisations {
            document.organisations.clone_from(organisations);
        }
        document.limits = self.limits;
        Ok(())
    }
}

fn is_in_order(routes: &[Route]) -> bool {
    routes.is_sorted_by(|a, b| a.name < b.name)
}

/// Names of the routes that are only in `base`, and the routes of `later` that `base` lacks or has otherwise.
fn changed_routes(base: &[Route], later: &[Route]) -> (Vec<Arc<str>>, Vec<Route>) {
    let mut removed = Vec::new();
    let mut changed = Vec::new();
    let mut base = base.iter().peekable();
    for route in later {
        while let Some(gone) = base.next_if(|b| b.name < route.name) {
            removed.push(Arc::clone(&gone.name));
        }
        let before = base.next_if(|b| b.name.cmp(&route.name) == Ordering::Equal);
        if before != Some(route) {
            changed.push(route.clone());
        }
    }
    removed.extend(base.map(|gone| Arc::clone(&gone.name)));
    (removed, changed)
}

/// `None` if the document cannot be serialised.
fn digest(document: &TrafficDocument) -> Option<u128> {
    let bytes = postcard::to_stdvec(document).ok()?;
    Some(xxh3_128(&bytes))
}
