//! Tests of the library.

mod acceptance;
mod config;
mod guard;
mod parsers;
mod peer;
