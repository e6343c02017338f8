use super::RunKey;
use crate::name::Upstream;

/// A task placed on an upstream, to be sent at once.
#[derive(Debug)]
pub struct Assignment<T> {
    /// Key of the run until it ends.
    pub run: RunKey,
    /// Name of the upstream.
    pub upstream: Upstream,
    /// Address of the upstream, `ip:port`.
    pub address: String,
    /// Payload given to [`Dispatcher::enqueue`](super::Dispatcher::enqueue).
    pub payload: T,
}
