//! The account of memory, and which connections are given up for others.

mod account;
mod reclaim;
