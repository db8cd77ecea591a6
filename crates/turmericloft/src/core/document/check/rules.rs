//! What a readable document must also obey.

use std::{collections::HashMap, hash::Hash, time::Duration};

use super::{finding::Findings, key_path::KeyPath};
use crate::core::{
    Name,
    counting::CountKey,
    document::{Caller, Contract, Document, Endpoint, Kind, MeasurementBudget, Service},
};

/// Methods that a kind may have.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];
/// Names that reports use for lines of their own.
const RESERVED_NAMES: [&str; 1] = [CountKey::OVERFLOW_CALLER];
/// Longest deadline.
const MAX_DEADLINE: Duration = Duration::from_secs(600);
/// Most extra calls, in percent of calls.
const MAX_EXTRA_CALLS_PERCENT: u32 = 100;

/// Adds every breach of a rule.
pub(super) fn find_faults(document: &Document, found: &mut Findings<'_>) {
    let root = KeyPath::root();
    if document.schema != Document::SCHEMA {
        found.add(
            &root.key("schema"),
            format!("must be {}, found {}", Document::SCHEMA, document.schema),
        );
    }
    check_budget(&document.budget, found);
    let zones = document.zones.iter().map(|z| z.name.as_str());
    unique(zones, |i| root.item("zones", i).key("name"), found);
    let services = document.services.iter().map(|s| s.name.as_str());
    unique(services, |i| root.item("services", i).key("name"), found);
    let callers = document.callers.iter().map(|c| c.name.as_str());
    unique(callers, |i| root.item("callers", i).key("name"), found);
    let tokens = document.callers.iter().map(|c| c.token_sha256.to_string());
    unique(
        tokens,
        |i| root.item("callers", i).key("token_sha256"),
        found,
    );
    for (i, zone) in document.zones.iter().enumerate() {
        not_reserved(&zone.name, &root.item("zones", i), found);
    }
    for (i, service) in document.services.iter().enumerate() {
        check_service(document, service, &root.item("services", i), found);
    }
    for (i, caller) in document.callers.iter().enumerate() {
        check_caller(document, caller, &root.item("callers", i), found);
    }
}

fn check_budget(budget: &MeasurementBudget, found: &mut Findings<'_>) {
    let path = KeyPath::root().key("budget");
    if !(budget.core_share > 0.0 && budget.core_share <= 1.0) {
        let message = format!("must be above 0 and at most 1, found {}", budget.core_share);
        found.add(&path.key("core_share"), message);
    }
    at_least_one(budget.bytes_per_s, &path.key("bytes_per_s"), found);
    at_least_one(budget.memory_bytes, &path.key("memory_bytes"), found);
}

fn check_service(document: &Document, service: &Service, path: &KeyPath, found: &mut Findings<'_>) {
    not_reserved(&service.name, path, found);
    check_deadline(service.deadline, &path.key("deadline_ms"), found);
    at_least_one(service.body_bytes, &path.key("body_bytes"), found);
    if service.extra_calls_percent > MAX_EXTRA_CALLS_PERCENT {
        found.add(
            &path.key("extra_calls_percent"),
            format!(
                "must be from 0 to {MAX_EXTRA_CALLS_PERCENT}, found {}",
                service.extra_calls_percent
            ),
        );
    }
    not_empty(&service.kinds, &path.key("kinds"), found);
    not_empty(&service.endpoints, &path.key("endpoints"), found);
    let kinds = service.kinds.iter().map(|k| k.name.as_str());
    unique(kinds, |i| path.item("kinds", i).key("name"), found);
    let addresses = service.endpoints.iter().map(|e| e.address);
    unique(
        addresses,
        |i| path.item("endpoints", i).key("address"),
        found,
    );
    for (i, kind) in service.kinds.iter().enumerate() {
        check_kind(kind, &path.item("kinds", i), found);
    }
    for (i, endpoint) in service.endpoints.iter().enumerate() {
        check_endpoint(document, endpoint, &path.item("endpoints", i), found);
    }
}

fn check_kind(kind: &Kind, path: &KeyPath, found: &mut Findings<'_>) {
    not_reserved(&kind.name, path, found);
    if !METHODS.contains(&kind.method.as_str()) {
        let allowed = METHODS.join(", ");
        let message = format!("must be one of {allowed}, found `{}`", kind.method);
        found.add(&path.key("method"), message);
    }
    if !kind.path.starts_with('/') {
        let message = format!("must start with `/`, found `{}`", kind.path);
        found.add(&path.key("path"), message);
    }
    at_least_one(kind.weight, &path.key("weight"), found);
    if let Some(deadline) = kind.deadline {
        check_deadline(deadline, &path.key("deadline_ms"), found);
    }
}

