use super::{Home, Ticket, TicketError};
use crate::clock::Time;
use crate::name::Customer;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::time::Duration;

/// Key that signs the tickets of one process; drawn at random at each start.
#[derive(Clone, Copy)]
pub struct Secret(pub [u8; 32]);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Issues and checks the tickets of one home.
#[derive(Debug)]
pub struct Issuer {
    home: Home,
    secret: Secret,
    next_serial: u64,
}

impl Issuer {
    /// Creates an issuer of tickets that name `home`.
    pub fn new(home: Home, secret: Secret) -> Self {
        Issuer { home, secret, next_serial: 0 }
    }

    /// Returns the home that the tickets name.
    pub fn home(&self) -> &Home {
        &self.home
    }

    /// Returns the signing secret. It is handed over at a planned stop, so that the successor can
    /// check the tickets of this home.
    pub fn secret(&self) -> Secret {
        self.secret
    }

    /// Issues a ticket to a customer. It expires `validity` after `now`, the time on the home's
    /// clock.
    pub fn issue(&mut self, customer: &Customer, now: Time, validity: Duration) -> Ticket {
        let serial = self.next_serial;
        self.next_serial += 1;
        let expires_ms = (now + validity).as_millis();
        let tag = self.sign(customer, serial, expires_ms);
        Ticket { home: self.home.clone(), serial, expires_ms, tag }
    }

    /// Checks that a ticket was issued by this home to `customer`. Any other ticket is
    /// [`TicketError::Forged`], also a valid one of another home or customer. The expiry is not
    /// checked here: [`Records`](crate::record::Records) refuses new keys after it.
    pub fn check(&self, ticket: &Ticket, customer: &Customer) -> Result<(), TicketError> {
        let tag = self.sign(customer, ticket.serial, ticket.expires_ms);
        if ticket.home == self.home && ticket.tag == tag {
            Ok(())
        } else {
            Err(TicketError::Forged)
        }
    }

    /// Returns the tag of a ticket. The home is not part of the signed text, but the secret is that
    /// of one home only.
    fn sign(&self, customer: &Customer, serial: u64, expires_ms: u64) -> u64 {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.secret.0)
            .expect("an HMAC takes a key of any length");
        mac.update(&serial.to_be_bytes());
        mac.update(&expires_ms.to_be_bytes());
        mac.update(customer.as_str().as_bytes());
        let bytes = mac.finalize().into_bytes();
        u64::from_be_bytes(bytes[..8].try_into().expect("an HMAC of SHA-256 has 32 bytes"))
    }
}
