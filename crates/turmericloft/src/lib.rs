//! Library of a load balancer for servers whose load changes within milliseconds.
//!
//! Start reading at [`core`]: types and decisions without input and output, where the present time
//! is an argument. [`sources`] contains clients of external systems: log service, host list,
//! backend servers and peers. [`ops`] contains one function per user-visible operation, such as
//! running a gateway or promoting a document. [`util`] contains utilities shared by all of them.
//!
//! Operators configure an environment with a [`Document`](core::document::Document):
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
//! The example `route` assigns calls to endpoints with [`core::routing`] alone.

pub mod core;
pub mod ops;
pub mod sources;
pub mod util;
