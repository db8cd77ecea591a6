//! An ingress gateway with clients and endpoints on loopback.

mod behaviour;
mod client;
mod crashing_requests;
mod cut_responses;
mod deadlines;
mod drain;
mod endless_responses;
mod endpoint;
mod evacuation;
mod faults;
mod gateway;
mod handover;
mod hedges;
mod large_endpoint;
mod late_arrivals;
mod malformed_responses;
mod organisations;
mod owed;
mod pipelining;
mod protocol;
mod raw_endpoint;
mod repeated_refusals;
mod room;
mod routes;
mod suspension;
mod task_panics;
