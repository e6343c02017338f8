/// Why a connection had to give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Too many connections were open.
    Connections,
    /// Unfinished requests and jobs held too many bytes together.
    Bytes,
    /// It was without a whole request for too long.
    Time,
    /// It was one too many while requests were in progress on all others.
    InProgress,
}

impl Cause {
    /// All causes, in the order of their declaration.
    pub const ALL: [Cause; 4] = [Cause::Connections, Cause::Bytes, Cause::Time, Cause::InProgress];

    /// Returns the name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Cause::Connections => "connections",
            Cause::Bytes => "bytes",
            Cause::Time => "time",
            Cause::InProgress => "in_progress",
        }
    }
}
