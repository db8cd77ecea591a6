//! What gateways of a simulated fleet know of their endpoints.

use std::collections::HashMap;

use serde_json::Value;

use super::output;

const SMALL_FLEET: [&str; 14] = [
    "fleet",
    "--gateways",
    "60",
    "--endpoints",
    "20",
    "--load",
    "90",
    "--seconds",
    "8",
    "--subset",
    "10",
    "--seed",
    "1",
    "--json",
];

/// Share of the requests in time, by kind of knowledge.
fn in_target_shares(output: &str) -> HashMap<String, f64> {
    let figures = output.lines().map(|line| {
        let figure: Value = serde_json::from_str(line).expect("JSON");
        figure
    });
    let shares = figures.filter(|f| f["metric"] == "in_target_share");
    shares
        .map(|f| {
            let variant = f["variant"].as_str().expect("a text").to_owned();
            (variant, f["value"].as_f64().expect("a number"))
        })
        .collect()
}

#[test]
fn probes_serve_more_requests_in_time_and_one_queue_the_most() {
    let shares = in_target_shares(&output(&SMALL_FLEET));
    assert_eq!(shares.len(), 5);
    assert!(shares["responses"] < shares["probes"], "{shares:?}");
    assert!(shares["shared"] < shares["probes"], "{shares:?}");
    assert!(
        shares.values().all(|s| *s <= shares["one-queue"]),
        "{shares:?}"
    );
}

#[test]
fn same_seed_gives_the_same_figures() {
    assert_eq!(output(&SMALL_FLEET), output(&SMALL_FLEET));
}
