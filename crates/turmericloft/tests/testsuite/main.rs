//! Tests of the library.

mod acceptance;
mod config;
mod parsers;
mod peer;
