//! Hedging of slow requests within a limit of the operators.

mod replays;
mod rules;
mod world;
