//! The organisations of a document, found by their keys.

use std::{collections::HashMap, sync::Arc};

use super::{KeyDigest, Organisation, TrafficDocument};

/// Organisations of one document, by the digests of their keys.
///
/// Keys are compared by their digests only, so that the time of a comparison says nothing of a key.
#[derive(Clone, Debug, Default)]
pub struct OrganisationTable {
    by_key: HashMap<KeyDigest, Arc<Organisation>>,
    count: usize,
    most_urgent_rank: u32,
}

impl OrganisationTable {
    /// Indexes the organisations of a document. A key that several organisations share, which is a fault of the
    /// document, is that of the first one.
    pub fn new(document: &TrafficDocument) -> Self {
        let organisations = &document.organisations;
        let mut by_key = HashMap::new();
        for organisation in organisations {
            let shared = Arc::new(organisation.clone());
            for key in &organisation.keys {
                by_key.entry(*key).or_insert_with(|| Arc::clone(&shared));
            }
        }
        Self {
            by_key,
            count: organisations.len(),
            most_urgent_rank: organisations.iter().map(|o| o.rank).min().unwrap_or(0),
        }
    }

    /// Whether the document has no organisations, so that requests need no keys.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// The organisation that a key belongs to; `None` if the document does not contain the key.
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<Organisation>> {
        self.by_key.get(key)
    }

    /// Rank of the most urgent organisation, with which requests without an organisation wait; 0 if there are no
    /// organisations.
    pub fn most_urgent_rank(&self) -> u32 {
        self.most_urgent_rank
    }
}
