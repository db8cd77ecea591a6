//! Hedging of slow idempotent requests within a limit of the operators.

mod hedge_budget;
mod hedge_decisions;
mod hedge_limit;
mod hedge_refusal;
mod hedge_run;
mod route_delays;

pub use self::{
    hedge_budget::HedgeBudget,
    hedge_decisions::Hedging,
    hedge_limit::{HedgeLimit, HedgeLimitError},
    hedge_refusal::HedgeRefusal,
    hedge_run::{HedgeRun, HedgeWinner},
    route_delays::RouteDelays,
};
