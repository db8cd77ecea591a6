//! Generates configuration documents of a given size.

use std::fmt::Write;

use turmericloft::core::document::Digest;

/// Number of zones in a document.
const ZONES: u32 = 8;
/// Number of callers in a document.
const CALLERS: u32 = 20;

/// Number of services and endpoints in a document.
#[derive(Clone, Copy, Debug)]
pub struct DocumentSize {
    /// Number of services.
    pub services: u32,
    /// Number of endpoints over all services.
    pub endpoints: u32,
}

/// Returns the TOML text of a document. `change` is added to the slots of the first endpoint, so
/// that documents with different values differ.
pub fn document(size: DocumentSize, change: u32) -> String {
    let mut text = "schema = 1\n".to_owned();
    for zone in 0..ZONES {
        let region = zone % 2;
        let _ = writeln!(
            text,
            "[[zones]]\nname = \"z{zone}\"\nregion = \"r{region}\""
        );
    }
    for service in 0..size.services {
        write_service(&mut text, size, service, change);
    }
    for caller in 0..CALLERS {
        let token = Digest::of(format!("token-{caller}").as_bytes());
        let _ = writeln!(
            text,
            "[[callers]]\nname = \"caller-{caller}\"\ntoken_sha256 = \"{token}\"\ncontracts = ["
        );
        for service in (caller..size.services).step_by(CALLERS as usize) {
            let _ = writeln!(
                text,
                "  {{ service = \"service-{service}\", in_flight = 200 }},"
            );
        }
        text.push_str("]\n");
    }
    text
}

fn write_service(text: &mut String, size: DocumentSize, service: u32, change: u32) {
    let _ = writeln!(
        text,
        "[[services]]\nname = \"service-{service}\"\ndeadline_ms = 2000\nkinds = [\n  \
         {{ name = \"lookup\", method = \"GET\", handling = \"idempotent\" }},\n  \
         {{ name = \"book\", method = \"POST\", handling = \"guarded\", weight = 5 }},\n]\n\
         endpoints = ["
    );
    let mut endpoint = service;
    while endpoint < size.endpoints {
        let slots = if endpoint == 0 { 4 + change } else { 4 };
        let (high, low, zone) = (endpoint / 250, 1 + endpoint % 250, endpoint % ZONES);
        let _ = writeln!(
            text,
            "  {{ address = \"10.1.{high}.{low}:8080\", zone = \"z{zone}\", slots = {slots}, \
             connections = 250 }},"
        );
        endpoint += size.services;
    }
    text.push_str("]\n");
}
