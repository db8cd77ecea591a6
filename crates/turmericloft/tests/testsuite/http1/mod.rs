//! Readers of HTTP/1.1 messages: input in pieces, truncated, malformed and malicious input.

mod requests;
mod responses;
