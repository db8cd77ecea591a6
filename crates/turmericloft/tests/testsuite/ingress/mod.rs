//! An ingress gateway with clients and endpoints on loopback.

mod client;
mod crashing_requests;
mod deadlines;
mod drain;
mod endpoint;
mod evacuation;
mod faults;
mod gateway;
mod handover;
mod hedges;
mod organisations;
mod owed;
mod pipelining;
mod protocol;
mod routes;
mod suspension;
mod task_panics;
