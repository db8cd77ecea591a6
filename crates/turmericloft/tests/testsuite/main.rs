//! Tests of the library.

mod acceptance;
mod peer;
