//! Rules for a document beyond what its types express.

use std::{collections::HashMap, hash::Hash, time::Duration};

use super::{finding::Findings, key_path::KeyPath};
use crate::core::{
    Name,
    counting::CountKey,
    document::{Caller, Contract, Document, Endpoint, Kind, MeasurementBudget, Service},
};

/// HTTP methods that a kind may have.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];
/// Names that reports use for rows of their own.
const RESERVED_NAMES: [&str; 1] = [CountKey::OVERFLOW_CALLER];
/// Maximum deadline of a service or a kind.
const MAX_DEADLINE: Duration = Duration::from_secs(600);
/// Maximum number of extra calls, in percent of calls.
const MAX_EXTRA_CALLS_PERCENT: u32 = 100;

/// Adds a fault for each violation of a rule.
pub(super) fn find_faults(document: &Document, findings: &mut Findings<'_>) {
    let root = KeyPath::root();
    if document.schema != Document::SCHEMA {
        findings.add(
            &root.key("schema"),
            format!("must be {}, found {}", Document::SCHEMA, document.schema),
        );
    }
    check_budget(&document.budget, findings);
    let zones = document.zones.iter().map(|z| z.name.as_str());
    check_unique(zones, |i| root.item("zones", i).key("name"), findings);
    let services = document.services.iter().map(|s| s.name.as_str());
    check_unique(services, |i| root.item("services", i).key("name"), findings);
    let callers = document.callers.iter().map(|c| c.name.as_str());
    check_unique(callers, |i| root.item("callers", i).key("name"), findings);
    let tokens = document.callers.iter().map(|c| c.token_sha256.to_string());
    check_unique(
        tokens,
        |i| root.item("callers", i).key("token_sha256"),
        findings,
    );
    for (i, zone) in document.zones.iter().enumerate() {
        check_not_reserved(&zone.name, &root.item("zones", i), findings);
    }
    for (i, service) in document.services.iter().enumerate() {
        check_service(document, service, &root.item("services", i), findings);
    }
    for (i, caller) in document.callers.iter().enumerate() {
        check_caller(document, caller, &root.item("callers", i), findings);
    }
}

fn check_budget(budget: &MeasurementBudget, findings: &mut Findings<'_>) {
    let path = KeyPath::root().key("budget");
    if !(budget.core_share > 0.0 && budget.core_share <= 1.0) {
        let message = format!("must be above 0 and at most 1, found {}", budget.core_share);
        findings.add(&path.key("core_share"), message);
    }
    check_at_least_one(budget.bytes_per_s, &path.key("bytes_per_s"), findings);
    check_at_least_one(budget.memory_bytes, &path.key("memory_bytes"), findings);
}

fn check_service(
    document: &Document,
    service: &Service,
    path: &KeyPath,
    findings: &mut Findings<'_>,
) {
    check_not_reserved(&service.name, path, findings);
    check_deadline(service.deadline, &path.key("deadline_ms"), findings);
    check_at_least_one(service.body_bytes, &path.key("body_bytes"), findings);
    if service.extra_calls_percent > MAX_EXTRA_CALLS_PERCENT {
        findings.add(
            &path.key("extra_calls_percent"),
            format!(
                "must be from 0 to {MAX_EXTRA_CALLS_PERCENT}, found {}",
                service.extra_calls_percent
            ),
        );
    }
    check_not_empty(&service.kinds, &path.key("kinds"), findings);
    check_not_empty(&service.endpoints, &path.key("endpoints"), findings);
    let kinds = service.kinds.iter().map(|k| k.name.as_str());
    check_unique(kinds, |i| path.item("kinds", i).key("name"), findings);
    let addresses = service.endpoints.iter().map(|e| e.address);
    check_unique(
        addresses,
        |i| path.item("endpoints", i).key("address"),
        findings,
    );
    for (i, kind) in service.kinds.iter().enumerate() {
        check_kind(kind, &path.item("kinds", i), findings);
    }
    for (i, endpoint) in service.endpoints.iter().enumerate() {
        check_endpoint(document, endpoint, &path.item("endpoints", i), findings);
    }
}

fn check_kind(kind: &Kind, path: &KeyPath, findings: &mut Findings<'_>) {
    check_not_reserved(&kind.name, path, findings);
    if !METHODS.contains(&kind.method.as_str()) {
        let allowed = METHODS.join(", ");
        let message = format!("must be one of {allowed}, found `{}`", kind.method);
        findings.add(&path.key("method"), message);
    }
    if !kind.path.starts_with('/') {
        let message = format!("must start with `/`, found `{}`", kind.path);
        findings.add(&path.key("path"), message);
    }
    check_at_least_one(kind.weight, &path.key("weight"), findings);
    if let Some(deadline) = kind.deadline {
        check_deadline(deadline, &path.key("deadline_ms"), findings);
    }
}

