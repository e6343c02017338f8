/// Bounds on the memory of a record of submissions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Records kept at once; a customer may hold twice as many of them as are free.
    pub records: usize,
    /// Bytes of finished answers kept at once; beyond it the oldest answers of the customer
    /// that holds most are dropped, while their records stay.
    pub answer_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { records: 80_000, answer_bytes: 24 << 20 }
    }
}

impl Limits {
    /// Sets how many records are kept at once.
    pub fn records(mut self, records: usize) -> Self {
        self.records = records;
        self
    }

    /// Sets how many bytes of finished answers are kept at once.
    pub fn answer_bytes(mut self, bytes: usize) -> Self {
        self.answer_bytes = bytes;
        self
    }
}
