//! Document that the gateway uses in the experiment.

use std::{fmt::Write, net::SocketAddr};

use turmericloft::core::document::Digest;

use super::Args;

/// Token of the document's only caller.
pub(super) const TOKEN: &str = "bench-token";
/// Endpoints of each service when there is more than one service.
const ENDPOINTS_PER_SERVICE: usize = 5;
/// Most connections that an endpoint accepts.
const MAX_ENDPOINT_CONNECTIONS: usize = 250;

/// Renders a document with `services` services. A single service has all backend servers as its
/// endpoints; each of several has up to [`ENDPOINTS_PER_SERVICE`] of them.
pub(super) fn render(args: &Args, services: usize, servers: &[SocketAddr]) -> String {
    let mut text = String::from("schema = 1\nzones = [{ name = \"a\", region = \"south\" }]\n");
    for i in 0..services {
        let per_service = ENDPOINTS_PER_SERVICE.min(servers.len());
        let count = if services == 1 {
            servers.len()
        } else {
            per_service
        };
        let own = servers.iter().cycle().skip(i * per_service).take(count);
        let endpoints = own.map(|address| {
            let slots = args.slots;
            format!(
                "{{ address = \"{address}\", zone = \"a\", slots = {slots}, \
                 connections = {MAX_ENDPOINT_CONNECTIONS} }}"
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
