//! A load balancer for servers whose load shifts in milliseconds, as a library.
//!
//! Begin with [`core`]: types and decisions, free of input and output, where the present time is
//! an argument. [`sources`] reaches the outside: log service, host list, backend servers, peers.
//! [`ops`] holds one function per operation that a user sees, such as running a gateway or
//! promoting a document. [`util`] has what all of them share.

pub mod core;
pub mod ops;
pub mod sources;
pub mod util;
