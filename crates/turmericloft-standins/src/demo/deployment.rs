//! The two deployments of the demo: services, their capacities and callers.

use std::{
    fmt::{self, Write},
    net::SocketAddr,
};

use turmericloft::core::document::Digest;

/// A service with its capacity and service time.
#[derive(Clone, Copy, Debug)]
pub(super) struct DemoService {
    pub(super) name: &'static str,
    pub(super) kind: &'static str,
    pub(super) guarded: bool,
    pub(super) weight: u32,
    pub(super) zones: [&'static str; 3],
    pub(super) endpoints: usize,
    pub(super) slots: usize,
    pub(super) connections: usize,
    /// Mean service time of a request, in microseconds.
    pub(super) service_time_us: u64,
}

/// A caller with the services it uses.
#[derive(Clone, Copy, Debug)]
pub(super) struct DemoCaller {
    pub(super) name: &'static str,
    pub(super) services: &'static [&'static str],
}

const SWEDEN: [&str; 3] = ["sweden-a", "sweden-b", "sweden-c"];
const HOKKAIDO: [&str; 3] = ["hokkaido-a", "hokkaido-b", "hokkaido-c"];

const SWEDEN_LOOKUP: DemoService = DemoService {
    name: "calendar",
    kind: "lookup",
    guarded: false,
    weight: 1,
    zones: SWEDEN,
    endpoints: 16,
    slots: 4,
    connections: 250,
    service_time_us: 4_000,
};
const HOKKAIDO_LOOKUP: DemoService = DemoService {
    name: "address",
    zones: HOKKAIDO,
    endpoints: 17,
    slots: 6,
    connections: 200,
    ..SWEDEN_LOOKUP
};

/// Services of the Sweden and Hokkaido deployments, with their present capacities.
pub(super) const SERVICES: [DemoService; 8] = [
    SWEDEN_LOOKUP,
    DemoService {
        name: "booking",
        kind: "book",
        guarded: true,
        weight: 5,
        endpoints: 8,
        ..SWEDEN_LOOKUP
    },
    DemoService {
        name: "deposit",
        kind: "charge",
        guarded: true,
        weight: 5,
        endpoints: 6,
        ..SWEDEN_LOOKUP
    },
    DemoService {
        name: "dispatch",
        kind: "send",
        guarded: true,
        weight: 8,
        endpoints: 6,
        ..SWEDEN_LOOKUP
    },
    HOKKAIDO_LOOKUP,
    DemoService {
        name: "registration",
        kind: "register",
        guarded: true,
        weight: 5,
        endpoints: 6,
        ..HOKKAIDO_LOOKUP
    },
    DemoService {
        name: "parcels",
        kind: "forward",
        guarded: true,
        weight: 3,
        endpoints: 6,
        ..HOKKAIDO_LOOKUP
    },
    DemoService {
        name: "billing",
        kind: "charge",
        guarded: true,
        weight: 5,
        endpoints: 6,
        ..HOKKAIDO_LOOKUP
    },
];

/// Callers of both deployments.
pub(super) const CALLERS: [DemoCaller; 5] = [
    DemoCaller {
        name: "parents",
        services: &["calendar", "booking", "deposit"],
    },
    DemoCaller {
        name: "entertainers",
        services: &["calendar", "dispatch"],
    },
    DemoCaller {
        name: "tenants",
        services: &["address", "registration"],
    },
    DemoCaller {
        name: "couriers",
        services: &["address", "parcels"],
    },
    DemoCaller {
        name: "reception",
        services: &["address", "parcels", "billing"],
    },
];

impl DemoCaller {
    /// Returns the caller's bearer token.
    pub(super) fn token(&self) -> String {
        format!("{}-token", self.name)
    }
}

/// Writes the environment document. `endpoints` holds the addresses of each service's endpoints, in
/// the order of [`SERVICES`].
pub(super) fn document(endpoints: &[Vec<SocketAddr>]) -> Result<String, fmt::Error> {
    let mut text = String::from("schema = 1\n");
    for (region, zones) in [("sweden", SWEDEN), ("hokkaido", HOKKAIDO)] {
        for zone in zones {
            write!(
                text,
                "[[zones]]\nname = \"{zone}\"\nregion = \"{region}\"\n"
            )?;
        }
    }
    for (service, addresses) in SERVICES.iter().zip(endpoints) {
        write_service(&mut text, service, addresses)?;
    }
    for caller in CALLERS {
        let token = Digest::of(caller.token().as_bytes());
        let (name, services) = (caller.name, caller.services.iter());
        write!(
            text,
            "[[callers]]\nname = \"{name}\"\ntoken_sha256 = \"{token}\"\ncontracts = ["
        )?;
        for service in services {
            write!(text, "{{ service = \"{service}\" }}, ")?;
        }
        text.push_str("]\n");
    }
    Ok(text)
}

fn write_service(
    text: &mut String,
    service: &DemoService,
    addresses: &[SocketAddr],
) -> fmt::Result {
    let DemoService {
        name,
        kind,
        weight,
        slots,
        connections,
        ..
    } = service;
    let (method, handling) = if service.guarded {
        ("POST", "guarded")
    } else {
        ("GET", "idempotent")
    };
    write!(
        text,
        "[[services]]\nname = \"{name}\"\ndeadline_ms = 2000\n\
         kinds = [{{ name = \"{kind}\", method = \"{method}\", handling = \"{handling}\", \
         weight = {weight} }}]\nendpoints = [\n"
    )?;
    for (i, address) in addresses.iter().enumerate() {
        let zone = service.zones[i % service.zones.len()];
        writeln!(
            text,
            "    {{ address = \"{address}\", zone = \"{zone}\", slots = {slots}, \
             connections = {connections} }},"
        )?;
    }
    text.push_str("]\n");
    Ok(())
}
