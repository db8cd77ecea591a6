//! Tests of the library.

mod acceptance;
mod parsers;
mod peer;
