use std::fmt;

use kernel::Incarnation;
use thiserror::Error;

const MAX_KEY_BYTES: usize = 128;
const MAX_NONCE_BYTES: usize = 64;

/// Key that a caller sends with a request so that it runs at most once.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum IdempotencyKey {
    /// Built from a prefix that an entry response gave to the caller.
    Issued {
        /// The only incarnation that may run the request. Not zero.
        incarnation: Incarnation,
        /// Time of issue in seconds on that incarnation's clock.
        second: u64,
        /// Part appended by the caller.
        nonce: Box<str>,
    },
    /// Chosen by the caller; it must be claimed in the platform's table before the request runs.
    CallerGenerated(Box<str>),
}

/// Why a text is not a valid idempotency key.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum KeyError {
    /// The text is empty.
    #[error("the idempotency key is empty; use a prefix of an entry response and a nonce")]
    Empty,
    /// The key is too long. Carries its length in bytes.
    #[error("the idempotency key has {0} bytes; use at most {MAX_KEY_BYTES}")]
    TooLong(usize),
    /// The key has a byte that is not visible ASCII.
    #[error("the idempotency key has byte {0:#04x}; use visible ASCII characters only")]
    InvalidByte(u8),
    /// The key has the format version of another release.
    #[error("the key format {0:?} is not known; use a prefix of a new entry response")]
    UnknownFormat(Box<str>),
    /// The incarnation is not 16 lower-case hexadecimal digits or is zero.
    #[error("the incarnation {0:?} is not valid; use the prefix of an entry response unchanged")]
    InvalidIncarnation(Box<str>),
    /// The second is not a canonical decimal number.
    #[error("the second {0:?} is not valid; use the prefix of an entry response unchanged")]
    InvalidSecond(Box<str>),
    /// The nonce is empty or too long. Carries its length in bytes.
    #[error("the nonce has {0} bytes; append 1 to {MAX_NONCE_BYTES} to the prefix")]
    NonceLength(usize),
}

/// Formats the prefix of a key, to which the caller appends a nonce. Entry responses carry it.
pub fn issue_prefix(incarnation: Incarnation, second: u64) -> Box<str> {
    format!("v1.{incarnation:016x}.{second}.").into()
}

/// Returns the format version of a text that starts like `v<number>.`, which is reserved for issued
/// keys.
fn reserved_format(text: &str) -> Option<&str> {
    let (format, _) = text.split_once('.')?;
    let digits = format.strip_prefix('v')?;
    let is_number = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
    is_number.then_some(format)
}

fn parse_incarnation(text: &str) -> Option<Incarnation> {
    let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    if text.len() != 16 || !text.bytes().all(digit) {
        return None;
    }
    Incarnation::from_str_radix(text, 16).ok().filter(|i| *i != 0)
}

fn parse_second(text: &str) -> Option<u64> {
    // With a sign or a leading zero, one key would have several spellings.
    let canonical = text == "0" || !text.starts_with(['0', '+']);
    if canonical { text.parse().ok() } else { None }
}

impl TryFrom<&str> for IdempotencyKey {
    type Error = KeyError;

    fn try_from(text: &str) -> Result<Self, KeyError> {
        if text.is_empty() {
            return Err(KeyError::Empty);
        }
        if text.len() > MAX_KEY_BYTES {
            return Err(KeyError::TooLong(text.len()));
        }
        if let Some(byte) = text.bytes().find(|b| !b.is_ascii_graphic()) {
            return Err(KeyError::InvalidByte(byte));
        }
        match reserved_format(text) {
            None => return Ok(IdempotencyKey::CallerGenerated(text.into())),
            Some("v1") => {}
            Some(format) => return Err(KeyError::UnknownFormat(format.into())),
        }
        let mut parts = text.splitn(4, '.').skip(1);
        let mut next = || parts.next().unwrap_or_default();
        let (incarnation, second, nonce) = (next(), next(), next());
        let incarnation = parse_incarnation(incarnation)
            .ok_or_else(|| KeyError::InvalidIncarnation(incarnation.into()))?;
        let second = parse_second(second).ok_or_else(|| KeyError::InvalidSecond(second.into()))?;
        if nonce.is_empty() || nonce.len() > MAX_NONCE_BYTES {
            return Err(KeyError::NonceLength(nonce.len()));
        }
        Ok(IdempotencyKey::Issued { incarnation, second, nonce: nonce.into() })
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            IdempotencyKey::Issued { incarnation, second, nonce } => {
                write!(f, "{}{nonce}", issue_prefix(*incarnation, *second))
            }
            IdempotencyKey::CallerGenerated(text) => f.write_str(text),
        }
    }
}
