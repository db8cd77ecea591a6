//! The document of the experiment.

use std::{fmt::Write, net::SocketAddr};

use turmericloft::core::document::Digest;

use super::Args;

/// Token of the only caller.
pub(super) const TOKEN: &str = "bench-token";
/// Endpoints of each service when there are many services.
const ENDPOINTS_OF_MANY: usize = 5;
/// Connections that an endpoint accepts.
const ENDPOINT_CONNECTIONS: usize = 250;

/// A document with `services` services. One service has all backend servers; each of several
/// has a few of them.
pub(super) fn text(args: &Args, services: usize, servers: &[SocketAddr]) -> String {
    let mut text = String::from("schema = 1\nzones = [{ name = \"a\", region = \"south\" }]\n");
    for i in 0..services {
        let few = ENDPOINTS_OF_MANY.min(servers.len());
        let count = if services == 1 { servers.len() } else { few };
        let own = servers.iter().cycle().skip(i * few).take(count);
        let endpoints = own.map(|address| {
            let slots = args.slots;
            format!(
                "{{ address = \"{address}\", zone = \"a\", slots = {slots}, \
                 connections = {ENDPOINT_CONNECTIONS} }}"
            )
        });
        let endpoints = endpoints.collect::<Vec<_>>().join(", ");
        let _ = write!(
            text,
            "[[services]]\nname = \"s{i}\"\ndeadline_ms = 10000\n\
             kinds = [{{ name = \"ask\", method = \"POST\", handling = \"idempotent\" }}]\n\
             endpoints = [{endpoints}]\n"
        );
    }
    let contracts = (0..services).map(|i| format!("{{ service = \"s{i}\" }}"));
    let contracts = contracts.collect::<Vec<_>>().join(", ");
    let token = Digest::of(TOKEN.as_bytes());
    let _ = write!(
        text,
        "[[callers]]\nname = \"bench\"\ntoken_sha256 = \"{token}\"\ncontracts = [{contracts}]\n"
    );
    text
}
