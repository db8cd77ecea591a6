//! Documents and records for the tests.

use turmericloft::core::{
    Name,
    config::{AcceptedRecord, ConfigRecord},
    document::Digest,
};

/// A valid document, identified by the slots of its endpoint.
pub fn document(slots: u32) -> String {
    format!(
        r#"schema = 1
zones = [{{ name = "a", region = "south" }}]
callers = []

[[services]]
name = "calendar"
deadline_ms = 2000
kinds = [{{ name = "lookup", method = "GET", handling = "idempotent" }}]
endpoints = [{{ address = "127.0.0.1:9000", zone = "a", slots = {slots}, connections = 250 }}]
"#
    )
}

/// A promotion of such a document on top of `parent`.
pub fn record(parent: Option<&AcceptedRecord>, id: &str, slots: u32) -> ConfigRecord {
    let document = document(slots);
    ConfigRecord {
        version: parent.map_or(0, |a| a.record.version) + 1,
        parent: parent.map(|a| a.record.digest),
        promotion_id: id.to_owned(),
        author: Name::new("anna").unwrap(),
        promoted_at_ms: 0,
        digest: Digest::of(document.as_bytes()),
        document,
    }
}
