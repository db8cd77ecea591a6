//! Weights of the kinds of requests.

use std::collections::HashMap;

use crate::core::{Name, counting::CountKey, document::Document};

/// Weights by service and kind, from a document; unknown kinds have weight 1.
#[derive(Clone, Debug, Default)]
pub struct KindWeights {
    services: HashMap<Name, HashMap<Name, u32>>,
}

impl KindWeights {
    /// Reads the weights of all kinds of a document.
    pub fn from_document(document: &Document) -> Self {
        let services = document.services.iter().map(|service| {
            let kinds = service.kinds.iter().map(|k| (k.name.clone(), k.weight));
            (service.name.clone(), kinds.collect())
        });
        Self {
            services: services.collect(),
        }
    }

    pub(super) fn weight(&self, key: &CountKey) -> u64 {
        let kinds = self.services.get(&key.service);
        let weight = kinds.and_then(|kinds| kinds.get(&key.kind));
        weight.copied().unwrap_or(1).into()
    }
}
