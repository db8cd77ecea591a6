//! Position of a call in a chain of nested calls, carried in headers.
//!
//! Prevents retry storms: without it, retries at several levels of a chain multiply.

use http::{HeaderMap, HeaderName, HeaderValue};

/// Position of a call in a chain: its depth, and the number of its attempt.
///
/// A backend server copies both headers to the calls that it makes for a request. Only first
/// attempts near the root of a chain get extra calls, so the number of extra calls in a chain where
/// every call fails is bounded by a constant, whatever the length of the chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallChain {
    /// Number of calls above this one; 0 for a request sent by the caller itself.
    pub depth: u32,
    /// Attempt number, from 1. Calls below a retry or hedge inherit its attempt number.
    pub attempt: u32,
}

impl CallChain {
    /// Request header with [`Self::depth`].
    pub const DEPTH_HEADER: HeaderName = HeaderName::from_static("call-depth");
    /// Request header with [`Self::attempt`].
    pub const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("call-attempt");
    /// Depth from which on calls get no extra calls.
    pub const EXTRA_CALL_DEPTH_LIMIT: u32 = 2;
    /// Maximum number of attempts of one call, the first included.
    pub const MAX_ATTEMPTS: u32 = 3;
    /// Position of a request sent by the caller itself.
    pub const ROOT: Self = Self {
        depth: 0,
        attempt: 1,
    };

    /// Reads the position from request headers. A missing or invalid value counts as that of
    /// [`Self::ROOT`].
    pub fn from_headers(headers: &HeaderMap) -> Self {
        let number = |name| headers.get(name)?.to_str().ok()?.trim().parse::<u32>().ok();
        Self {
            depth: number(Self::DEPTH_HEADER).unwrap_or(Self::ROOT.depth),
            attempt: number(Self::ATTEMPT_HEADER)
                .unwrap_or(Self::ROOT.attempt)
                .max(Self::ROOT.attempt),
        }
    }

    /// Whether the position of this call allows retries and hedges; the budget is checked
    /// separately.
    pub fn allows_extra_calls(self) -> bool {
        self.attempt == Self::ROOT.attempt && self.depth < Self::EXTRA_CALL_DEPTH_LIMIT
    }

    /// Position of the call that a gateway forwards to an endpoint as the `attempt`th attempt of
    /// this one.
    pub fn forwarded(self, attempt: u32) -> Self {
        Self {
            depth: self.depth.saturating_add(1),
            attempt: self.attempt.max(attempt),
        }
    }

    /// Writes the position to the headers of a request.
    pub fn write(self, headers: &mut HeaderMap) {
        headers.insert(Self::DEPTH_HEADER, HeaderValue::from(self.depth));
        headers.insert(Self::ATTEMPT_HEADER, HeaderValue::from(self.attempt));
    }
}
