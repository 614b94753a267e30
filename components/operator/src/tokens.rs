use sha2::{Digest, Sha256};
use subtle::{Choice, ConstantTimeEq};
use thiserror::Error;

/// A shorter token could be guessed over the network.
const MIN_TOKEN_BYTES: usize = 16;

/// Reason why a token is invalid.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum TokenError {
    /// No token is configured.
    #[error("no operator token is configured; list at least one")]
    Missing,
    /// A token is too short.
    #[error("an operator token is shorter than {MIN_TOKEN_BYTES} characters; use a longer one")]
    TooShort,
    /// A token contains a character that cannot be sent in a header.
    #[error("an operator token has a space or a character outside ASCII; remove it")]
    InvalidCharacter,
}

/// Valid operator tokens. Only their digests are kept.
#[derive(Clone)]
pub struct OperatorTokens {
    digests: Vec<[u8; 32]>,
}

impl OperatorTokens {
    /// Validates the tokens and computes their digests.
    pub fn new<'a>(tokens: impl IntoIterator<Item = &'a str>) -> Result<Self, TokenError> {
        let mut digests = Vec::new();
        for token in tokens {
            validate(token)?;
            digests.push(Sha256::digest(token).into());
        }
        if digests.is_empty() { Err(TokenError::Missing) } else { Ok(OperatorTokens { digests }) }
    }

    /// Whether the token is valid. Compares all digests, each in constant time, so that the
    /// response time reveals nothing about the tokens.
    pub fn contains(&self, token: &[u8]) -> bool {
        let digest: [u8; 32] = Sha256::digest(token).into();
        let found = self.digests.iter().fold(Choice::from(0), |found, d| found | d.ct_eq(&digest));
        found.into()
    }
}

/// Checks the length and the characters of a token.
pub(crate) fn validate(token: &str) -> Result<(), TokenError> {
    if !token.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(TokenError::InvalidCharacter);
    }
    if token.len() < MIN_TOKEN_BYTES { Err(TokenError::TooShort) } else { Ok(()) }
}
