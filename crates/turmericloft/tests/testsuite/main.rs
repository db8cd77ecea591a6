//! Tests of the library.

mod acceptance;
mod guard;
mod parsers;
mod peer;
