//! How an attempt at an endpoint ended.

use strum::Display;

/// What the gateway learned from one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptOutcome {
    /// A whole answer came that is no failure of the endpoint.
    Answered,
    /// A whole answer came that tells a failure of the endpoint.
    Failed,
    /// The endpoint turned the request away before it began.
    Shed,
    /// Another endpoint has the address.
    OtherInstance,
    /// No connection was made.
    Unreachable,
    /// The connection broke, or what came was no whole answer.
    Broken,
    /// No answer came in the time it had.
    TimedOut,
    /// The gateway gave up, for reasons of its own.
    Abandoned,
}
