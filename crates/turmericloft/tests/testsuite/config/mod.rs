//! Configuration: the rule, following, promotions under faults.

mod documents;
mod followed;
mod interleavings;
mod model;
mod variants;
