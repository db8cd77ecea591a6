//! Configuration: reading the stream, checkpoints, and promotions under faults.

mod documents;
mod fake_log;
mod fake_peers;
mod fault_matrix;
mod faulty_log;
mod follower;
mod interleavings;
mod model;
mod readers;
mod withheld_records;
mod world;
