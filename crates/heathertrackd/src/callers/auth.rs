//! Finds the customer of a request by its bearer token.

use crate::state::State;
use heathertrack::lists::TokenDigest;
use heathertrack::name::Customer;
use hyper::header::{AUTHORIZATION, HeaderMap};
use sha2::{Digest, Sha256};

/// Reason why a request can't be assigned to a customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuthError {
    /// The request carries no bearer token.
    NoToken,
    /// No customer has this token.
    UnknownToken,
    /// This host has not received the lists yet.
    NotReady,
}

/// Returns the customer whose token a request carries.
pub fn customer(state: &State, headers: &HeaderMap) -> Result<Customer, AuthError> {
    let plans = state.lists.plans.current().ok_or(AuthError::NotReady)?;
    let token = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or(AuthError::NoToken)?;
    let digest = TokenDigest(Sha256::digest(token.as_bytes()).into());
    let found = plans.value.by_token(&digest);
    found.map(|(name, _)| name.clone()).ok_or(AuthError::UnknownToken)
}
