use std::time::Duration;

/// What was closed for one cause.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Number of connections.
    pub connections: u64,
    /// Most bytes that were charged to one of them.
    pub most_held: usize,
    /// Longest time that one of them was without a whole request.
    pub longest_unfinished: Duration,
}

impl Tally {
    /// Adds a connection.
    pub fn add(&mut self, held: usize, unfinished: Duration) {
        self.connections += 1;
        self.most_held = self.most_held.max(held);
        self.longest_unfinished = self.longest_unfinished.max(unfinished);
    }
}
