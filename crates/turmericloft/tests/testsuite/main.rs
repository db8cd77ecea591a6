//! Tests of the library.

mod acceptance;
mod config;
mod counting;
mod guard;
mod parsers;
mod peer;
