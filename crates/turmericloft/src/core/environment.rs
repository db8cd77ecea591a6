//! An accepted document with indexes for looking up services and callers.

use std::{collections::HashMap, sync::Arc};

use super::{
    Name,
    document::{Caller, Document, Kind, Service, TokenHash},
};

/// An accepted document with its version and indexes. It is immutable.
#[derive(Debug)]
pub struct Environment {
    version: u64,
    document: Arc<Document>,
    service_indexes: HashMap<Name, usize>,
    caller_indexes: HashMap<TokenHash, usize>,
}

/// Match of a request path: a service and the path after its name.
#[derive(Clone, Copy, Debug)]
pub struct ServiceRoute<'a> {
    /// Service named by the first path segment.
    pub service: &'a Service,
    /// Path sent to the backend server, with its leading slash.
    pub path: &'a str,
}

impl Environment {
    /// Indexes a document. Of services with the same name or callers with the same token, the first
    /// is used.
    pub fn new(version: u64, document: Document) -> Self {
        let mut service_indexes = HashMap::new();
        for (i, service) in document.services.iter().enumerate() {
            service_indexes.entry(service.name.clone()).or_insert(i);
        }
        let mut caller_indexes = HashMap::new();
        for (i, caller) in document.callers.iter().enumerate() {
            caller_indexes.entry(caller.token_sha256).or_insert(i);
        }
        Self {
            version,
            document: Arc::new(document),
            service_indexes,
            caller_indexes,
        }
    }

    /// Version of the document.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The indexed document.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Looks up the service named `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.service_indexes
            .get(name)
            .map(|&i| &self.document.services[i])
    }

    /// Looks up the caller with this token.
    pub fn caller(&self, token: &str) -> Option<&Caller> {
        let hash = TokenHash::of(token.as_bytes());
        self.caller_indexes
            .get(&hash)
            .map(|&i| &self.document.callers[i])
    }

    /// Splits `/service/rest` and looks up the service. Returns `None` if `path` has no leading
    /// slash or names no known service.
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
    /// The kind of a request with this method; `None` if the service has none for it.
    pub fn kind(&self, method: &str) -> Option<&'a Kind> {
        self.service.kind(method, self.path)
    }
}
