//! A document in force: indexed for the path of a request.

use std::{collections::HashMap, sync::Arc};

use super::{
    Name,
    document::{Caller, Document, Kind, Service, TokenHash},
};

/// An accepted document with its version and look-up tables. Never changed once built.
#[derive(Debug)]
pub struct Environment {
    version: u64,
    document: Arc<Document>,
    services: HashMap<Name, usize>,
    callers: HashMap<TokenHash, usize>,
}

/// Where a request path leads: a service and the path after its name.
#[derive(Clone, Copy, Debug)]
pub struct ServiceRoute<'a> {
    /// The service.
    pub service: &'a Service,
    /// Path for the backend server, with its leading slash.
    pub path: &'a str,
}

impl Environment {
    /// Indexes a document. Of services or callers named twice, the first counts.
    pub fn new(version: u64, document: Document) -> Self {
        let mut services = HashMap::new();
        for (i, service) in document.services.iter().enumerate() {
            services.entry(service.name.clone()).or_insert(i);
        }
        let mut callers = HashMap::new();
        for (i, caller) in document.callers.iter().enumerate() {
            callers.entry(caller.token_sha256).or_insert(i);
        }
        Self {
            version,
            document: Arc::new(document),
            services,
            callers,
        }
    }

    /// Version of the document in force.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The document.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// The service named `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name).map(|&i| &self.document.services[i])
    }

    /// The caller that holds `token`.
    pub fn caller(&self, token: &str) -> Option<&Caller> {
        let hash = TokenHash::of(token.as_bytes());
        self.callers.get(&hash).map(|&i| &self.document.callers[i])
    }

    /// Splits `/service/rest` and finds the service.
    pub fn route<'a>(&'a self, path: &'a str) -> Option<ServiceRoute<'a>> {
        let tail = path.strip_prefix('/')?;
        let end = tail.find('/').unwrap_or(tail.len());
        let service = self.service(&tail[..end])?;
        let rest = &tail[end..];
        Some(ServiceRoute {
            service,
            path: if rest.is_empty() { "/" } else { rest },
        })
    }
}

impl<'a> ServiceRoute<'a> {
    /// The kind of a request with this method.
    pub fn kind(&self, method: &str) -> Option<&'a Kind> {
        self.service.kind(method, self.path)
    }
}