fn check_endpoint(
    document: &Document,
    endpoint: &Endpoint,
    path: &KeyPath,
    found: &mut Findings<'_>,
) {
    let zones = document.zones.iter().map(|z| &z.name);
    let zones = readable(zones, |i| KeyPath::root().item("zones", i), found);
    known("zone", &endpoint.zone, &zones, &path.key("zone"), found);
    at_least_one(endpoint.slots, &path.key("slots"), found);
    at_least_one(endpoint.connections, &path.key("connections"), found);
    if endpoint.address.port() == 0 {
        found.add(&path.key("address"), "must have a port above 0".to_owned());
    }
}

fn check_caller(document: &Document, caller: &Caller, path: &KeyPath, found: &mut Findings<'_>) {
    not_reserved(&caller.name, path, found);
    at_least_one(caller.weight, &path.key("weight"), found);
    let services = caller.contracts.iter().map(|c| c.service.as_str());
    unique(
        services,
        |i| path.item("contracts", i).key("service"),
        found,
    );
    for (i, contract) in caller.contracts.iter().enumerate() {
        check_contract(document, contract, &path.item("contracts", i), found);
    }
}

fn check_contract(
    document: &Document,
    contract: &Contract,
    path: &KeyPath,
    found: &mut Findings<'_>,
) {
    let services = document.services.iter().map(|s| &s.name);
    let services = readable(services, |i| KeyPath::root().item("services", i), found);
    let at = path.key("service");
    known("service", &contract.service, &services, &at, found);
    let services = &document.services;
    let at = services.iter().position(|s| s.name == contract.service);
    if let Some(at) = at {
        let service = KeyPath::root().item("services", at);
        let kinds = services[at].kinds.iter().map(|k| &k.name);
        let kinds = readable(kinds, |i| service.item("kinds", i), found);
        for (i, kind) in contract.kinds.iter().enumerate() {
            known("kind", kind, &kinds, &path.item("kinds", i), found);
        }
    }
    let limits = [
        ("requests_per_s", contract.requests_per_s),
        ("in_flight", contract.in_flight),
    ];
    for (key, limit) in limits {
        if limit == Some(0) {
            let message = "must be at least 1; leave out the contract to allow nothing";
            found.add(&path.key(key), message.to_owned());
        }
    }
}

fn check_deadline(deadline: Duration, path: &KeyPath, found: &mut Findings<'_>) {
    if deadline.is_zero() || deadline > MAX_DEADLINE {
        let (found_ms, max_ms) = (deadline.as_millis(), MAX_DEADLINE.as_millis());
        found.add(
            path,
            format!("must be from 1 to {max_ms}, found {found_ms}"),
        );
    }
}

fn at_least_one(value: impl Into<u64>, path: &KeyPath, found: &mut Findings<'_>) {
    if value.into() == 0 {
        found.add(path, "must be at least 1, found 0".to_owned());
    }
}

fn not_empty<T>(items: &[T], path: &KeyPath, found: &mut Findings<'_>) {
    if items.is_empty() {
        found.add(path, "must have at least one entry".to_owned());
    }
}

/// Adds a fault if the item at `path` has a reserved name.
fn not_reserved(name: &Name, path: &KeyPath, found: &mut Findings<'_>) {
    if RESERVED_NAMES.contains(&name.as_str()) {
        let message = format!("`{name}` is reserved for lines of reports; use another name");
        found.add(&path.key("name"), message);
    }
}

/// The names that could be read, each once.
fn readable<'a>(
    names: impl Iterator<Item = &'a Name>,
    path: impl Fn(usize) -> KeyPath,
    found: &Findings<'_>,
) -> Vec<&'a Name> {
    let mut readable = Vec::new();
    for (i, name) in names.enumerate() {
        if found.is_readable(&path(i).key("name")) && !readable.contains(&name) {
            readable.push(name);
        }
    }
    readable
}

fn known(what: &str, name: &Name, all: &[&Name], path: &KeyPath, found: &mut Findings<'_>) {
    if all.contains(&name) {
        return;
    }
    let names: Vec<&str> = all.iter().map(|n| n.as_str()).collect();
    let message = format!("no {what} is named `{name}`; there is {}", listed(&names));
    found.add(path, message);
}

/// The names for a message; only the first of many.
fn listed(names: &[&str]) -> String {
    const SHOWN: usize = 12;
    match names.len() {
        0 => "none".to_owned(),
        n if n > SHOWN => format!("{} and {} more", names[..SHOWN].join(", "), n - SHOWN),
        _ => names.join(", "),
    }
}

fn unique<T: Eq + Hash + ToString>(
    values: impl Iterator<Item = T>,
    path: impl Fn(usize) -> KeyPath,
    found: &mut Findings<'_>,
) {
    let mut first_at = HashMap::new();
    for (i, value) in values.enumerate() {
        let text = value.to_string();
        if let Some(first) = first_at.insert(value, i) {
            let message = format!("`{text}` stands at `{}` already", path(first));
            found.add(&path(i), message);
        }
    }
}
