use sha2::{Digest as _, Sha256};

/// Truncated SHA-256 of a submission's body. It distinguishes a resubmission from another job that
/// reuses the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Digest(pub [u8; 16]);

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        let full = Sha256::digest(bytes);
        Digest(full[..16].try_into().expect("SHA-256 has 32 bytes"))
    }
}
