use heathertrack::ticket::Ticket;
use std::fmt;
use std::str::FromStr;
use thiserror::Error;
use uuid::{Uuid, Variant};

/// An idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Key {
    /// A number under a ticket, which names the home.
    Ticket(Ticket, u32),
    /// A UUIDv7 (RFC 9562) that the caller minted, to be claimed in the platform's store.
    Minted(Uuid),
}

/// Why a text is no idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KeyError {
    /// It is neither `<ticket>/<number>` nor a UUID.
    #[error("the key is neither <ticket>/<number> nor a UUIDv7 in lower case")]
    Malformed,
    /// It is a UUID of another version, which carries no time.
    #[error("the key is a UUID, but not of version 7")]
    NotVersion7,
}

impl Key {
    /// When a minted key was made, in Unix milliseconds.
    pub fn minted_ms(uuid: &Uuid) -> u64 {
        let bytes = uuid.as_bytes();
        bytes[..6].iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte))
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Key::Ticket(ticket, number) => write!(f, "{ticket}/{number}"),
            Key::Minted(uuid) => write!(f, "{uuid}"),
        }
    }
}

impl FromStr for Key {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let key = match text.split_once('/') {
            Some((ticket, number)) => {
                let ticket = ticket.parse().map_err(|_| KeyError::Malformed)?;
                let number = number.parse().map_err(|_| KeyError::Malformed)?;
                Key::Ticket(ticket, number)
            }
            None => Key::Minted(text.parse().map_err(|_| KeyError::Malformed)?),
        };
        if let Key::Minted(uuid) = &key
            && (uuid.get_version_num() != 7 || uuid.get_variant() != Variant::RFC4122)
        {
            return Err(KeyError::NotVersion7);
        }
        // One key has one spelling, or it could be started once under each.
        if key.to_string() == text { Ok(key) } else { Err(KeyError::Malformed) }
    }
}
