//! How an attempt at an endpoint ended.

use strum::Display;

/// How one attempt ended, as the gateway saw it. The names are metric labels and log values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptOutcome {
    /// A complete response that is not a failure of the endpoint.
    Answered,
    /// A complete response that reports a failure of the endpoint.
    Failed,
    /// The endpoint rejected the request before running it.
    Shed,
    /// Another endpoint uses the address.
    OtherInstance,
    /// No connection could be opened, or it closed before anything of the request was sent.
    Unreachable,
    /// The connection failed, or the response was incomplete or invalid.
    Broken,
    /// No response came before the attempt's timeout.
    TimedOut,
    /// The gateway cancelled the attempt for reasons other than the endpoint.
    Abandoned,
}