fn check_endpoint(
    document: &Document,
    endpoint: &Endpoint,
    path: &KeyPath,
    findings: &mut Findings<'_>,
) {
    let zones = document.zones.iter().map(|z| &z.name);
    let zones = valid_names(zones, |i| KeyPath::root().item("zones", i), findings);
    check_reference("zone", &endpoint.zone, &zones, &path.key("zone"), findings);
    check_at_least_one(endpoint.slots, &path.key("slots"), findings);
    check_at_least_one(endpoint.connections, &path.key("connections"), findings);
    if endpoint.address.port() == 0 {
        findings.add(&path.key("address"), "must have a port above 0".to_owned());
    }
}

fn check_caller(document: &Document, caller: &Caller, path: &KeyPath, findings: &mut Findings<'_>) {
    check_not_reserved(&caller.name, path, findings);
    check_at_least_one(caller.weight, &path.key("weight"), findings);
    let services = caller.contracts.iter().map(|c| c.service.as_str());
    check_unique(
        services,
        |i| path.item("contracts", i).key("service"),
        findings,
    );
    for (i, contract) in caller.contracts.iter().enumerate() {
        check_contract(document, contract, &path.item("contracts", i), findings);
    }
}

fn check_contract(
    document: &Document,
    contract: &Contract,
    path: &KeyPath,
    findings: &mut Findings<'_>,
) {
    let services = document.services.iter().map(|s| &s.name);
    let services = valid_names(services, |i| KeyPath::root().item("services", i), findings);
    let at = path.key("service");
    check_reference("service", &contract.service, &services, &at, findings);
    let services = &document.services;
    let at = services.iter().position(|s| s.name == contract.service);
    if let Some(at) = at {
        let service = KeyPath::root().item("services", at);
        let kinds = services[at].kinds.iter().map(|k| &k.name);
        let kinds = valid_names(kinds, |i| service.item("kinds", i), findings);
        for (i, kind) in contract.kinds.iter().enumerate() {
            check_reference("kind", kind, &kinds, &path.item("kinds", i), findings);
        }
    }
    let limits = [
        ("requests_per_s", contract.requests_per_s),
        ("in_flight", contract.in_flight),
    ];
    for (key, limit) in limits {
        if limit == Some(0) {
            let message = "must be at least 1; to allow no requests, remove the contract";
            findings.add(&path.key(key), message.to_owned());
        }
    }
}

fn check_deadline(deadline: Duration, path: &KeyPath, findings: &mut Findings<'_>) {
    if deadline.is_zero() || deadline > MAX_DEADLINE {
        let (found_ms, max_ms) = (deadline.as_millis(), MAX_DEADLINE.as_millis());
        findings.add(
            path,
            format!("must be from 1 to {max_ms}, found {found_ms}"),
        );
    }
}

fn check_at_least_one(value: impl Into<u64>, path: &KeyPath, findings: &mut Findings<'_>) {
    if value.into() == 0 {
        findings.add(path, "must be at least 1, found 0".to_owned());
    }
}

fn check_not_empty<T>(items: &[T], path: &KeyPath, findings: &mut Findings<'_>) {
    if items.is_empty() {
        findings.add(path, "must have at least one entry".to_owned());
    }
}

/// Adds a fault if the entry at `path` has a reserved name.
fn check_not_reserved(name: &Name, path: &KeyPath, findings: &mut Findings<'_>) {
    if RESERVED_NAMES.contains(&name.as_str()) {
        let message = format!("`{name}` is reserved for rows of reports; use another name");
        findings.add(&path.key("name"), message);
    }
}

/// The names that could be parsed, without duplicates.
fn valid_names<'a>(
    names: impl Iterator<Item = &'a Name>,
    path: impl Fn(usize) -> KeyPath,
    findings: &Findings<'_>,
) -> Vec<&'a Name> {
    let mut valid = Vec::new();
    for (i, name) in names.enumerate() {
        if findings.is_valid(&path(i).key("name")) && !valid.contains(&name) {
            valid.push(name);
        }
    }
    valid
}

fn check_reference(
    what: &str,
    name: &Name,
    all: &[&Name],
    path: &KeyPath,
    findings: &mut Findings<'_>,
) {
    if all.contains(&name) {
        return;
    }
    let names: Vec<&str> = all.iter().map(|n| n.as_str()).collect();
    let message = format!(
        "unknown {what} `{name}`; known {what}s: {}",
        format_names(&names)
    );
    findings.add(path, message);
}

/// Joins names for a message, which lists only the first of many.
fn format_names(names: &[&str]) -> String {
    const SHOWN: usize = 12;
    match names.len() {
        0 => "none".to_owned(),
        n if n > SHOWN => format!("{} and {} more", names[..SHOWN].join(", "), n - SHOWN),
        _ => names.join(", "),
    }
}

fn check_unique<T: Eq + Hash + ToString>(
    values: impl Iterator<Item = T>,
    path: impl Fn(usize) -> KeyPath,
    findings: &mut Findings<'_>,
) {
    let mut first_index = HashMap::new();
    for (i, value) in values.enumerate() {
        let text = value.to_string();
        let first = *first_index.entry(value).or_insert(i);
        if first != i {
            let message = format!(
                "duplicate value `{text}`; already used at `{}`",
                path(first)
            );
            findings.add(&path(i), message);
        }
    }
}
