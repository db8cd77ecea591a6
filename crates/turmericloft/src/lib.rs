//! A load balancer for servers whose load shifts in milliseconds, as a library.
//!
//! Begin with [`core`]: types and decisions, free of input and output, where the present time is
//! an argument. [`sources`] reaches the outside: log service, host list, backend servers, peers.
//! [`ops`] holds one function per operation that a user sees, such as running a gateway or
//! promoting a document. [`util`] has what all of them share.
//!
//! What operators write is a [`Document`](core::document::Document):
//!
//! ```
//! use turmericloft::core::{Name, document::Document};
//!
//! let text = r#"
//!     schema = 1
//!     zones = [{ name = "a", region = "south" }]
//!     callers = []
//!
//!     [[services]]
//!     name = "calendar"
//!     deadline_ms = 2000
//!     kinds = [{ name = "lookup", method = "GET", handling = "idempotent" }]
//!     endpoints = [{ address = "10.0.0.1:80", zone = "a", slots = 4, connections = 250 }]
//! "#;
//! let document = Document::parse(text)?;
//! assert_eq!(document.services[0].name, Name::new("calendar")?);
//! assert!(Name::new("Calendar").is_err());
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! The example `route` decides where calls go, with [`core::routing`] alone.

pub mod core;
pub mod ops;
pub mod sources;
pub mod util;
