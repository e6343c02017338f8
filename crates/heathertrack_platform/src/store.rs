use crate::CallError;

/// Value of a key, with the revision at which it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// The key.
    pub key: String,
    /// Stored bytes.
    pub data: Vec<u8>,
    /// Revision of the store at which the key was last written; every write to the store increases
    /// the store's revision.
    pub revision: u64,
}

/// Compare-and-swap of one key: the write takes effect only if the key has the expected revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Swap {
    /// The key.
    pub key: String,
    /// Revision at which the key must have been last written; zero if the key must not exist.
    pub expected: u64,
    /// New value.
    pub value: Vec<u8>,
}

/// Result of one swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwapResult {
    /// The swap took effect at this revision.
    Applied(u64),
    /// The key had another revision. Holds its current value; `None` if it does not exist.
    Conflict(Option<Value>),
}

/// The platform's key-value store.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads a key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Value>, CallError>> + Send {
        self.get_newer(key, 0)
    }

    /// Reads a key if it was written after `revision`; zero reads it in any case. Returns `None`
    /// for an unchanged value, which is not transferred, and for a missing key.
    fn get_newer(
        &self,
        key: &str,
        revision: u64,
    ) -> impl Future<Output = Result<Option<Value>, CallError>> + Send;

    /// Reads a key as it was at an earlier revision of the store, if the store still has it.
    fn get_at(
        &self,
        key: &str,
        revision: u64,
    ) -> impl Future<Output = Result<Option<Value>, CallError>> + Send;

    /// Reads all keys that start with `prefix`.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<Value>, CallError>> + Send;

    /// Swaps several different keys in one call; each swap succeeds or fails independently. The
    /// results are in the order of `swaps`.
    fn swap(
        &self,
        swaps: Vec<Swap>,
    ) -> impl Future<Output = Result<Vec<SwapResult>, CallError>> + Send;

    /// Deletes all keys from `first` (inclusive) to `end` (exclusive).
    fn delete(&self, first: &str, end: &str) -> impl Future<Output = Result<(), CallError>> + Send;
}
