//! Templates of the calls of the demo.

use http::{HeaderName, Method};

use super::deployment::{CALLERS, DemoCaller, DemoService, SERVICES};
use crate::{
    backend::RunCounts,
    load::{CallKey, CallTemplate},
};

/// Request header by which backend servers count runs.
const RUN_TAG: HeaderName = HeaderName::from_static(RunCounts::TAG_HEADER);
/// Weight of a lookup in multiples of the weight of a guarded action.
const LOOKUP_WEIGHT: u32 = 5;

/// Returns a template for each caller and each service that it uses.
pub(super) fn calls() -> Vec<CallTemplate> {
    let of_caller = |caller: &'static DemoCaller| {
        let used = SERVICES
            .iter()
            .filter(|s| caller.services.contains(&s.name));
        used.map(|service| call(caller, service))
    };
    CALLERS.iter().flat_map(of_caller).collect()
}

fn call(caller: &DemoCaller, service: &DemoService) -> CallTemplate {
    let path = format!("/{}/{}?n={{n}}", service.name, service.kind);
    let tag = format!("{}-{}-{{n}}", caller.name, service.name);
    let mut headers = vec![(HeaderName::from_static("answer-tag"), tag.clone())];
    if service.guarded {
        headers.push((RUN_TAG, tag.clone()));
        headers.push((HeaderName::from_static("idempotency-key"), tag));
    }
    let (method, weight) = if service.guarded {
        (Method::POST, 1)
    } else {
        (Method::GET, LOOKUP_WEIGHT)
    };
    CallTemplate {
        key: CallKey {
            caller: caller.name.to_owned(),
            service: service.name.to_owned(),
            kind: service.kind.to_owned(),
        },
        weight,
        method,
        headers,
        ..CallTemplate::get(&path, &caller.token())
    }
}
