use thiserror::Error;

/// Error of a call to the platform, to an upstream or to an entry host. The variants tell whether
/// the call may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// Nothing was sent, so nothing took effect.
    #[error("the platform cannot be reached: {0}")]
    Unreachable(String),
    /// The connection was refused, so nothing took effect. A broken network path may refuse
    /// connections while the process behind it keeps running.
    #[error("the platform refused the connection: {0}")]
    Refused(String),
    /// Another process uses the address: the intended one is gone, and its runs and state with it.
    #[error("another process answers at the address: {0}")]
    Replaced(String),
    /// The response was lost, so the call may have taken effect.
    #[error("the platform's answer was lost: {0}")]
    ResponseLost(String),
    /// The response has an unexpected status or could not be parsed, so the call may have taken
    /// effect.
    #[error("the platform's answer is not understood: {0}")]
    BadResponse(String),
}
