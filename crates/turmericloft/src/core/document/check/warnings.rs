//! Warnings about valid but dangerous settings.

use std::collections::BTreeSet;

use super::{finding::Findings, key_path::KeyPath};
use crate::core::document::{Caller, Contract, Document, Handling, Kind, Service};

/// Adds a warning for each dangerous setting.
pub(super) fn find_warnings(document: &Document, findings: &mut Findings<'_>) {
    for (i, service) in document.services.iter().enumerate() {
        let path = KeyPath::root().item("services", i);
        warn_of_zone_loss(service, &path, findings);
        warn_of_few_connections(service, &path, findings);
        warn_of_kinds(service, &path, findings);
        warn_of_no_caller(document, service, &path, findings);
    }
    for (i, caller) in document.callers.iter().enumerate() {
        warn_of_low_limits(
            document,
            caller,
            &KeyPath::root().item("callers", i),
            findings,
        );
    }
}

fn warn_of_zone_loss(service: &Service, path: &KeyPath, findings: &mut Findings<'_>) {
    let zones: BTreeSet<&str> = service.endpoints.iter().map(|e| e.zone.as_str()).collect();
    if let (1, Some(zone)) = (zones.len(), zones.first()) {
        let message =
            format!("all endpoints are in zone `{zone}`; the service fails if that zone does");
        findings.add(&path.key("endpoints"), message);
    }
}

fn warn_of_few_connections(service: &Service, path: &KeyPath, findings: &mut Findings<'_>) {
    for (i, endpoint) in service.endpoints.iter().enumerate() {
        if endpoint.connections < endpoint.slots {
            let path = path.item("endpoints", i).key("connections");
            let (connections, slots) = (endpoint.connections, endpoint.slots);
            let message = format!("{connections} connections cannot use all {slots} slots");
            findings.add(&path, message);
        }
    }
}

fn warn_of_kinds(service: &Service, path: &KeyPath, findings: &mut Findings<'_>) {
    for (i, kind) in service.kinds.iter().enumerate() {
        let path = path.item("kinds", i);
        let shadowing = service.kinds[..i].iter().find(|k| shadows(k, kind));
        if let Some(shadowing) = shadowing {
            let message = format!(
                "never matched: the earlier kind `{}` matches all its requests",
                shadowing.name
            );
            findings.add(&path, message);
        }
        if kind.method == "POST" && kind.handling == Handling::Idempotent {
            let message = "requests with method POST may be retried".to_owned();
            findings.add(&path.key("handling"), message);
        }
    }
}

fn shadows(first: &Kind, second: &Kind) -> bool {
    first.method == second.method && second.path.starts_with(&first.path)
}

fn warn_of_no_caller(
    document: &Document,
    service: &Service,
    path: &KeyPath,
    findings: &mut Findings<'_>,
) {
    if !document
        .callers
        .iter()
        .any(|c| c.contract(&service.name).is_some())
    {
        findings.add(
            &path.key("name"),
            "no caller has a contract for this service".to_owned(),
        );
    }
}

fn warn_of_low_limits(
    document: &Document,
    caller: &Caller,
    path: &KeyPath,
    findings: &mut Findings<'_>,
) {
    for (i, contract) in caller.contracts.iter().enumerate() {
        let path = path.item("contracts", i);
        let Some(heaviest) = heaviest(document, contract) else {
            continue;
        };
        let limits = [
            ("requests_per_s", contract.requests_per_s),
            ("in_flight", contract.in_flight),
        ];
        for (key, limit) in limits {
            if let Some(limit) = limit.filter(|l| *l < heaviest.weight) {
                let (name, weight) = (&heaviest.name, heaviest.weight);
                let message =
                    format!("limit {limit} is below the weight {weight} of kind `{name}`");
                findings.add(&path.key(key), message);
            }
        }
    }
}

fn heaviest<'a>(document: &'a Document, contract: &Contract) -> Option<&'a Kind> {
    let service = document
        .services
        .iter()
        .find(|s| s.name == contract.service)?;
    let allowed = service.kinds.iter().filter(|k| contract.allows(&k.name));
    allowed.max_by_key(|k| k.weight)
}
