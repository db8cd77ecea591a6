//! How a gateway that is told to stop finishes what it owes to its clients.
//!
//! Load pattern: gateways are restarted in groups while clients go on sending. Until the load balancer in front has
//! noticed, a stopping gateway gets new clients, some of them with responses that take long to compute or to write.

mod drain_plan;
mod transfer_time;

pub use self::{
    drain_plan::{CLOSE_IDLE_AFTER, DrainPlan},
    transfer_time::{MIN_TRANSFER_RATE, transfer_timeout},
};
