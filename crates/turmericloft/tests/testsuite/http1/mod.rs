//! Messages as they arrive in pieces, whole, broken and hostile.

mod requests;
mod responses;
