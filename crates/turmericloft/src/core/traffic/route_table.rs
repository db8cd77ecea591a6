//! A traffic document with an index for finding the route of a request.

use std::{collections::HashMap, sync::Arc};

use super::{OrganisationTable, Route, TrafficDocument};

/// Routes of one document, by host and with the longest path prefix first.
#[derive(Clone, Debug)]
pub struct RouteTable {
    document: TrafficDocument,
    by_host: HashMap<Arc<str>, Vec<Arc<Route>>>,
    organisations: Arc<OrganisationTable>,
}

impl RouteTable {
    /// Indexes the routes of a document.
    pub fn new(document: TrafficDocument) -> Self {
        let document = document.with_limited_times();
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in &document.routes {
            let routes = by_host.entry(Arc::clone(&route.host)).or_default();
            routes.push(Arc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.path_prefix.len()));
        }
        let organisations = Arc::new(OrganisationTable::new(&document));
        Self {
            document,
            by_host,
            organisations,
        }
    }

    /// The indexed document.
    pub fn document(&self) -> &TrafficDocument {
        &self.document
    }

    /// The organisations, by their keys.
    pub fn organisations(&self) -> &Arc<OrganisationTable> {
        &self.organisations
    }

    /// The route of a request: the one of `host` with the longest prefix of `path`. The port and
    /// letter case of `host` and the query and fragment of `path` are ignored. `None` if no route
    /// matches.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = strip_port(host);
        let routes = match self.by_host.get(host) {
            Some(routes) => routes,
            None => self.by_host.get(host.to_ascii_lowercase().as_str())?,
        };
        let path = path.split(['?', '#']).next().unwrap_or_default();
        routes.iter().find(|r| path.starts_with(&*r.path_prefix))
    }
}

fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}
