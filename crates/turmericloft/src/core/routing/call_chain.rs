//! Position of a call in a chain of calls, carried in headers.

use http::{HeaderMap, HeaderName, HeaderValue};

/// Where a call stands: calls above it, and which attempt of its own it is.
///
/// A backend server copies both headers to the calls that it makes for a request. Extra calls are
/// made only for first attempts near the top of a chain, so that a chain of `n` calls in which
/// everything fails costs a constant number of extra calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallChain {
    /// Calls above this one; 0 for a caller's own request.
    pub depth: u32,
    /// Attempt, from 1. A call below a retry or hedge counts as one itself.
    pub attempt: u32,
}

impl CallChain {
    /// Header with the calls above the receiver's request.
    pub const DEPTH_HEADER: HeaderName = HeaderName::from_static("call-depth");
    /// Header with the attempt that the receiver's request is.
    pub const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("call-attempt");
    /// Calls at this depth or below get no extra calls.
    pub const EXTRA_CALL_DEPTH_LIMIT: u32 = 2;
    /// Attempts of one call, the first included.
    pub const MAX_ATTEMPTS: u32 = 3;
    /// A caller's own request.
    pub const ROOT: Self = Self {
        depth: 0,
        attempt: 1,
    };

    /// Reads the position from a request's headers; unreadable values count as the top.
    pub fn from_headers(headers: &HeaderMap) -> Self {
        let number = |name| headers.get(name)?.to_str().ok()?.trim().parse::<u32>().ok();
        Self {
            depth: number(Self::DEPTH_HEADER).unwrap_or(Self::ROOT.depth),
            attempt: number(Self::ATTEMPT_HEADER)
                .unwrap_or(Self::ROOT.attempt)
                .max(Self::ROOT.attempt),
        }
    }

    /// Whether this call may have extra calls at all.
    pub fn allows_extra_calls(self) -> bool {
        self.attempt == Self::ROOT.attempt && self.depth < Self::EXTRA_CALL_DEPTH_LIMIT
    }

    /// Position of the call that a gateway sends for this one as its `attempt`th try.
    pub fn forwarded(self, attempt: u32) -> Self {
        Self {
            depth: self.depth.saturating_add(1),
            attempt: self.attempt.max(attempt),
        }
    }

    /// Writes the position to a request's headers.
    pub fn write(self, headers: &mut HeaderMap) {
        headers.insert(Self::DEPTH_HEADER, HeaderValue::from(self.depth));
        headers.insert(Self::ATTEMPT_HEADER, HeaderValue::from(self.attempt));
    }
}
