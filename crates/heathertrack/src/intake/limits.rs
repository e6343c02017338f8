/// Descriptors of a process that are kept for files.
const FILE_DESCRIPTORS: usize = 200;
/// Smallest number of connections that a listener accepts at once.
const MIN_CONNECTIONS: usize = 16;
/// Smallest number of bytes that the requests of a listener may hold.
const MIN_BYTES: usize = 2 << 20;

/// What the machine gives to the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Memory of the process, in bytes.
    pub memory: usize,
    /// Descriptors of the process.
    pub descriptors: usize,
}

/// Part of the machine that a listener may use, as numerator and denominator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Part of the sockets.
    pub connections: (usize, usize),
    /// Part of the memory.
    pub memory: (usize, usize),
}

impl Share {
    /// Of callers: more than a quarter of the sockets is left for peers, upstreams and the store, and two
    /// thirds of the memory for the jobs of other hosts and the copy of the store.
    pub const CALLERS: Share = Share { connections: (5, 8), memory: (1, 3) };
    /// Of the balancer's checks and of readers of metrics, which are few.
    pub const CHECKS: Share = Share { connections: (1, 64), memory: (1, 48) };
    /// Of connections between hosts before either has introduced itself. Hosts that start together
    /// connect to each other at once.
    pub const STRANGERS: Share = Share { connections: (1, 16), memory: (1, 48) };
}

/// What the connections of one listener may hold together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Number of connections.
    pub connections: usize,
    /// Bytes of their buffers, unfinished requests and jobs.
    pub bytes: usize,
}

impl Limits {
    /// Returns the limits of a listener that may use `share` of a machine.
    pub fn new(machine: Machine, share: Share) -> Self {
        let part = |whole: usize, (numerator, denominator): (usize, usize)| {
            whole.saturating_mul(numerator) / denominator
        };
        let sockets = machine.descriptors.saturating_sub(FILE_DESCRIPTORS);
        Limits {
            connections: part(sockets, share.connections).max(MIN_CONNECTIONS),
            bytes: part(machine.memory, share.memory).max(MIN_BYTES),
        }
    }
}
