use thiserror::Error;

/// Why a call to the platform gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Fault {
    /// Nothing was sent, so nothing took effect.
    #[error("the platform cannot be reached: {0}")]
    Unreachable(String),
    /// The connection was refused, so nothing took effect. A cut path may refuse connections while
    /// the process behind it runs on.
    #[error("the platform refused the connection: {0}")]
    Refused(String),
    /// Another process answers at the address: the one that was meant is gone, with all it held.
    #[error("another process answers at the address: {0}")]
    Replaced(String),
    /// The call may have taken effect.
    #[error("the platform's answer was lost: {0}")]
    AnswerLost(String),
    /// The platform refused the call, or answered what can't be understood.
    #[error("the platform's answer is not understood: {0}")]
    BadAnswer(String),
}
