use sha2::{Digest as _, Sha256};

/// Fingerprint of a submission's body, to tell a resubmission from another job under its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Digest(pub [u8; 16]);

impl Digest {
    /// Fingerprint of these bytes.
    pub fn of(bytes: &[u8]) -> Self {
        let full = Sha256::digest(bytes);
        Digest(full[..16].try_into().expect("SHA-256 has 32 bytes"))
    }
}
