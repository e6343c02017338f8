use crate::Fault;

/// A key's value, with the revision at which it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// The key.
    pub key: String,
    /// What is stored.
    pub data: Vec<u8>,
    /// Grows with every write to the store.
    pub revision: u64,
}

/// A write that takes effect only if the key is as expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Swap {
    /// The key.
    pub key: String,
    /// Revision that the key must have; zero if there must be no such key.
    pub expected: u64,
    /// What to store.
    pub value: Vec<u8>,
}

/// How one swap ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Swapped {
    /// It took effect, at this revision.
    Done(u64),
    /// The key was not as expected; this is what it holds.
    Conflict(Option<Value>),
}

/// The platform's key-value store.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads a key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Value>, Fault>> + Send {
        self.get_newer(key, 0)
    }

    /// Reads a key if it was written after `revision`, so that what has not changed is not sent.
    fn get_newer(
        &self,
        key: &str,
        revision: u64,
    ) -> impl Future<Output = Result<Option<Value>, Fault>> + Send;

    /// Reads a key as it was at an earlier revision, if the store still knows.
    fn get_at(
        &self,
        key: &str,
        revision: u64,
    ) -> impl Future<Output = Result<Option<Value>, Fault>> + Send;

    /// Reads all keys that start with `prefix`.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<Value>, Fault>> + Send;

    /// Does several swaps of different keys in one call; each succeeds or fails by itself.
    fn swap(&self, swaps: Vec<Swap>) -> impl Future<Output = Result<Vec<Swapped>, Fault>> + Send;

    /// Deletes all keys from `first` up to, and without, `end`.
    fn delete(&self, first: &str, end: &str) -> impl Future<Output = Result<(), Fault>> + Send;
}
