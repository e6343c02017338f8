/// Limits on the memory that the records of submissions use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of records of all customers. A customer gets a new one only while it holds
    /// fewer than twice as many as are free.
    pub records: usize,
    /// Maximum size of all finished answers, in bytes. Beyond it the oldest answers of the customer
    /// that uses the most are dropped; their records stay.
    pub answer_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { records: 80_000, answer_bytes: 24 << 20 }
    }
}

impl Limits {
    /// Sets the maximum number of records.
    pub fn records(mut self, records: usize) -> Self {
        self.records = records;
        self
    }

    /// Sets the maximum size of all finished answers, in bytes.
    pub fn answer_bytes(mut self, bytes: usize) -> Self {
        self.answer_bytes = bytes;
        self
    }
}
