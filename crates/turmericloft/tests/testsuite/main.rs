//! Tests of the library.

mod acceptance;
mod counting;
mod parsers;
mod peer;
