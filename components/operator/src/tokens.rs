use sha2::{Digest, Sha256};
use subtle::{Choice, ConstantTimeEq};
use thiserror::Error;

/// Shortest token; a shorter one could be guessed over the network.
const MIN_LENGTH: usize = 16;

/// A token cannot be used.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum TokenError {
    /// There is no token at all.
    #[error("no operator token is set; list at least one")]
    Missing,
    /// The token is too short.
    #[error("an operator token is shorter than {MIN_LENGTH} characters; use a longer one")]
    TooShort,
    /// The token cannot be sent in a header.
    #[error("an operator token has a space or a character outside ASCII; leave these out")]
    InvalidCharacter,
}

/// OperatorTokens that operators may show. Only their digests are kept.
#[derive(Clone)]
pub struct OperatorTokens {
    digests: Vec<[u8; 32]>,
}

impl OperatorTokens {
    /// Checks the tokens.
    pub fn new<'a>(tokens: impl IntoIterator<Item = &'a str>) -> Result<Self, TokenError> {
        let mut digests = Vec::new();
        for token in tokens {
            check(token)?;
            digests.push(Sha256::digest(token).into());
        }
        if digests.is_empty() { Err(TokenError::Missing) } else { Ok(OperatorTokens { digests }) }
    }

    /// Whether the token is one of these. The time tells nothing about the tokens: digests are
    /// compared in constant time, and all of them are.
    pub fn contains(&self, token: &[u8]) -> bool {
        let digest: [u8; 32] = Sha256::digest(token).into();
        let found = self.digests.iter().fold(Choice::from(0), |found, d| found | d.ct_eq(&digest));
        found.into()
    }
}

/// Checks the form of a token.
pub(crate) fn check(token: &str) -> Result<(), TokenError> {
    if !token.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(TokenError::InvalidCharacter);
    }
    if token.len() < MIN_LENGTH { Err(TokenError::TooShort) } else { Ok(()) }
}
