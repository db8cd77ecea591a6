//! Configuration: the rule, following, promotions under faults.

mod documents;
mod fake_log;
mod followed;
mod interleavings;
mod matrix;
mod model;
mod stuck_log;
mod variants;
mod withheld;
mod world;
